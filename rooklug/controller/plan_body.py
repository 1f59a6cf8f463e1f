"""Converts between the placer's state and the published body of topic "plan"."""

from collections.abc import Iterable, Mapping

from rooklug.controller.fleet_state import FleetState, Replica, is_warming_up
from rooklug.placement.problem import DemandKey, RouteShare
from rooklug.wire.generated.control.ttypes import LoadedReplica, PlanBody, RouteWeight


def build_plan_body(
    configuration_version: int,
    fleet: FleetState,
    intended: Mapping[str, Iterable[str]],
    matrix: Iterable[RouteShare],
    cause: str,
    slow_start_s: float,
    now: float,
) -> PlanBody:
    """Return the body of topic "plan".

    ``intended`` maps each replica id to the models that fronts may use there. Replicas stay cold
    for ``slow_start_s`` after a restart, a load or the loss of their cache.
    """
    replicas = [
        _loaded_replica(replica, intended.get(replica_id, ()), slow_start_s, now)
        for replica_id, replica in fleet.replicas.items()
    ]
    weights = [_route_weight(share) for share in matrix]
    return PlanBody(
        configuration_version=configuration_version,
        replicas=replicas,
        matrix=weights,
        cause=cause,
    )


def share_of(weight: RouteWeight) -> RouteShare:
    """Convert a published cell of the routing matrix to the planner's type."""
    key = DemandKey(
        weight.model, weight.latency_class, weight.source_region, tuple(weight.home_regions)
    )
    return RouteShare(key, weight.destination_region, weight.preference, weight.weight)


def same_content(left: PlanBody | None, right: PlanBody) -> bool:
    """Return whether two plans are equal, apart from their cause."""
    if left is None:
        return False
    return (left.configuration_version, left.replicas, left.matrix) == (
        right.configuration_version,
        right.replicas,
        right.matrix,
    )


def _loaded_replica(
    replica: Replica, intended: Iterable[str], slow_start_s: float, now: float
) -> LoadedReplica:
    return LoadedReplica(
        replica_id=replica.listed.replica_id,
        incarnation=replica.incarnation,
        loaded_models=list(replica.loaded_models),
        intended_models=sorted(intended),
        concurrency=replica.concurrency,
        cold=is_warming_up(replica, now, slow_start_s),
        healthy=replica.healthy,
    )


def _route_weight(share: RouteShare) -> RouteWeight:
    return RouteWeight(
        model=share.demand_key.model,
        latency_class=share.demand_key.latency_class,
        source_region=share.demand_key.source_region,
        destination_region=share.destination_region,
        preference=share.preference,
        weight=share.weight,
        home_regions=list(share.demand_key.home_regions),
    )
