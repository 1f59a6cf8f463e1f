"""A fallback plan for when the planner fails: all models spread over the slots.

It keeps what is loaded, fills the rest of each slot with the configured models in rotation, and
prefers a key's source region over other regions.
"""

from rooklug.placement.problem import (
    DemandKey,
    PlacementPlan,
    PlacementProblem,
    ReplicaSlot,
    RouteShare,
)

LOCAL_PREFERENCE = 0
REMOTE_PREFERENCE = 1


def spread(problem: PlacementProblem) -> PlacementPlan:
    """Return a plan that fills each slot with as many configured models as fit.

    Replicas to avoid keep their models but get no new one.
    """
    assignments: dict[str, tuple[str, ...]] = {}
    by_priority = sorted(problem.models, key=lambda name: (-problem.models[name].priority, name))
    for position, slot in enumerate(sorted(problem.slots, key=lambda slot: slot.replica_id)):
        turn = position % len(by_priority) if by_priority else 0
        assignments[slot.replica_id] = _fill(problem, slot, by_priority[turn:] + by_priority[:turn])
    matrix = [share for key in sorted(problem.demand, key=repr) for share in _row(problem, key)]
    return PlacementPlan(
        assignments=assignments,
        matrix=tuple(matrix),
        unplaced={},
        evicted_models=(),
        objective=0.0,
        solver="spread",
    )


def _fill(problem: PlacementProblem, slot: ReplicaSlot, wanted: list[str]) -> tuple[str, ...]:
    chosen: list[str] = []
    free = slot.resource_units
    new_allowed = slot.replica_id not in problem.avoid_slots
    for model in [*slot.loaded_models, *wanted]:
        need = problem.models[model].resources.get(slot.resource)
        may_load = model in slot.loaded_models or new_allowed
        if model in chosen or need is None or need.units > free or not may_load:
            continue
        chosen.append(model)
        free -= need.units
    return tuple(sorted(chosen))


def _row(problem: PlacementProblem, key: DemandKey) -> list[RouteShare]:
    regions = key.home_regions or tuple(sorted(problem.regions))
    slots = {region: sum(s.region == region for s in problem.slots) for region in regions}
    return [
        RouteShare(
            key,
            region,
            LOCAL_PREFERENCE if region == key.source_region else REMOTE_PREFERENCE,
            float(count),
        )
        for region, count in slots.items()
        if count > 0
    ]
