"""Balances the utilisation of replicas: the last step of routing, with fixed replica counts."""

import attrs

from rooklug.placement.linear import LinearModel

DISTANCE_SHARE = 0.05
"""Cost of a token/s over ``LONGEST_TRIP_MS`` or more, as a share of its resource units."""
LONGEST_TRIP_MS = 200.0


@attrs.frozen
class Arrival:
    """The program column of the traffic from one source to a station, and its round trip."""

    column: int
    round_trip_ms: float


@attrs.frozen
class Station:
    """A model's replicas in one region: their throughput (tokens/s) and the traffic columns."""

    model: str
    capacity: float
    arriving: list[Arrival] = attrs.field(factory=list)


def add_evenness(
    model: LinearModel,
    stations: list[Station],
    units: dict[str, float],
    unit_costs: dict[str, float],
) -> None:
    """Add costs that minimise each model's highest station utilisation, and prefer short trips.

    ``units`` are the resource units that each model fills in total, ``unit_costs`` its units per
    token/s. Scaled by these, balancing is worth about the cost of the model's replicas, far less
    than any unplaced or late traffic.
    """
    fullest: dict[str, int] = {}
    for station in stations:
        for arrival in station.arriving:
            distance = min(1.0, arrival.round_trip_ms / LONGEST_TRIP_MS)
            price = unit_costs[station.model] * DISTANCE_SHARE * distance
            model.costs[arrival.column] += price
        if station.capacity <= 0:
            continue
        if station.model not in fullest:
            fullest[station.model] = model.column(units[station.model])
        entries = [(arrival.column, 1.0) for arrival in station.arriving]
        model.row([*entries, (fullest[station.model], -station.capacity)], upper=0.0)
