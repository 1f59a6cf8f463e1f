"""The cells that may be published now: those that lead to a region where replicas serve."""

import attrs

from rooklug.placement.problem import DemandKey, RouteShare


def servable_cells(
    live: tuple[RouteShare, ...], planned: tuple[RouteShare, ...], hosts: set[str]
) -> list[RouteShare]:
    """Return one model's cells that lead to ``hosts``, with weights normalised again.

    ``live`` cells take precedence. A demand key for which none of them leads to a host gets its
    ``planned`` cells that do.
    """
    rows = _rows(live, hosts)
    for key, cells in _rows(planned, hosts).items():
        rows.setdefault(key, cells)
    return [cell for cells in rows.values() for cell in _normalised(cells)]


def _rows(cells: tuple[RouteShare, ...], hosts: set[str]) -> dict[DemandKey, list[RouteShare]]:
    rows: dict[DemandKey, list[RouteShare]] = {}
    for cell in cells:
        if cell.destination_region in hosts:
            rows.setdefault(cell.demand_key, []).append(cell)
    return rows


def _normalised(cells: list[RouteShare]) -> list[RouteShare]:
    totals: dict[int, float] = {}
    for cell in cells:
        totals[cell.preference] = totals.get(cell.preference, 0.0) + cell.weight
    return [attrs.evolve(cell, weight=cell.weight / totals[cell.preference]) for cell in cells]


def within_homes(cell: RouteShare) -> bool:
    """Return whether a cell leads to one of its key's home regions, or the key has none."""
    homes = cell.demand_key.home_regions
    return not homes or cell.destination_region in homes
