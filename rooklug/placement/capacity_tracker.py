"""Bookkeeping for a placement under construction: slot units, throughput, regions' budgets."""

import attrs

from rooklug.config.document import ResourceNeed
from rooklug.placement.facts import LOAD_EPSILON, need_on, usable_share
from rooklug.placement.problem import DemandKey, PlacementProblem, ReplicaSlot


@attrs.define
class OpenReplica:
    """A model placed on a slot.

    ``units_a_token`` is its cost in resource units per token/s; ``tokens_left`` is the throughput
    (tokens/s) that no flow uses yet.
    """

    slot: ReplicaSlot
    units_a_token: float
    tokens_left: float


@attrs.frozen
class Flow:
    """The planned traffic of one demand key to one region; ``load`` is in tokens/s."""

    key: DemandKey
    region: str
    load: float


class CapacityTracker:
    """Tracks the capacity that a placement uses, and never exceeds a capacity or a region's weight.

    ``moves_left`` is the number of loads that the guardrail still allows. The weight ``serve``
    bounds the units that serve a region's own traffic, ``spill`` those for other regions.
    """

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
        """Return the replicas of a model placed in a region so far."""
        return self._open.get((model, region), [])

    def open_replica(self, model: str, region: str) -> bool:
        """Place one more replica of ``model`` in ``region``; return False if no slot allows it.

        Prefers slots that have the model loaded, then the cheapest units per token/s, then zones
        with few replicas of the model, then slots where little is loaded.
        """
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
        """Place ``model`` on ``slot``, which must have the capacity for it."""
        need = self._need(model, slot)
        assert need is not None, (
            "the model is not configured for the slot's resource, or needs more units than it has"
        )
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
        """Return whether ``model`` can run on ``slot``, isn't placed there yet, and fits."""
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
        """Assign up to ``load`` tokens/s of ``key`` to replicas in ``region``; return the rest."""
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
        """Return the units that traffic like ``key`` (own or spilled) may still use there."""
        own = region == key.source_region
        return (self._own_budget if own else self._foreign_budget)[region]

    def flow_list(self) -> list[Flow]:
        """Return all traffic assigned so far."""
        return [
            Flow(key, region, load)
            for key, regions in self.flows.items()
            for region, load in sorted(regions.items())
        ]
