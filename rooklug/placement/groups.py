"""Aggregation of equivalent slots into groups and of equivalent demand into commodities.

So the size of the program depends on the number of different kinds, not on that of replicas.
"""

import attrs

from rooklug.placement.facts import LOAD_EPSILON, Destination, destinations, need_on
from rooklug.placement.problem import DemandKey, PlacementProblem, ReplicaSlot

MAX_PATTERNS = 64


@attrs.frozen
class SlotGroup:
    """Slots that differ only in their zone and their loaded models.

    ``units`` are the resource units of each slot. No new model is loaded on ``avoided`` slots.
    """

    region: str
    resource: str
    units: float
    avoided: bool
    slots: tuple[ReplicaSlot, ...]

    def holding(self, model: str) -> int:
        """Return how many of the slots have ``model`` loaded now."""
        return sum(model in slot.loaded_models for slot in self.slots)


@attrs.frozen
class Commodity:
    """The demand of all keys that share model, source region and destinations.

    ``load`` is its sum in tokens/s.
    """

    model: str
    source_region: str
    eligible: tuple[Destination, ...]
    keys: tuple[DemandKey, ...]
    load: float


@attrs.frozen
class PackingPatterns:
    """Ways to fill one slot: each pattern has one count per entry of ``sizes``.

    Sizes are in resource units, largest first.
    """

    sizes: list[float]
    patterns: list[tuple[int, ...]]


def slot_groups(problem: PlacementProblem) -> list[SlotGroup]:
    """Return the groups of slots in configured regions, in a fixed order."""
    members: dict[tuple[str, str, float, bool], list[ReplicaSlot]] = {}
    for slot in sorted(problem.slots, key=lambda slot: slot.replica_id):
        if slot.region in problem.regions:
            avoided = slot.replica_id in problem.avoid_slots
            kind = (slot.region, slot.resource, slot.resource_units, avoided)
            members.setdefault(kind, []).append(slot)
    return [SlotGroup(*kind, tuple(slots)) for kind, slots in sorted(members.items())]


def commodities(problem: PlacementProblem) -> list[Commodity]:
    """Return the demand above zero that at least one region may serve."""
    merged: dict[tuple[str, str, tuple[Destination, ...]], list[DemandKey]] = {}
    for key, load in problem.demand.items():
        eligible = tuple(destinations(problem, key))
        if eligible and load > LOAD_EPSILON:
            merged.setdefault((key.model, key.source_region, eligible), []).append(key)
    return [
        Commodity(
            model,
            source,
            eligible,
            tuple(keys),
            sum(problem.demand[key] for key in sorted_keys(keys)),
        )
        for (model, source, eligible), keys in sorted(merged.items(), key=_merge_order)
    ]


def _merge_order(entry: tuple) -> tuple:
    (model, source, eligible), _ = entry
    return (
        model,
        source,
        tuple((destination.region, destination.late) for destination in eligible),
    )


def sorted_keys(keys: list[DemandKey]) -> list[DemandKey]:
    """Return demand keys in the order of their fields."""
    return sorted(keys, key=attrs.astuple)


def runnable_models(problem: PlacementProblem, group: SlotGroup) -> dict[str, float]:
    """Return the units that a replica takes on this group's slots, by model that can run there."""
    found = {}
    for model in sorted(problem.models):
        need = need_on(problem, model, group.slots[0])
        if need is not None:
            found[model] = need.units
    return found


def packing_patterns(
    group: SlotGroup, sizes: list[float], models_per_size: dict[float, int]
) -> PackingPatterns | None:
    """Return the maximal ways to fill one slot, or None if there are more than ``MAX_PATTERNS``.

    Without patterns, replica counts that fit the group's total units may not fit its slots.
    """
    patterns: list[tuple[int, ...]] = []
    sizes = sorted(sizes, reverse=True)

    def extend(chosen: list[int], free_units: float) -> bool:
        index = len(chosen)
        if index == len(sizes):
            if not _could_grow(chosen, sizes, models_per_size, free_units):
                patterns.append(tuple(chosen))
            return len(patterns) <= MAX_PATTERNS
        size = sizes[index]
        most = models_per_size[size]
        if size > 0:
            most = min(most, int((free_units + LOAD_EPSILON) // size))
        return all(
            extend([*chosen, count], free_units - count * size) for count in range(most, -1, -1)
        )

    return PackingPatterns(sizes, patterns) if extend([], group.units) else None


def _could_grow(
    chosen: list[int], sizes: list[float], models_per_size: dict[float, int], free_units: float
) -> bool:
    return any(
        count < models_per_size[size] and size <= free_units + LOAD_EPSILON
        for count, size in zip(chosen, sizes, strict=True)
    )
