"""Disaster readiness: whether the replicas left after a loss can still serve the demand.

As in GSP, the loss of any single region (or, here, zone) should not be noticed by users. The check
compares the throughput in reach with the demand, model by model. It doesn't route, so it is a
necessary condition but not a sufficient one; ``rooklug.placement.whatif`` routes.
"""

from collections.abc import Mapping, Sequence

import attrs

from rooklug.config.document import Readiness
from rooklug.placement.facts import LOAD_EPSILON, destinations, need_on, usable_share
from rooklug.placement.problem import PlacementProblem, Violation

INTENT = "readiness"


@attrs.frozen
class Shortfall:
    """The demand of one model that one loss would leave unserved.

    ``lost`` is the region or zone; ``missing`` is in tokens/s.
    """

    model: str
    lost: str
    missing: float


@attrs.frozen
class CoverageDemand:
    """The demand (tokens/s) of a model that one set of regions may serve."""

    model: str
    regions: tuple[str, ...]
    load: float


def coverage_demand(problem: PlacementProblem) -> list[CoverageDemand]:
    """Return the demand of each model, grouped by the set of regions that may serve it."""
    loads: dict[tuple[str, tuple[str, ...]], float] = {}
    for key, load in problem.demand.items():
        regions = tuple(sorted(destination.region for destination in destinations(problem, key)))
        if regions and load > LOAD_EPSILON:
            loads[key.model, regions] = loads.get((key.model, regions), 0.0) + load
    return [
        CoverageDemand(model, regions, load) for (model, regions), load in sorted(loads.items())
    ]


def shortfalls(
    problem: PlacementProblem, assignments: Mapping[str, Sequence[str]]
) -> list[Shortfall]:
    """Return what each loss would leave unserved that the problem asks to survive.

    Demand that only one region (or zone) can serve isn't counted for its loss.
    """
    if problem.readiness is Readiness.NONE:
        return []
    by_zone = problem.readiness is Readiness.ZONE
    capacity = _capacity(problem, assignments, by_zone=by_zone)
    domains = {(slot.region, slot.zone if by_zone else slot.region) for slot in problem.slots}
    found = []
    for demand in coverage_demand(problem):
        remaining = {
            destination: rate
            for (model, host, destination), rate in capacity.items()
            if model == demand.model and host in demand.regions
        }
        total = sum(remaining.values())
        for region, domain in sorted(domains):
            if region not in demand.regions or not _survivable(demand, domains):
                continue
            left = total - remaining.get(domain, 0.0)
            if demand.load - left > LOAD_EPSILON:
                found.append(Shortfall(demand.model, domain, demand.load - left))
    return found


def readiness_violations(
    problem: PlacementProblem, assignments: Mapping[str, Sequence[str]]
) -> list[Violation]:
    """Return the shortfalls as violations of the intent "readiness"."""
    return [
        Violation(
            INTENT,
            gap.model,
            gap.missing,
            f"without {gap.lost}, {gap.missing:.1f} tokens/s of {gap.model} would be unserved",
        )
        for gap in shortfalls(problem, assignments)
    ]


def _survivable(demand: CoverageDemand, domains: set[tuple[str, str]]) -> bool:
    inside = [domain for host, domain in domains if host in demand.regions]
    return len(inside) > 1


def _capacity(
    problem: PlacementProblem, assignments: Mapping[str, Sequence[str]], *, by_zone: bool
) -> dict[tuple[str, str, str], float]:
    capacity: dict[tuple[str, str, str], float] = {}
    for slot in problem.slots:
        domain = slot.zone if by_zone else slot.region
        for model in assignments.get(slot.replica_id, ()):
            need = need_on(problem, model, slot)
            if need is not None:
                usable = need.tokens_per_s * usable_share(problem.regions[slot.region])
                destination = (model, slot.region, domain)
                capacity[destination] = capacity.get(destination, 0.0) + usable
    return capacity
