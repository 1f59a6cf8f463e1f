"""One immutable snapshot of what a front knows: configuration, replicas, zones, fronts, plan."""

from functools import cached_property

import attrs

from rooklug.gateway.document import GatewayConfiguration
from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.replica_pool import RegionPool
from rooklug.gateway.serving_fronts import load_collectors, serving_fronts
from rooklug.routing.send_shares import SendShares
from rooklug.wire.generated.control.ttypes import NodeRecord, RouteWeight

FRONT_ROLE = "front"


@attrs.frozen
class RegionShare:
    """A cell of the routing matrix: preference 0 comes first."""

    region: str
    preference: int
    weight: float


MatrixKey = tuple[str, str, tuple[str, ...]]
"""Service, source region, home regions."""


@attrs.frozen
class GatewayView:
    """What decisions read. ``configuration`` is None before the first one came.

    ``core_machines`` are the IP addresses of the machines that run a core.
    """

    configuration: GatewayConfiguration | None = None
    replicas: dict[str, tuple[GatewayReplica, ...]] = attrs.field(factory=dict)
    is_listed: bool = False
    drained_zones: frozenset[str] = frozenset()
    fronts: tuple[NodeRecord, ...] = ()
    core_machines: frozenset[str] = frozenset()
    matrix: dict[MatrixKey, tuple[RegionShare, ...]] = attrs.field(factory=dict)
    _pools: dict[tuple[str, str], RegionPool] = attrs.field(factory=dict, init=False, eq=False)

    def usable(self, service: str, homes: tuple[str, ...]) -> list[GatewayReplica]:
        """Return the replicas that may get requests at all."""
        return [
            replica
            for replica in self.replicas.get(service, ())
            if not replica.draining
            and replica.zone not in self.drained_zones
            and (not homes or replica.region in homes)
        ]

    def pool(self, service: str, region: str) -> RegionPool:
        """Return the usable replicas of a service in one region; built once for a view."""
        key = (service, region)
        if key not in self._pools:
            self._pools[key] = RegionPool(tuple(self.usable(service, (region,))))
        return self._pools[key]

    def region_shares(
        self, service: str, region: str, homes: tuple[str, ...]
    ) -> tuple[RegionShare, ...]:
        """Return the plan's cells for a region's traffic; empty without any."""
        return self.matrix.get((service, region, homes), ())

    @cached_property
    def ready_fronts(self) -> tuple[NodeRecord, ...]:
        """The fronts that are ready and not draining."""
        return tuple(node for node in self.fronts if node.ready and not node.draining)

    @cached_property
    def send_shares(self) -> SendShares:
        """Which fronts take the traffic of each region."""
        serving = {
            region: tuple(node.node_id for node in serving_fronts(found, self.core_machines))
            for region, found in self._fronts_by_region.items()
        }
        return SendShares(serving, frozenset(node.node_id for node in self.ready_fronts))

    def load_collectors(self, region: str) -> list[NodeRecord]:
        """Return the fronts that collect the loads of a region, in the order they are called."""
        return load_collectors(self._fronts_by_region.get(region, []), self.core_machines)

    @cached_property
    def _fronts_by_region(self) -> dict[str, list[NodeRecord]]:
        by_region: dict[str, list[NodeRecord]] = {}
        for node in self.ready_fronts:
            by_region.setdefault(node.region, []).append(node)
        return by_region


def matrix_of(cells: list[RouteWeight]) -> dict[MatrixKey, tuple[RegionShare, ...]]:
    """Return the plan's cells by what a request is looked up with."""
    found: dict[MatrixKey, list[RegionShare]] = {}
    for cell in cells:
        key = (cell.model, cell.source_region, tuple(cell.home_regions))
        share = RegionShare(cell.destination_region, cell.preference, cell.weight)
        found.setdefault(key, []).append(share)
    return {key: tuple(shares) for key, shares in found.items()}
