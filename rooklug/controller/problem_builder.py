"""Builds the placement problem from the configuration, the fleet state and the demand."""

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
    """Return the placement problem for the current state.

    ``demand`` is in load tokens/s. ``committed_models`` returns the models that a replica id has
    loaded or is loading. Replicas in ``avoid``, and those that aren't healthy, get no new model.
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
    """Return every demand key that a configured model route can have, from every region."""
    shapes = {  # thousands of routes share a few shapes
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
    """Return the demand (tokens/s) to plan for: at least the floor for each configured key."""
    planned = _floor(configuration)
    for key, load in demand.items():
        if key.model in configuration.models and key.source_region in configuration.regions:
            planned[key] = max(load, planned.get(key, 0.0))
    return planned


def _floor(configuration: Configuration) -> dict[DemandKey, float]:
    """Return the minimum demand (tokens/s) to plan for, by configured key.

    The keys of one model and source region together amount to the throughput of
    ``FLOOR_REPLICAS`` replicas on the model's fastest resource.
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
    """Return the region of the replica's zone, else its listed region; "" if not configured."""
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
