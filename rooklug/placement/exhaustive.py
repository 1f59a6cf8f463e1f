"""Exhaustive search over all placements of a tiny problem: a test oracle for the solvers.

It shares no code with them except the costs of the objective. It supports only problems with one
resource type, one latency class per model, serve 1, spill 0 or 1, no reserve, and loads and
throughputs in multiples of ``TINY_GRAIN``. For these, the best traffic of a placement is found by
trying multiples of the grain.
"""

from itertools import combinations, product

from rooklug.placement import objective as cost
from rooklug.placement.cases import TINY_GRAIN
from rooklug.placement.problem import DemandKey, PlacementProblem


def best_objective(problem: PlacementProblem) -> float:
    """Return the lowest objective over all placements of a tiny problem."""
    best = None
    memory: dict[tuple[str, int, int], float] = {}
    choices = [_slot_choices(problem, slot.resource_units) for slot in problem.slots]
    for placement in product(*choices):
        value = _placement_cost(problem, placement, memory)
        if best is None or value < best:
            best = value
    return best if best is not None else 0.0


def _slot_choices(problem: PlacementProblem, units: float) -> list[tuple[str, ...]]:
    names = sorted(problem.models)
    return [
        chosen
        for size in range(len(names) + 1)
        for chosen in combinations(names, size)
        if sum(problem.models[name].resources["gpu"].units for name in chosen) <= units
    ]


def _placement_cost(
    problem: PlacementProblem,
    placement: tuple[tuple[str, ...], ...],
    memory: dict[tuple[str, int, int], float],
) -> float:
    total = 0.0
    for slot, models in zip(problem.slots, placement, strict=True):
        for name, model in problem.models.items():
            units = model.resources["gpu"].units
            if name in models:
                total += units
                total += cost.LOAD_SHARE * units if name not in slot.loaded_models else 0.0
            elif name in slot.loaded_models:
                total += cost.UNLOAD_SHARE * units
    for name in problem.models:
        counts = dict.fromkeys(problem.regions, 0)
        for slot, models in zip(problem.slots, placement, strict=True):
            counts[slot.region] += name in models
        state = (name, counts["east"], counts["west"])
        if state not in memory:
            memory[state] = _traffic_cost(problem, name, counts)
        total += memory[state]
    return total


def _traffic_cost(problem: PlacementProblem, name: str, counts: dict[str, int]) -> float:
    model = problem.models[name]
    grains = round(model.resources["gpu"].tokens_per_s / TINY_GRAIN)
    free_units = {region: count * grains for region, count in counts.items()}
    loads = {
        region: round(problem.demand[DemandKey(name, "only", region)] / TINY_GRAIN)
        for region in problem.regions
    }
    return _routing_cost(problem, name, loads, free_units) + _coverage_cost(problem, name, counts)


def _routing_cost(
    problem: PlacementProblem, name: str, loads: dict[str, int], free_units: dict[str, int]
) -> float:
    late = problem.models[name].latency_classes["only"].limit_ms < 40.0
    rank = cost.priority_ranks(problem)[name]
    unplaced_price = cost.unplaced_cost(problem, name, rank) * TINY_GRAIN
    crossing_price = cost.late_cost(problem, name) * TINY_GRAIN if late else 0.0
    best = None
    for to_west in range(_spill_limit(problem, "west", loads["east"]) + 1):
        for to_east in range(_spill_limit(problem, "east", loads["west"]) + 1):
            if to_west > free_units["west"] or to_east > free_units["east"]:
                continue
            own_east = min(loads["east"] - to_west, free_units["east"] - to_east)
            own_west = min(loads["west"] - to_east, free_units["west"] - to_west)
            served = own_east + own_west + to_west + to_east
            missing = loads["east"] + loads["west"] - served
            value = missing * unplaced_price + (to_west + to_east) * crossing_price
            best = value if best is None else min(best, value)
    return best if best is not None else 0.0


def _spill_limit(problem: PlacementProblem, region: str, load: int) -> int:
    return load if problem.regions[region].weights.spill > 0 else 0


def _coverage_cost(problem: PlacementProblem, name: str, counts: dict[str, int]) -> float:
    near = problem.models[name].latency_classes["only"].limit_ms >= 40.0
    groups = set()
    for source in problem.regions:
        regions = {source}
        for other in problem.regions:
            if other != source and near and problem.regions[other].weights.spill > 0:
                regions.add(other)
        groups.add(tuple(sorted(regions)))
    price = cost.coverage_cost(problem, name, cost.priority_ranks(problem)[name])
    return sum(price for regions in groups if not any(counts[region] for region in regions))
