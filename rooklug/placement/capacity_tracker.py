"""What a placement in the making uses: units of slots, throughput, budgets of regions."""

import attrs

from rooklug.config.document import ResourceNeed
from rooklug.placement.facts import LOAD_EPSILON, need_on, usable_share
from rooklug.placement.problem import DemandKey, PlacementProblem, ReplicaSlot


@attrs.define
class OpenReplica:
    """A model on a slot, with the throughput (tokens/s) that is still free."""

    slot: ReplicaSlot
    units_a_token: float
    tokens_left: float


@attrs.frozen
class Flow:
    """Planned traffic (tokens/s) of one demand key to one region."""

    key: DemandKey
    region: str
    load: float


class CapacityTracker:
    """Tracks what a placement uses; refuses whatever a capacity or a weight doesn't allow."""

    def __init__(self, problem: PlacementProblem, moves: int) -> None:
        self.problem = problem
        self.moves_left = moves
        self.assignments: dict[str, list[str]] = {slot.replica_id: [] for slot in problem.slots}
        self.flows: dict[DemandKey, dict[str, float]] = {}
        self._free = {slot.replica_id: slot.resource_units for slot in problem.slots}
        self._open: dict[tuple[str, str], list[OpenReplica]] = {}
        self._in_zone: dict[tuple[str, str, str], int] = {}
        self._needs: dict[tuple[str, str, str, float], ResourceNeed | None] = {}
        self._exhausted: set[tuple[str, str]] = set()
        self._by_region: dict[str, list[ReplicaSlot]] = {}
        for slot in sorted(problem.slots, key=lambda slot: slot.replica_id):
            self._by_region.setdefault(slot.region, []).append(slot)
        self._own_budget = self._budget("serve")
        self._foreign_budget = self._budget("spill")

    def _budget(self, weight: str) -> dict[str, float]:
        budget = {}
        for name, facts in self.problem.regions.items():
            units = sum(slot.resource_units for slot in self._by_region.get(name, ()))
            budget[name] = getattr(facts.weights, weight) * units
        return budget

    def replicas(self, model: str, region: str) -> list[OpenReplica]:
        """Return the open replicas of a model in a region."""
        return self._open.get((model, region), [])

    def open_replica(self, model: str, region: str) -> bool:
        """Open one more replica of ``model`` in ``region``; False if nothing allows it."""
        if (model, region) in self._exhausted:
            return False
        best = None
        for slot in self._by_region.get(region, ()):
            rank = self._rank(model, slot)
            if rank is not None and (best is None or rank < best[0]):
                best = (rank, slot)
        if best is None:
            self._exhausted.add((model, region))
            return False
        self.open_on(model, best[1])
        return True

    def open_on(self, model: str, slot: ReplicaSlot) -> None:
        """Open ``model`` on ``slot``, which has the capacity for it."""
        need = self._need(model, slot)
        assert need is not None, "opened where it can't run"
        self._free[slot.replica_id] -= need.units
        self.assignments[slot.replica_id].append(model)
        if model not in slot.loaded_models:
            self.moves_left -= 1
        usable = need.tokens_per_s * usable_share(self.problem.regions[slot.region])
        opened = OpenReplica(slot, need.units / need.tokens_per_s, usable)
        self._open.setdefault((model, slot.region), []).append(opened)
        model_zone = (model, slot.region, slot.zone)
        self._in_zone[model_zone] = self._in_zone.get(model_zone, 0) + 1

    def _need(self, model: str, slot: ReplicaSlot) -> ResourceNeed | None:
        kind = (model, slot.region, slot.resource, slot.resource_units)
        if kind not in self._needs:
            self._needs[kind] = need_on(self.problem, model, slot)
        return self._needs[kind]

    def has_capacity(self, model: str, slot: ReplicaSlot) -> bool:
        """Return whether ``model`` could still be opened on ``slot``."""
        need = self._need(model, slot)
        if need is None or model in self.assignments[slot.replica_id]:
            return False
        return need.units <= self._free[slot.replica_id] + LOAD_EPSILON

    def _rank(self, model: str, slot: ReplicaSlot) -> tuple | None:
        loaded = model in slot.loaded_models
        if not loaded and (self.moves_left <= 0 or slot.replica_id in self.problem.avoid_slots):
            return None
        need = self._need(model, slot)
        if need is None or not self.has_capacity(model, slot):
            return None
        in_zone = self._in_zone.get((model, slot.region, slot.zone), 0)
        displaced = len(slot.loaded_models) - loaded
        cost = need.units / need.tokens_per_s
        return (not loaded, round(cost, 9), in_zone, displaced, slot.replica_id)

    def pour(self, key: DemandKey, region: str, load: float) -> float:
        """Send up to ``load`` of ``key`` to ``region``'s open replicas; return the rest."""
        own = region == key.source_region
        budget = self._own_budget if own else self._foreign_budget
        rest = load
        for replica in self.replicas(key.model, region):
            allowed = budget[region] / replica.units_a_token if replica.units_a_token else rest
            taken = min(rest, replica.tokens_left, max(0.0, allowed))
            replica.tokens_left -= taken
            budget[region] -= taken * replica.units_a_token
            rest -= taken
        if load - rest > LOAD_EPSILON:
            regions = self.flows.setdefault(key, {})
            regions[region] = regions.get(region, 0.0) + load - rest
        return rest

    def budget_left(self, key: DemandKey, region: str) -> float:
        """Return the units that ``key``'s kind of traffic may still use in ``region``."""
        own = region == key.source_region
        return (self._own_budget if own else self._foreign_budget)[region]

    def flow_list(self) -> list[Flow]:
        """Return all planned traffic."""
        return [
            Flow(key, region, load)
            for key, regions in self.flows.items()
            for region, load in sorted(regions.items())
        ]
