"""Turns the placer's picture into a placement problem: the design's GetState(), derived."""

from collections import Counter
from collections.abc import Callable

from rooklug.config.document import Configuration, RouteKind
from rooklug.controller.fleet_state import FleetState, Replica
from rooklug.controller.health import Verdict
from rooklug.placement.problem import DemandKey, PlacementProblem, RegionFacts, ReplicaSlot

FLOOR_REPLICAS = 0.5


def build_problem(
    configuration: Configuration,
    fleet: FleetState,
    demand: dict[DemandKey, float],
    committed_models: Callable[[str], tuple[str, ...]],
    avoid: frozenset[str],
) -> PlacementProblem:
    """Return the problem of this moment.

    ``demand`` is in load tokens/s; ``committed_models`` is what a replica has loaded or is
    loading; ``avoid`` replicas get no new model.
    """
    usable = [r for r in fleet.usable() if _region_of(configuration, r)]
    suspects = {r.listed.replica_id for r in usable if r.verdict is not Verdict.HEALTHY}
    return PlacementProblem(
        models=configuration.models,
        regions={
            name: RegionFacts(region.weights, region.round_trip_ms)
            for name, region in sorted(configuration.regions.items())
        },
        slots=tuple(_slot(configuration, replica, committed_models) for replica in usable),
        demand=_with_floor(configuration, demand),
        max_moves=configuration.placement.max_moves,
        solve_limit_s=configuration.placement.solve_limit_s,
        avoid_slots=frozenset(suspects | avoid),
        readiness=configuration.placement.readiness,
    )


def configured_keys(configuration: Configuration) -> list[DemandKey]:
    """Return every key that a configured model route can bring, from every region."""
    shapes = {  # thousands of routes have few of them
        (route.model, route.latency_class, tuple(sorted(route.home_regions)))
        for route in configuration.routes.values()
        if route.kind is RouteKind.MODEL and route.model in configuration.models
    }
    keys = [
        DemandKey(model, latency_class, region, homes)
        for model, latency_class, homes in shapes
        for region in configuration.regions
    ]
    return sorted(keys, key=lambda k: (k.model, k.latency_class, k.source_region, k.home_regions))


def _with_floor(
    configuration: Configuration, demand: dict[DemandKey, float]
) -> dict[DemandKey, float]:
    """Return the demand to plan for: each configured key has at least its floor."""
    planned = _floor(configuration)
    for key, load in demand.items():
        if key.model in configuration.models and key.source_region in configuration.regions:
            planned[key] = max(load, planned.get(key, 0.0))
    return planned


def _floor(configuration: Configuration) -> dict[DemandKey, float]:
    """Return the least demand (tokens/s) of each configured key.

    Together a region's keys of one model come to ``FLOOR_REPLICAS`` of its best replica.
    """
    keys = configured_keys(configuration)
    shares = Counter((key.model, key.source_region) for key in keys)
    floor = {}
    for key in keys:
        needs = configuration.models[key.model].resources.values()
        best = max((need.tokens_per_s for need in needs), default=0.0)
        floor[key] = FLOOR_REPLICAS * best / shares[key.model, key.source_region]
    return floor


def _region_of(configuration: Configuration, replica: Replica) -> str:
    """Return the replica's region if the configuration knows it, else ""."""
    by_zone = configuration.region_of_zone(replica.listed.zone)
    return by_zone or (
        replica.listed.region if replica.listed.region in configuration.regions else ""
    )


def _slot(
    configuration: Configuration,
    replica: Replica,
    committed_models: Callable[[str], tuple[str, ...]],
) -> ReplicaSlot:
    replica_id = replica.listed.replica_id
    models = set(committed_models(replica_id))
    return ReplicaSlot(
        replica_id=replica_id,
        region=_region_of(configuration, replica),
        zone=replica.listed.zone,
        resource=replica.listed.resource,
        resource_units=replica.listed.resource_units,
        loaded_models=tuple(sorted(models & configuration.models.keys())),
    )
