"""The placement problem and its solution, as plain values.

After GSP's PlacementSpec and placement plan: one solve gives replica counts and a
source-to-destination routing matrix of preference and weight.
"""

import attrs

from rooklug.config.document import Model, Readiness, RegionWeights


@attrs.frozen
class DemandKey:
    """What demand is counted by."""

    model: str
    latency_class: str
    source_region: str
    home_regions: tuple[str, ...] = ()


@attrs.frozen
class ReplicaSlot:
    """A replica that models can be loaded on (one bin)."""

    replica_id: str
    region: str
    zone: str
    resource: str
    resource_units: float
    loaded_models: tuple[str, ...] = ()


@attrs.frozen
class RegionFacts:
    """A region as the planner sees it."""

    weights: RegionWeights
    round_trip_ms: dict[str, float]


@attrs.frozen
class PlacementProblem:
    """Everything one solve reads. Demand is in load tokens/s (prompt/8 + answer tokens).

    A demand of 0 says: configured, keep a replica in reach. No new model is loaded on
    ``avoid_slots``; what they hold may stay. ``ReplicaSlot.loaded_models`` should also hold
    the models whose load is under way, so that two solves don't ask for it twice.
    """

    models: dict[str, Model]
    regions: dict[str, RegionFacts]
    slots: tuple[ReplicaSlot, ...]
    demand: dict[DemandKey, float]
    max_moves: int
    solve_limit_s: float
    avoid_slots: frozenset[str] = frozenset()
    readiness: Readiness = Readiness.NONE


@attrs.frozen
class RouteShare:
    """One cell of the routing matrix. ``planned`` is the load (tokens/s) that the plan sends."""

    demand_key: DemandKey
    destination_region: str
    preference: int
    weight: float
    planned: float = 0.0


@attrs.frozen
class Violation:
    """An intent that the plan doesn't meet. ``amount`` is in tokens/s or replicas."""

    intent: str
    subject: str
    amount: float
    message: str


@attrs.frozen
class PlacementPlan:
    """The solution: models for each slot, the matrix, and what could not be placed.

    ``required`` is, by model and region, how many replicas the planned traffic needs there;
    ``gap`` the proven relative distance to the best objective (0 where none is known).
    """

    assignments: dict[str, tuple[str, ...]]
    matrix: tuple[RouteShare, ...]
    unplaced: dict[DemandKey, float]
    evicted_models: tuple[str, ...]
    objective: float
    solver: str
    notes: tuple[str, ...] = ()
    required: dict[str, dict[str, int]] = attrs.field(factory=dict)
    gap: float = 0.0
    violations: tuple[Violation, ...] = ()
