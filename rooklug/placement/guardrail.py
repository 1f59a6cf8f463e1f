"""The guardrail on moves: how many loads and unloads one solve may ask for."""

from math import ceil

from rooklug.placement.facts import LOAD_EPSILON, destinations, need_on, usable_share
from rooklug.placement.problem import PlacementProblem, ReplicaSlot


def allowed_loads(problem: PlacementProblem) -> int:
    """Return how many loads this solve may ask for.

    That is ``max_moves``, plus repair loads as far as free capacity can take them: loads for
    demand that the loaded replicas of its eligible regions can't serve. So a fleet that restarts
    with nothing loaded is filled by one solve, while loads that displace other models stay
    bounded, even under a lasting overload.
    """
    repair = sum(repair_loads(problem).values())
    return problem.max_moves + min(repair, _loads_into_free_capacity(problem))


def repair_loads(problem: PlacementProblem) -> dict[str, int]:
    """Return by model how many loads are needed for demand beyond the loaded throughput.

    This is an upper bound for any placement: it assumes the slowest resource, and counts each set
    of eligible regions separately.
    """
    capacity = _loaded_capacity(problem)
    wanted = _demand_by_coverage(problem)
    loads: dict[str, int] = {}
    for (model, eligible), demand in sorted(wanted.items()):
        carried = sum(capacity.get((model, region), 0.0) for region in eligible)
        slowest = _slowest_throughput(problem, model)
        if slowest <= 0 or (carried > 0 and demand <= carried):
            continue
        missing = max(1, ceil((demand - carried) / slowest))
        loads[model] = loads.get(model, 0) + missing
    return loads


def keep_surplus(
    problem: PlacementProblem, assignments: dict[str, list[str]]
) -> tuple[dict[str, list[str]], int]:
    """Return ``assignments`` with at most ``max_moves`` unloads, and how many are postponed.

    An unload is postponed only if the slot has room; a model that must make room for another one
    is unloaded regardless.
    """
    placed = {name: list(models) for name, models in assignments.items()}
    allowed = problem.max_moves
    postponed = 0
    for slot in sorted(problem.slots, key=lambda slot: slot.replica_id):
        target = placed.setdefault(slot.replica_id, [])
        for model in sorted(set(slot.loaded_models) - set(target)):
            if allowed > 0 or not _fits(problem, slot, [*target, model]):
                allowed -= 1
            else:
                target.append(model)
                postponed += 1
    return placed, postponed


def _fits(problem: PlacementProblem, slot: ReplicaSlot, models: list[str]) -> bool:
    units = 0.0
    for model in models:
        need = need_on(problem, model, slot)
        if need is None:
            return False
        units += need.units
    return units <= slot.resource_units + LOAD_EPSILON


def _loaded_capacity(problem: PlacementProblem) -> dict[tuple[str, str], float]:
    capacity: dict[tuple[str, str], float] = {}
    for slot in problem.slots:
        for model in slot.loaded_models:
            need = need_on(problem, model, slot)
            if need is not None:
                usable = need.tokens_per_s * usable_share(problem.regions[slot.region])
                model_region = (model, slot.region)
                capacity[model_region] = capacity.get(model_region, 0.0) + usable
    return capacity


def _loads_into_free_capacity(problem: PlacementProblem) -> int:
    """Return how many replicas of each slot's smallest model the free units could take."""
    total = 0
    for slot in problem.slots:
        needs = {model: need_on(problem, model, slot) for model in problem.models}
        units = {model: need.units for model, need in needs.items() if need is not None}
        used = sum(units.get(model, slot.resource_units) for model in slot.loaded_models)
        smallest = min((size for size in units.values() if size > 0), default=None)
        if smallest is not None:
            total += max(0, int((slot.resource_units - used + LOAD_EPSILON) // smallest))
    return total


def _demand_by_coverage(problem: PlacementProblem) -> dict[tuple[str, tuple[str, ...]], float]:
    wanted: dict[tuple[str, tuple[str, ...]], float] = {}
    for model in problem.models:
        wanted[model, tuple(sorted(problem.regions))] = 0.0
    for key, load in problem.demand.items():
        eligible = tuple(sorted(destination.region for destination in destinations(problem, key)))
        if eligible:
            wanted[key.model, eligible] = wanted.get((key.model, eligible), 0.0) + load
    return wanted


def _slowest_throughput(problem: PlacementProblem, model: str) -> float:
    shares = [usable_share(facts) for facts in problem.regions.values()]
    rates = [need.tokens_per_s for need in problem.models[model].resources.values()]
    usable = [rate * share for rate in rates for share in shares if rate * share > 0]
    return min(usable, default=0.0)
