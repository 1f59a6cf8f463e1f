"""The operators' configuration of a hollow deployment, and the traffic of its routes."""

from itertools import accumulate

import attrs

from rooklug.config.json_text import canonical_bytes
from rooklug_lab.hollow.size import HOME_BOUND_SHARE, HollowSize

RESOURCE = "accelerator"
REGIONS = ("north", "east", "west", "south", "coast", "lake", "isle")
REGION_WEIGHTS = (10, 8, 6, 4, 3, 2, 1)
"""Capacity of the regions: the first has ten times that of the last."""
ZONES_A_REGION = (3, 3, 2, 2, 2, 2, 1)
TOKENS_PER_S_A_UNIT = 1_500.0
UNITS_OF_MODELS = (1.0, 2.0, 1.0, 4.0, 2.0)
CONCURRENCY_A_UNIT = 16
LOAD_S = 4.0
NEAR_ROUND_TRIP_MS = 40.0
FAR_ROUND_TRIP_MS = 120.0
_FLATNESS = 20
_TWO_HOMES_EVERY = 4


@attrs.frozen
class HollowRoute:
    """One tenant's route; ``weight`` is its share of all requests."""

    name: str
    model: str
    home_regions: tuple[str, ...]
    weight: float


def zone_regions() -> dict[str, str]:
    """Return the region of each zone."""
    return {
        f"{region}-{letter}": region
        for region, zones in zip(REGIONS, ZONES_A_REGION, strict=True)
        for letter in "abc"[:zones]
    }


def model_units(size: HollowSize) -> dict[str, float]:
    """Return the accelerators that a copy of each model needs."""
    return {
        f"model-{number:02}": UNITS_OF_MODELS[number % len(UNITS_OF_MODELS)]
        for number in range(size.models)
    }


def build_routes(size: HollowSize) -> tuple[HollowRoute, ...]:
    """Return the routes: few large tenants, many small ones; a share of the requests bound."""
    weights = [1.0 / (rank + _FLATNESS) for rank in range(size.routes)]
    total = sum(weights)
    models = list(model_units(size))
    routes = []
    bound = seen = 0.0
    for rank, weight in enumerate(weights):
        share = weight / total
        seen += share
        is_bound = bound + share <= HOME_BOUND_SHARE * seen
        bound += share if is_bound else 0.0
        homes = _homes(rank) if is_bound else ()
        model = models[(rank * 7 + rank // len(models)) % len(models)]
        routes.append(HollowRoute(f"route-{rank:04}", model, homes, share))
    return tuple(routes)


def _homes(rank: int) -> tuple[str, ...]:
    """Spread homes over the regions by their capacity; every fourth tenant has two."""
    slots = list(accumulate(REGION_WEIGHTS))
    place = (rank * 13) % slots[-1]
    first = next(index for index, end in enumerate(slots) if place < end)
    if rank % _TWO_HOMES_EVERY:
        return (REGIONS[first],)
    return tuple(sorted((REGIONS[first], REGIONS[(first + 1) % len(REGIONS)])))


def build_document(size: HollowSize) -> bytes:
    """Return the configuration document as canonical JSON, so that changes travel as deltas."""
    zones = zone_regions()
    regions = {
        region: {
            "zones": [zone for zone, of in zones.items() if of == region],
            "weights": {"serve": 1.0, "spill": 0.5, "reserve": 0.1},
            "round_trip_ms": _round_trips(index),
        }
        for index, region in enumerate(REGIONS)
    }
    models = {name: _model(units) for name, units in model_units(size).items()}
    routes = {route.name: _route(route) for route in build_routes(size)}
    placement = {"solve_interval_s": 15.0, "max_moves": 40, "max_loading": 8}
    return canonical_bytes(
        {"regions": regions, "models": models, "routes": routes, "placement": placement}
    )


def _round_trips(index: int) -> dict[str, float]:
    trips = {}
    for other, region in enumerate(REGIONS):
        if other != index:
            near = abs(other - index) == 1
            trips[region] = NEAR_ROUND_TRIP_MS if near else FAR_ROUND_TRIP_MS
    return trips


def _model(units: float) -> dict:
    need = {
        "units": units,
        "tokens_per_s": units * TOKENS_PER_S_A_UNIT,
        "concurrency": int(units * CONCURRENCY_A_UNIT),
        "load_s": LOAD_S,
    }
    return {"latency_classes": {"interactive": "global"}, "resources": {RESOURCE: need}}


def _route(route: HollowRoute) -> dict:
    return {
        "kind": "model",
        "model": route.model,
        "latency_class": "interactive",
        "home_regions": list(route.home_regions),
        "deadline_s": 30.0,
        "tenant": route.name.replace("route", "tenant"),
    }
