"""Assigns models to single slots, given the replica counts of each group of slots.

It keeps loaded models, spreads each model over zones, and repacks a group only if the models would
otherwise not fit.
"""

from enum import Enum

import attrs

from rooklug.placement.facts import LOAD_EPSILON
from rooklug.placement.groups import SlotGroup
from rooklug.placement.problem import ReplicaSlot
from rooklug.placement.program import Candidate


class FillOrder(Enum):
    """The strategy of one attempt to fill a group, from the fewest loads to the best packing.

    ``KEEP_ALL`` keeps loaded models in place. ``PACKING`` also moves small models to other slots
    where a large one doesn't fit. ``FRESH`` ignores what is loaded.
    """

    KEEP_ALL = "keep all"
    PACKING = "keep it and move small models aside"
    FRESH = "fresh"


@attrs.define
class GroupFill:
    """The result of one attempt to fill a group.

    ``models`` is by replica id. ``left_out_units`` are the units of the replicas that found no
    slot, ``loads`` the number of models on slots that don't have them loaded.
    """

    models: dict[str, list[str]]
    left_out_units: float = 0.0
    loads: int = 0


def assign_slots(
    groups: list[SlotGroup],
    counts: dict[Candidate, int],
    units: dict[Candidate, float],
    allowed_loads: int,
) -> dict[str, list[str]]:
    """Return the models of each slot, by replica id, for the replica ``counts`` of each candidate.

    ``units`` are the resource units of a replica of each candidate. At most
    ``allowed_loads`` models are placed on slots that don't have them loaded, unless the counts
    themselves need more.
    """
    assignments: dict[str, list[str]] = {}
    in_zone: dict[tuple[str, str, str], int] = {}
    spare = allowed_loads - _least_loads(groups, counts)
    for index, group in enumerate(groups):
        wanted = {
            model_region.model: count
            for model_region, count in counts.items()
            if model_region.group_index == index and count > 0
        }
        sizes = {model: units[Candidate(model, index)] for model in wanted}
        least = _group_loads(group, wanted)
        best = _fill_group(group, wanted, sizes, in_zone, least + max(0, spare))
        spare -= max(0, best.loads - least)
        assignments.update(best.models)
        _count_zones(group, best, in_zone)
    return assignments


def _fill_group(
    group: SlotGroup,
    wanted: dict[str, int],
    sizes: dict[str, float],
    in_zone: dict[tuple[str, str, str], int],
    allowed_loads: int,
) -> GroupFill:
    """Return the first fill that leaves nothing out, else the one that leaves out least."""
    fills = []
    for order in FillOrder:
        fill = _Filler(group, wanted, sizes, in_zone, allowed_loads).run(order)
        if fill.left_out_units == 0:
            return fill
        fills.append(fill)
    return min(fills, key=_fill_order)


def _fill_order(fill: GroupFill) -> tuple[float, int]:
    return (fill.left_out_units, fill.loads)


def _least_loads(groups: list[SlotGroup], counts: dict[Candidate, int]) -> int:
    return sum(
        max(0, count - groups[candidate.group_index].holding(candidate.model))
        for candidate, count in counts.items()
    )


def _group_loads(group: SlotGroup, wanted: dict[str, int]) -> int:
    return sum(max(0, count - group.holding(model)) for model, count in wanted.items())


def _count_zones(
    group: SlotGroup, fill: GroupFill, in_zone: dict[tuple[str, str, str], int]
) -> None:
    for slot in group.slots:
        for model in fill.models[slot.replica_id]:
            model_zone = (model, slot.region, slot.zone)
            in_zone[model_zone] = in_zone.get(model_zone, 0) + 1


@attrs.frozen
class _Ejection:
    """The models to move from ``slot`` to other slots, so that a further model fits there.

    ``loads`` is the number of additional loads, including that of the further model.
    """

    slot: ReplicaSlot
    moved: tuple[tuple[str, ReplicaSlot], ...]
    loads: int


class _Filler:
    def __init__(
        self,
        group: SlotGroup,
        wanted: dict[str, int],
        sizes: dict[str, float],
        in_zone: dict[tuple[str, str, str], int],
        allowed_loads: int,
    ) -> None:
        self._group = group
        self._missing = dict(wanted)
        self._sizes = sizes
        self._outside = in_zone
        self._allowed_loads = allowed_loads
        self._in_zone: dict[tuple[str, str], int] = {}
        self._free = {slot.replica_id: group.units for slot in group.slots}
        self._fill = GroupFill({slot.replica_id: [] for slot in group.slots})

    def run(self, order: FillOrder) -> GroupFill:
        """Fill the group: large models first, and among equal sizes the most numerous first."""
        models = sorted(
            self._missing, key=lambda model: (-self._sizes[model], -self._missing[model], model)
        )
        if order is not FillOrder.FRESH:
            self._assign_all(models, only_loaded=True)
        self._assign_all(models, only_loaded=False)
        if order is FillOrder.PACKING:
            self._free_capacity(models)
        self._fill.left_out_units = sum(
            count * max(self._sizes[model], LOAD_EPSILON) for model, count in self._missing.items()
        )
        return self._fill

    def _assign_all(self, models: list[str], *, only_loaded: bool) -> None:
        for model in models:
            while self._missing[model] > 0 and self._assign(model, only_loaded=only_loaded):
                self._missing[model] -= 1

    def _assign(self, model: str, *, only_loaded: bool) -> bool:
        slots = [
            slot for slot in self._group.slots if self._takes(model, slot, only_loaded=only_loaded)
        ]
        if not slots:
            return False
        self._put(model, min(slots, key=lambda slot: self._rank(model, slot)))
        return True

    def _free_capacity(self, models: list[str]) -> None:
        for model in models:
            while self._missing[model] > 0 and self._assign_by_ejection(model):
                self._missing[model] -= 1

    def _assign_by_ejection(self, model: str) -> bool:
        best: _Ejection | None = None
        for slot in self._group.slots:
            found = self._ejection(model, slot)
            if found is not None and (best is None or found.loads < best.loads):
                best = found
        if best is None or self._fill.loads + best.loads > self._allowed_loads:
            return False
        for other, target in best.moved:
            self._take_off(other, best.slot)
            self._put(other, target)
        self._put(model, best.slot)
        return True

    def _ejection(self, model: str, slot: ReplicaSlot) -> "_Ejection | None":
        """Find other slots for the smallest models of ``slot`` until ``model`` fits there.

        Returns None if it can't be made to fit.
        """
        here = self._fill.models[slot.replica_id]
        if model in here or (self._group.avoided and model not in slot.loaded_models):
            return None
        free = self._free[slot.replica_id]
        loads = int(model not in slot.loaded_models)
        free_units = dict(self._free)
        moved = []
        for other in sorted(here, key=lambda name: (self._sizes[name], name)):
            if free + LOAD_EPSILON >= self._sizes[model]:
                break
            target = self._new_home(other, slot, free_units)
            if target is None:
                return None
            free_units[target.replica_id] -= self._sizes[other]
            free += self._sizes[other]
            loads += (other not in target.loaded_models) - (other not in slot.loaded_models)
            moved.append((other, target))
        if free + LOAD_EPSILON < self._sizes[model]:
            return None
        return _Ejection(slot, tuple(moved), loads)

    def _new_home(
        self, model: str, old: ReplicaSlot, free_units: dict[str, float]
    ) -> ReplicaSlot | None:
        slots = [
            slot
            for slot in self._group.slots
            if slot is not old
            and model not in self._fill.models[slot.replica_id]
            and free_units[slot.replica_id] + LOAD_EPSILON >= self._sizes[model]
            and not (self._group.avoided and model not in slot.loaded_models)
        ]
        return min(slots, key=lambda slot: self._rank(model, slot), default=None)

    def _take_off(self, model: str, slot: ReplicaSlot) -> None:
        self._fill.models[slot.replica_id].remove(model)
        self._fill.loads -= model not in slot.loaded_models
        self._free[slot.replica_id] += self._sizes[model]
        self._in_zone[model, slot.zone] -= 1

    def _takes(self, model: str, slot: ReplicaSlot, *, only_loaded: bool) -> bool:
        if model in self._fill.models[slot.replica_id]:
            return False
        if model not in slot.loaded_models:
            full = self._fill.loads >= self._allowed_loads
            if only_loaded or full or self._group.avoided:
                return False
        return self._sizes[model] <= self._free[slot.replica_id] + LOAD_EPSILON

    def _rank(self, model: str, slot: ReplicaSlot) -> tuple:
        spread = self._in_zone.get((model, slot.zone), 0)
        spread += self._outside.get((model, slot.region, slot.zone), 0)
        displaced = sum(
            self._sizes.get(other, 0.0)
            for other in slot.loaded_models
            if other != model and other not in self._fill.models[slot.replica_id]
        )
        not_loaded = model not in slot.loaded_models
        return (spread, not_loaded, displaced, -self._free[slot.replica_id], slot.replica_id)

    def _put(self, model: str, slot: ReplicaSlot) -> None:
        self._fill.models[slot.replica_id].append(model)
        self._fill.loads += model not in slot.loaded_models
        self._free[slot.replica_id] -= self._sizes[model]
        model_region = (model, slot.zone)
        self._in_zone[model_region] = self._in_zone.get(model_region, 0) + 1
