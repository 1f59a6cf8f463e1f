"""The objective of a placement: a weighted sum of costs in resource units, to be minimised.

In order of importance: unplaced demand by priority, models out of reach of their demand, late
traffic, missing headroom for a loss, capacity, churn. Each cost has a fixed ratio to a unit of
capacity, so this order holds up to these ratios.
"""

from collections.abc import Mapping, Sequence

import attrs

from rooklug.placement.capacity_tracker import Flow
from rooklug.placement.facts import destinations, need_on, unit_cost
from rooklug.placement.problem import PlacementProblem
from rooklug.placement.readiness import shortfalls

UNPLACED_RATIO = 1000.0
"""Cost of unplaced demand of the lowest rank, relative to the capacity that serves it."""
PRIORITY_RATIO = 5.0
"""Factor of the costs of unplaced and uncovered demand from each rank to the next."""
PRIORITY_LEVELS = 5
COVERAGE_RATIO = 500.0
LATE_RATIO = 200.0
READINESS_RATIO = 5.0
LOAD_SHARE = 0.25
"""Cost of a load as a share of the units it fills; a move must save more than this."""
UNLOAD_SHARE = 0.05
"""Cost of an unload as a share of the units it frees."""


@attrs.frozen
class ObjectiveTerms:
    """The terms of the objective, each already weighted, in resource units."""

    unplaced: float
    uncovered: float
    late: float
    readiness: float
    capacity: float
    churn: float

    @property
    def total(self) -> float:
        """The sum of all terms, which the solvers minimise."""
        return sum(attrs.astuple(self))


def priority_ranks(problem: PlacementProblem) -> dict[str, int]:
    """Return each model's priority rank, 0 for the lowest.

    More than ``PRIORITY_LEVELS`` distinct priorities are merged into that many ranks.
    """
    distinct = sorted({model.priority for model in problem.models.values()})
    steps = max(1, len(distinct) - 1)
    top = min(steps, PRIORITY_LEVELS - 1)
    level = {priority: index * top // steps for index, priority in enumerate(distinct)}
    return {name: level[model.priority] for name, model in problem.models.items()}


def unplaced_cost(problem: PlacementProblem, model: str, rank: int) -> float:
    """Return the cost of a token/s of ``model`` that no region serves."""
    return UNPLACED_RATIO * PRIORITY_RATIO**rank * unit_cost(problem.models[model])


def late_cost(problem: PlacementProblem, model: str) -> float:
    """Return the cost of a token/s of ``model`` served beyond its round-trip threshold."""
    return LATE_RATIO * unit_cost(problem.models[model])


def coverage_cost(problem: PlacementProblem, model: str, rank: int) -> float:
    """Return the cost of a coverage group (see ``coverage_groups``) that doesn't host ``model``."""
    units = min((need.units for need in problem.models[model].resources.values()), default=1.0)
    return COVERAGE_RATIO * PRIORITY_RATIO**rank * units


def readiness_cost(problem: PlacementProblem, model: str) -> float:
    """Return the cost of a token/s of ``model`` that a loss to be survived would leave unserved."""
    return READINESS_RATIO * unit_cost(problem.models[model])


def evaluate(
    problem: PlacementProblem, assignments: Mapping[str, Sequence[str]], flows: list[Flow]
) -> ObjectiveTerms:
    """Return the objective of a placement and its traffic, whichever solver found them."""
    ranks = priority_ranks(problem)
    loaded, filled, unloaded = _occupancy(problem, assignments)
    return ObjectiveTerms(
        unplaced=_unplaced(problem, flows, ranks),
        uncovered=_uncovered_cost(problem, assignments, ranks),
        late=_late(problem, flows),
        readiness=sum(
            readiness_cost(problem, gap.model) * gap.missing
            for gap in shortfalls(problem, assignments)
        ),
        capacity=filled,
        churn=LOAD_SHARE * loaded + UNLOAD_SHARE * unloaded,
    )


def _unplaced(problem: PlacementProblem, flows: list[Flow], ranks: dict[str, int]) -> float:
    served: dict = {}
    for flow in flows:
        served[flow.key] = served.get(flow.key, 0.0) + flow.load
    return sum(
        unplaced_cost(problem, key.model, ranks[key.model]) * max(0.0, load - served.get(key, 0.0))
        for key, load in problem.demand.items()
        if key.model in problem.models
    )


def _uncovered_cost(
    problem: PlacementProblem, assignments: Mapping[str, Sequence[str]], ranks: dict[str, int]
) -> float:
    hosts = hosting_regions(problem, assignments)
    missing = coverage_groups(problem)
    return sum(
        coverage_cost(problem, model, ranks[model])
        for model, regions in missing
        if not hosts.get(model, set()) & set(regions)
    )


def coverage_groups(problem: PlacementProblem) -> list[tuple[str, tuple[str, ...]]]:
    """Return the distinct (model, regions) of which at least one region should host the model.

    For a demand key, these are the regions within its round-trip threshold; for a model without
    demand, all regions.
    """
    groups = set()
    keyed = set()
    for key in problem.demand:
        if key.model not in problem.models:
            continue
        in_time = tuple(
            sorted(
                destination.region
                for destination in destinations(problem, key)
                if not destination.late
            )
        )
        keyed.add(key.model)
        if in_time:
            groups.add((key.model, in_time))
    for model in problem.models:
        if model not in keyed and problem.regions:
            groups.add((model, tuple(sorted(problem.regions))))
    return sorted(groups)


def hosting_regions(
    problem: PlacementProblem, assignments: Mapping[str, Sequence[str]]
) -> dict[str, set[str]]:
    """Return the regions that host each model under ``assignments``."""
    hosts: dict[str, set[str]] = {}
    for slot in problem.slots:
        for model in assignments.get(slot.replica_id, ()):
            hosts.setdefault(model, set()).add(slot.region)
    return hosts


def _late(problem: PlacementProblem, flows: list[Flow]) -> float:
    total = 0.0
    for flow in flows:
        late = {
            destination.region
            for destination in destinations(problem, flow.key)
            if destination.late
        }
        if flow.region in late:
            total += late_cost(problem, flow.key.model) * flow.load
    return total


def _occupancy(
    problem: PlacementProblem, assignments: Mapping[str, Sequence[str]]
) -> tuple[float, float, float]:
    loaded = filled = unloaded = 0.0
    for slot in problem.slots:
        target = set(assignments.get(slot.replica_id, ()))
        for model in sorted(target | set(slot.loaded_models)):
            need = need_on(problem, model, slot)
            units = need.units if need is not None else 0.0
            if model in target:
                filled += units
                loaded += units if model not in slot.loaded_models else 0.0
            else:
                unloaded += units
    return loaded, filled, unloaded
