"""The placement problem and its solution, as plain values.

Modelled on GSP's PlacementSpec and placement plan: one solve gives replica counts and a
source-to-destination routing matrix of preferences and weights.
"""

import attrs

from rooklug.config.document import Model, Readiness, RegionWeights


@attrs.frozen
class DemandKey:
    """The key by which demand is counted and routed.

    Traffic may be served only in ``home_regions``; an empty tuple allows all regions.
    """

    model: str
    latency_class: str
    source_region: str
    home_regions: tuple[str, ...] = ()


@attrs.frozen
class ReplicaSlot:
    """A replica that models can be loaded on: one bin of the packing problem.

    ``resource_units`` is its capacity.
    """

    replica_id: str
    region: str
    zone: str
    resource: str
    resource_units: float
    loaded_models: tuple[str, ...] = ()


@attrs.frozen
class RegionFacts:
    """A region's weights, and its round trips in ms to other regions by name."""

    weights: RegionWeights
    round_trip_ms: dict[str, float]


@attrs.frozen
class PlacementProblem:
    """The complete input of one solve. Demand is in load tokens/s (prompt/8 + answer tokens).

    A demand of 0 asks to keep a replica of the model in reach. No new model is loaded on
    ``avoid_slots``, but their loaded models may stay. ``ReplicaSlot.loaded_models`` should include
    the models with a load in flight, so that a second solve doesn't ask for the same load again.
    ``max_moves`` bounds loads and unloads (see ``guardrail.py``).
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
    """One cell of the routing matrix.

    Lower preferences are used first; ``weight`` is the share within a preference. ``planned`` is
    the traffic (tokens/s) that the plan assigns to the cell.
    """

    demand_key: DemandKey
    destination_region: str
    preference: int
    weight: float
    planned: float = 0.0


@attrs.frozen
class Violation:
    """An intent that the plan doesn't meet.

    ``intent`` is "demand", "latency", "reach" or "readiness", ``subject`` the model. ``amount`` is
    in tokens/s, or in replicas for "reach".
    """

    intent: str
    subject: str
    amount: float
    message: str


@attrs.frozen
class PlacementPlan:
    """The solution: the models of each slot, the routing matrix, and what could not be placed.

    ``assignments`` is by replica id, ``unplaced`` in tokens/s. ``required`` is how many replicas
    the planned traffic needs, by model and region. ``gap`` is the proven relative distance to the
    best objective (0 if none is known).
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
