"""The source-to-destination routing matrix of preferences and weights, as in GSP.

Cells with preference 0 are the planned destinations within the round-trip threshold of the latency
class. Higher preferences are for spill: first other regions in time, then late ones. No cell leads
outside a key's home regions, or to another region whose weights allow no spill.
"""

import attrs

from rooklug.placement.capacity_tracker import Flow
from rooklug.placement.facts import (
    LOAD_EPSILON,
    Destination,
    all_keys,
    destinations,
    need_on,
)
from rooklug.placement.problem import DemandKey, PlacementProblem, RouteShare

PREFERENCE_PLANNED = 0
PREFERENCE_SPILL = 1
PREFERENCE_LATE = 2


@attrs.frozen
class _Cell:
    region: str
    preference: int
    amount: float
    planned: float


def build_matrix(
    problem: PlacementProblem,
    assignments: dict[str, list[str]],
    flows: list[Flow],
) -> tuple[RouteShare, ...]:
    """Return the matrix for a placement and its planned traffic.

    Within each key and preference, the weights are normalised to a sum of 1.
    """
    capacity = throughput(problem, assignments)
    planned: dict[DemandKey, dict[str, float]] = {}
    for flow in flows:
        planned.setdefault(flow.key, {})[flow.region] = flow.load
    rows: list[RouteShare] = []
    for key in all_keys(problem):
        hosts = [
            destination
            for destination in destinations(problem, key)
            if capacity.get((key.model, destination.region), 0.0) > 0
        ]
        rows.extend(_row(key, hosts, planned.get(key, {}), capacity))
    return tuple(rows)


def throughput(
    problem: PlacementProblem, assignments: dict[str, list[str]]
) -> dict[tuple[str, str], float]:
    """Return the throughput (tokens/s) of each (model, region) under ``assignments``."""
    capacity: dict[tuple[str, str], float] = {}
    for slot in problem.slots:
        for model in assignments.get(slot.replica_id, ()):
            need = need_on(problem, model, slot)
            if need is not None:
                destination = (model, slot.region)
                capacity[destination] = capacity.get(destination, 0.0) + need.tokens_per_s
    return capacity


def _row(
    key: DemandKey,
    hosts: list[Destination],
    planned: dict[str, float],
    capacity: dict[tuple[str, str], float],
) -> list[RouteShare]:
    cells = []
    for destination in hosts:
        load = planned.get(destination.region, 0.0)
        amount = load if load > LOAD_EPSILON else capacity[key.model, destination.region]
        cells.append(
            _Cell(destination.region, _preference(destination, load, planned, hosts), amount, load)
        )
    return _normalised(key, cells)


def _preference(
    destination: Destination, load: float, planned: dict[str, float], hosts: list[Destination]
) -> int:
    if destination.late:
        return PREFERENCE_LATE
    if load > LOAD_EPSILON:
        return PREFERENCE_PLANNED
    in_time = [host.region for host in hosts if not host.late]
    nothing_planned = not any(planned.get(region, 0.0) > LOAD_EPSILON for region in in_time)
    nearest = in_time[0] == destination.region
    return PREFERENCE_PLANNED if nothing_planned and nearest else PREFERENCE_SPILL


def _normalised(key: DemandKey, cells: list[_Cell]) -> list[RouteShare]:
    totals: dict[int, float] = {}
    for cell in cells:
        totals[cell.preference] = totals.get(cell.preference, 0.0) + cell.amount
    return [
        RouteShare(
            key, cell.region, cell.preference, cell.amount / totals[cell.preference], cell.planned
        )
        for cell in sorted(cells, key=lambda cell: (cell.preference, cell.region))
    ]
