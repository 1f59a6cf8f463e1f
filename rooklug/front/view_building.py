"""Builds a front's routing view from the bodies of its topics."""

from collections.abc import Callable, Iterable

from rooklug.config.document import Configuration
from rooklug.front.routing_view import (
    FRONT_ROLE,
    Destination,
    DestinationLevels,
    FrontNode,
    MatrixKey,
    RoutingView,
    ServingReplica,
    ViewSources,
)
from rooklug.wire.generated.control.ttypes import (
    ListedReplica,
    LoadedReplica,
    PlanBody,
    RouteWeight,
)

RegionOf = Callable[[str, str], str]
"""Returns the region of a zone (first argument), or the second argument for an unknown zone."""


def build_routing_view(
    node_id: str,
    zone: str,
    fallback_region: str,
    sources: ViewSources,
    previous: RoutingView | None = None,
) -> RoutingView:
    """Build a snapshot. A zone's region comes from the configuration, else from the record.

    Parts that depend only on unchanged bodies are taken over from ``previous``, a view of the
    same front: with hundreds of nodes and replicas, a single node that joins or leaves must not
    cause the matrix to be rebuilt.
    """
    regions = _region_by_zone(sources.configuration)

    def region_of(of_zone: str, otherwise: str) -> str:
        return regions.get(of_zone, "") or otherwise

    same_fronts = _reusable(previous, sources, "configuration", "drained_zones", "nodes")
    same_matrix = _reusable(previous, sources, "plan")
    same_serving = _reusable(
        previous, sources, "configuration", "drained_zones", "replicas", "plan"
    )
    listed = _listed(sources) if same_serving is None else []
    return RoutingView(
        own_node_id=node_id,
        own_zone=zone,
        own_region=region_of(zone, fallback_region),
        sources=sources,
        fronts=same_fronts._fronts if same_fronts else _fronts(sources, region_of),
        serving=same_serving._serving
        if same_serving
        else _serving_by_model(listed, sources.plan, region_of),
        matrix=same_matrix._matrix
        if same_matrix
        else _matrix_of(sources.plan.matrix if sources.plan else ()),
        once=same_serving._once if same_serving else _once_by_backend(listed),
        loaded_unplanned=same_serving.loaded_unplanned
        if same_serving
        else _loaded_unplanned(listed, sources.plan),
    )


def _reusable(
    previous: RoutingView | None, sources: ViewSources, *names: str
) -> RoutingView | None:
    """Return the previous view if it was built from the same objects of these bodies."""
    if previous is None:
        return None
    before = previous.sources
    same = all(getattr(before, name) is getattr(sources, name) for name in names)
    return previous if same else None


def _listed(sources: ViewSources) -> list[ListedReplica]:
    return [
        replica
        for replica in sorted(sources.replicas or (), key=lambda entry: entry.replica_id)
        if not replica.leaving and replica.zone not in sources.drained_zones
    ]


def _fronts(sources: ViewSources, region_of: RegionOf) -> tuple[FrontNode, ...]:
    return tuple(
        FrontNode(node.node_id, node.http_address, node.zone, region_of(node.zone, node.region))
        for node in sorted(sources.nodes, key=lambda entry: entry.node_id)
        if node.role == FRONT_ROLE
        and node.ready
        and not node.draining
        and node.zone not in sources.drained_zones
    )


def _region_by_zone(configuration: Configuration | None) -> dict[str, str]:
    """Return the region of each configured zone.

    Computed once per view, because it is looked up for every node and replica.
    """
    if configuration is None:
        return {}
    zones = sorted({zone for region in configuration.regions.values() for zone in region.zones})
    return {zone: configuration.region_of_zone(zone) for zone in zones}


def _loaded_unplanned(
    listed: list[ListedReplica], plan: PlanBody | None
) -> frozenset[tuple[str, str]]:
    names = {replica.replica_id for replica in listed}
    return frozenset(
        (entry.replica_id, model)
        for entry in (plan.replicas if plan else ())
        if entry.replica_id in names and entry.healthy
        for model in set(entry.loaded_models) - set(entry.intended_models)
    )


def _once_by_backend(listed: list[ListedReplica]) -> dict[str, tuple[ListedReplica, ...]]:
    backends = sorted({replica.backend for replica in listed if replica.kind == "once"})
    return {
        backend: tuple(
            entry for entry in listed if entry.kind == "once" and entry.backend == backend
        )
        for backend in backends
    }


def _serving_by_model(
    listed: list[ListedReplica], plan: PlanBody | None, region_of: RegionOf
) -> dict[str, tuple[ServingReplica, ...]]:
    reported = {entry.replica_id: entry for entry in plan.replicas} if plan else {}
    by_model: dict[str, list[ServingReplica]] = {}
    for replica in listed:
        loaded = reported.get(replica.replica_id)
        if replica.kind != "model" or loaded is None:
            continue
        for model in sorted(set(loaded.loaded_models) & set(loaded.intended_models)):
            region = region_of(replica.zone, replica.region)
            by_model.setdefault(model, []).append(_serving_replica(replica, loaded, region))
    return {model: _healthy_first(replicas) for model, replicas in by_model.items()}


def _serving_replica(replica: ListedReplica, loaded: LoadedReplica, region: str) -> ServingReplica:
    return ServingReplica(
        replica_id=replica.replica_id,
        address=replica.address,
        region=region,
        zone=replica.zone,
        incarnation=loaded.incarnation,
        concurrency=max(1, loaded.concurrency),
        warming_up=loaded.cold,
        healthy=loaded.healthy,
    )


def _healthy_first(replicas: list[ServingReplica]) -> tuple[ServingReplica, ...]:
    """Drop unhealthy replicas, unless all are: then the prober itself may be cut off."""
    healthy = tuple(replica for replica in replicas if replica.healthy)
    return healthy or tuple(replicas)


def _matrix_of(cells: Iterable[RouteWeight]) -> dict[MatrixKey, DestinationLevels]:
    levels: dict[MatrixKey, dict[int, list[Destination]]] = {}
    for cell in cells:
        if cell.weight <= 0:
            continue
        homes = tuple(sorted(cell.home_regions))
        key = MatrixKey(cell.model, cell.latency_class, cell.source_region, homes)
        by_preference = levels.setdefault(key, {})
        destination = Destination(cell.destination_region, cell.weight)
        by_preference.setdefault(cell.preference, []).append(destination)
    return {
        key: tuple(
            tuple(sorted(by_preference[preference], key=lambda entry: entry.region))
            for preference in sorted(by_preference)
        )
        for key, by_preference in levels.items()
    }
