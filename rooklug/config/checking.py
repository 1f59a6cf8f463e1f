"""Validates a parsed configuration: numeric ranges, names, and references between sections."""

import re
from collections.abc import Iterable, Iterator

import attrs

from rooklug.config.document import (
    Configuration,
    Limits,
    Model,
    Placement,
    Region,
    RegionWeights,
    ResourceNeed,
    Route,
    RouteKind,
    SlowStart,
)
from rooklug.config.problems import Problem, Problems, index_path, key_path

MAX_NAME_LENGTH = 128
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*\Z")


@attrs.frozen
class _Range:
    """Allowed range of a number, bounds included; ``above`` excludes the lower bound."""

    lowest: float
    highest: float
    above: bool = False

    def allows(self, number: float) -> bool:
        """Return whether ``number`` is within the range."""
        if self.above and number <= self.lowest:
            return False
        return self.lowest <= number <= self.highest

    def __str__(self) -> str:
        """Return the range as the message of a ``Problem``."""
        lower = "above" if self.above else "at least"
        return f"must be {lower} {self.lowest:g} and at most {self.highest:g}"


_SHARE = _Range(0.0, 1.0)
_COUNT = _Range(1, 100_000)
_PRIORITY = _Range(-1000, 1000)
_SECONDS = _Range(0.0, 3600.0)
_POSITIVE_SECONDS = _Range(0.0, 3600.0, above=True)
_POSITIVE = _Range(0.0, 1e9, above=True)
_ROUND_TRIP_MS = _Range(0.0, 10_000.0)

_RANGES: dict[type, dict[str, _Range]] = {
    RegionWeights: {"serve": _Range(0.0, 100.0), "spill": _SHARE, "reserve": _Range(0.0, 0.95)},
    ResourceNeed: {
        "units": _POSITIVE,
        "tokens_per_s": _POSITIVE,
        "concurrency": _COUNT,
        "load_s": _SECONDS,
    },
    Model: {"priority": _PRIORITY},
    Route: {"deadline_s": _POSITIVE_SECONDS, "priority": _PRIORITY},
    Limits: {
        "retry_share": _SHARE,
        "queue_length": _Range(0, 100_000),
        "queue_wait_s": _SECONDS,
        "affinity_bound": _Range(1.0, 100.0),
    },
    SlowStart: {
        "first_share": _Range(0.0, 1.0, above=True),
        "duration_s": _SECONDS,
    },
    Placement: {
        "solve_interval_s": _POSITIVE_SECONDS,
        "solve_limit_s": _POSITIVE_SECONDS,
        "max_moves": _COUNT,
        "max_loading": _COUNT,
        "load_timeout_factor": _Range(1.0, 1000.0),
    },
}


def check_configuration(configuration: Configuration) -> Problems:
    """Return all problems that the types don't rule out, grouped by section in document order."""
    problems = [
        *_check_regions(configuration.regions),
        *_check_models(configuration.models),
        *_check_routes(configuration),
        *_check_ranges(configuration.limits, "limits"),
        *_check_ranges(configuration.slow_start, "slow_start"),
        *_check_ranges(configuration.placement, "placement"),
    ]
    return tuple(problems)


def _check_ranges(section: object, path: str) -> Iterator[Problem]:
    for name, bounds in _RANGES[type(section)].items():
        if not bounds.allows(getattr(section, name)):
            yield Problem(key_path(path, name), str(bounds))


def _check_name(name: str, path: str) -> Iterator[Problem]:
    if len(name) > MAX_NAME_LENGTH or not _NAME.match(name):
        yield Problem(
            path,
            f"a name has 1 to {MAX_NAME_LENGTH} letters, digits, '.', '_' or '-', "
            "and begins with a letter or digit",
        )


def _check_regions(regions: dict[str, Region]) -> Iterator[Problem]:
    if not regions:
        yield Problem("regions", "at least one region is needed")
    zone_owners: dict[str, str] = {}
    for name, region in regions.items():
        path = key_path("regions", name)
        yield from _check_name(name, path)
        yield from _check_zones(name, region.zones, key_path(path, "zones"), zone_owners)
        yield from _check_ranges(region.weights, key_path(path, "weights"))
        yield from _check_round_trips(name, regions, key_path(path, "round_trip_ms"))


def _check_zones(
    region_name: str, zones: tuple[str, ...], path: str, owners: dict[str, str]
) -> Iterator[Problem]:
    if not zones:
        yield Problem(path, "at least one zone is needed")
    for index, zone in enumerate(zones):
        zone_path = index_path(path, index)
        yield from _check_name(zone, zone_path)
        if zone in owners:
            yield Problem(zone_path, f'zone "{zone}" is already listed in "{owners[zone]}"')
        owners.setdefault(zone, region_name)


def _check_round_trips(name: str, regions: dict[str, Region], path: str) -> Iterator[Problem]:
    round_trips = regions[name].round_trip_ms
    for other in regions:
        if other != name and other not in round_trips:
            yield Problem(key_path(path, other), "required, but missing")
    for other, round_trip in round_trips.items():
        other_path = key_path(path, other)
        if other == name:
            yield Problem(other_path, "a region has no round trip to itself")
        elif other not in regions:
            yield Problem(other_path, f'unknown region "{other}"')
        elif regions[other].round_trip_ms.get(name, round_trip) != round_trip:
            yield Problem(other_path, f'differs from the one that "{other}" gives')
        if not _ROUND_TRIP_MS.allows(round_trip):
            yield Problem(other_path, str(_ROUND_TRIP_MS))


def _check_models(models: dict[str, Model]) -> Iterator[Problem]:
    for name, model in models.items():
        path = key_path("models", name)
        yield from _check_name(name, path)
        yield from _check_ranges(model, path)
        yield from _check_members(model.latency_classes, key_path(path, "latency_classes"))
        yield from _check_members(model.resources, key_path(path, "resources"))
        for resource, need in model.resources.items():
            yield from _check_ranges(need, key_path(key_path(path, "resources"), resource))


def _check_members(members: Iterable[str], path: str) -> Iterator[Problem]:
    names = list(members)
    if not names:
        yield Problem(path, "at least one entry is needed")
    for name in names:
        yield from _check_name(name, key_path(path, name))


def _check_routes(configuration: Configuration) -> Iterator[Problem]:
    for name, route in configuration.routes.items():
        path = key_path("routes", name)
        yield from _check_name(name, path)
        yield from _check_ranges(route, path)
        if route.kind is RouteKind.MODEL:
            yield from _check_model_route(route, configuration.models, path)
        else:
            yield from _check_once_only_route(route, path)
        yield from _check_home_regions(route.home_regions, configuration.regions, path)
        if len(route.tenant) > MAX_NAME_LENGTH:
            yield Problem(key_path(path, "tenant"), f"longer than {MAX_NAME_LENGTH} characters")


def _check_model_route(route: Route, models: dict[str, Model], path: str) -> Iterator[Problem]:
    if route.backend:
        yield Problem(key_path(path, "backend"), "only once-only routes have a back end")
    model = models.get(route.model)
    if model is None:
        yield Problem(key_path(path, "model"), f'unknown model "{route.model}"')
    elif route.latency_class not in model.latency_classes:
        message = f'model "{route.model}" has no latency class "{route.latency_class}"'
        yield Problem(key_path(path, "latency_class"), message)


def _check_once_only_route(route: Route, path: str) -> Iterator[Problem]:
    yield from _check_name(route.backend, key_path(path, "backend"))
    if route.model:
        yield Problem(key_path(path, "model"), "only model routes have a model")
    if route.latency_class:
        yield Problem(key_path(path, "latency_class"), "only model routes have a latency class")


def _check_home_regions(
    homes: tuple[str, ...], regions: dict[str, Region], path: str
) -> Iterator[Problem]:
    homes_path = key_path(path, "home_regions")
    for index, home in enumerate(homes):
        home_path = index_path(homes_path, index)
        if home not in regions:
            yield Problem(home_path, f'unknown region "{home}"')
        if home in homes[:index]:
            yield Problem(home_path, f'"{home}" is listed twice')
