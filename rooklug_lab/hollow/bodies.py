"""Bodies of the topics of a hollow deployment, as cores and roles would publish them."""

from hashlib import sha256

from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    ListedReplica,
    LoadedReplica,
    MembersBody,
    NodeRecord,
    PlanBody,
    ReplicasBody,
    RoleOwner,
    RouteWeight,
    VersionMark,
)
from rooklug_lab.hollow.document import REGIONS
from rooklug_lab.hollow.site import HollowSite


def members_body(site: HollowSite) -> MembersBody:
    """Return all fronts and controllers, and the owners of the singleton roles."""
    nodes = [
        NodeRecord(
            node.node_id,
            node.role,
            node.zone,
            node.region,
            node.internal_address,
            node.http_address,
            "0123456789abcdef",
            True,
            False,
            VersionMark(3, 1),
        )
        for node in (*site.controllers, *site.fronts)
    ]
    controller = site.controllers[0]
    keys = ["placer", "platform-watcher"]
    keys += [f"prober/{shard}" for shard in range(4)] + [f"claims/{n}" for n in range(16)]
    owners = [
        RoleOwner(key, controller.node_id, controller.internal_address, VersionMark(3, 9))
        for key in keys
    ]
    return MembersBody(nodes, owners)


def replicas_body(site: HollowSite) -> ReplicasBody:
    """Return the platform's list."""
    listed = [
        ListedReplica(
            entry.replica_id,
            entry.address,
            entry.kind,
            entry.backend,
            entry.region,
            entry.zone,
            entry.resource,
            entry.resource_units,
            entry.leaving,
        )
        for entry in site.platform.replicas
    ]
    return ReplicasBody(listed)


def plan_body(site: HollowSite) -> PlanBody:
    """Return a plan that keeps the first models, with a matrix cell for each demand key."""
    replicas = [
        LoadedReplica(
            entry.replica_id,
            "0a1b2c3d.0",
            list(entry.initial_models),
            list(entry.initial_models),
            64,
            False,
            True,
        )
        for entry in site.replicas
    ]
    keys = sorted({(route.model, route.home_regions) for route in site.routes})
    matrix = [
        RouteWeight(model, "interactive", source, other, int(source != other), 0.5, list(homes))
        for model, homes in keys
        for source in homes or REGIONS
        for other in homes or REGIONS
    ]
    return PlanBody(1, replicas, matrix, "a cause")


def configuration_body(site: HollowSite) -> ConfigurationBody:
    """Return the configuration."""
    return ConfigurationBody(1, sha256(site.document).hexdigest(), site.document)
