"""Immutable snapshot of a front's inputs: configuration, replicas, zones, fronts and plan."""

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
    """One cell of the routing matrix. Preference 0 is the first choice; weights split it."""

    region: str
    preference: int
    weight: float


MatrixKey = tuple[str, str, tuple[str, ...]]
"""Service, source region, home regions."""


@attrs.frozen
class GatewayView:
    """The state that routing decisions are based on, replaced as a whole at each change.

    ``configuration`` is None until the first one has been received. ``is_listed`` is True once a
    list of replicas has been received, even an empty one. ``core_machines`` are the IP addresses
    of the machines that run a core.
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
        """Return the replicas that may receive requests: neither draining nor in a drained zone.

        ``homes`` are the allowed regions; empty allows all.
        """
        return [
            replica
            for replica in self.replicas.get(service, ())
            if not replica.draining
            and replica.zone not in self.drained_zones
            and (not homes or replica.region in homes)
        ]

    def pool(self, service: str, region: str) -> RegionPool:
        """Return the usable replicas of a service in one region; built once per view."""
        key = (service, region)
        if key not in self._pools:
            self._pools[key] = RegionPool(tuple(self.usable(service, (region,))))
        return self._pools[key]

    def region_shares(
        self, service: str, region: str, homes: tuple[str, ...]
    ) -> tuple[RegionShare, ...]:
        """Return the plan's cells for traffic from ``region``; empty if the plan has none."""
        return self.matrix.get((service, region, homes), ())

    @cached_property
    def ready_fronts(self) -> tuple[NodeRecord, ...]:
        """The fronts that accept clients: ready and not draining."""
        return tuple(node for node in self.fronts if node.ready and not node.draining)

    @cached_property
    def send_shares(self) -> SendShares:
        """The fronts that serve each region, from which rate shares are computed."""
        serving = {
            region: tuple(node.node_id for node in serving_fronts(found, self.core_machines))
            for region, found in self._fronts_by_region.items()
        }
        return SendShares(serving, frozenset(node.node_id for node in self.ready_fronts))

    def load_collectors(self, region: str) -> list[NodeRecord]:
        """Return the fronts that collect a region's loads, in the order they are called."""
        return load_collectors(self._fronts_by_region.get(region, []), self.core_machines)

    @cached_property
    def _fronts_by_region(self) -> dict[str, list[NodeRecord]]:
        by_region: dict[str, list[NodeRecord]] = {}
        for node in self.ready_fronts:
            by_region.setdefault(node.region, []).append(node)
        return by_region


def matrix_of(cells: list[RouteWeight]) -> dict[MatrixKey, tuple[RegionShare, ...]]:
    """Return the plan's cells by service, source region and home regions."""
    found: dict[MatrixKey, list[RegionShare]] = {}
    for cell in cells:
        key = (cell.model, cell.source_region, tuple(cell.home_regions))
        share = RegionShare(cell.destination_region, cell.preference, cell.weight)
        found.setdefault(key, []).append(share)
    return {key: tuple(shares) for key, shares in found.items()}
