"""The placement problem of a gateway's regions, and the matrix that its plan gives.

A service of the gateway is a model of the placement, and its replicas are slots that hold just
that model. Imported at the first solve only: a core starts sooner without it.
"""

from collections import defaultdict

import attrs

from rooklug.config.document import Model, RegionWeights, ResourceNeed, RoundTrip
from rooklug.gateway.document import GatewayConfiguration
from rooklug.gateway.view import MatrixKey
from rooklug.placement.problem import (
    DemandKey,
    PlacementProblem,
    RegionFacts,
    ReplicaSlot,
    RouteShare,
)
from rooklug.wire.generated.control.ttypes import ListedReplica, RouteWeight

SOLVE_LIMIT_S = 0.5
ASSUMED_ROUND_TRIP_MS = 50.0
"""Between regions: beyond "zonal", so that a plan keeps traffic near while it can."""
TARGET_UTILIZATION = 0.4
"""Share of its prefill rate that a model replica is planned to use: prompts come in bursts, and
streams stall while a backlog is prefilled. The rest is the reserve for a lost zone."""
DEFAULT_PREFILL_TOKENS_PER_S = 30_000.0
"""Assumed before any front has observed a prefill rate."""
REQUESTS_PER_SLOT_S = 40.0
"""What a slot of a service without an engine sustains; a default of ours."""
_CLASS = "any"

MeasuredLoads = dict[MatrixKey, float]
"""Tokens/s by what the matrix is looked up with: prompt tokens that are read, and answers.
Services without an engine count requests."""


@attrs.frozen
class RegionSite:
    """What a plan is made for: configuration, listed replicas and drained zones."""

    configuration: GatewayConfiguration
    replicas: tuple[ListedReplica, ...]
    drained_zones: frozenset[str]
    read_tokens_per_s: float | None = None

    def problem(self, measured: MeasuredLoads) -> PlacementProblem:
        """Return the placement problem under the measured demand."""
        usable = [
            replica
            for replica in self.replicas
            if not replica.leaving and replica.zone not in self.drained_zones
        ]
        regions = sorted({replica.region for replica in self.replicas})
        services = [
            name
            for name in sorted(self.configuration.services)
            if any(replica.backend == name for replica in usable)
        ]
        return PlacementProblem(
            models={name: self._model(name, usable) for name in services},
            regions={region: _facts(region, regions) for region in regions},
            slots=tuple(_slot(replica) for replica in usable if replica.backend in services),
            demand=self._demand(services, regions, measured),
            max_moves=0,
            solve_limit_s=SOLVE_LIMIT_S,
        )

    def _model(self, service: str, replicas: list[ListedReplica]) -> Model:
        slots = max(replica.slots or 1 for replica in replicas if replica.backend == service)
        if self.configuration.services[service].engine is None:
            capacity = REQUESTS_PER_SLOT_S * slots
        else:
            capacity = TARGET_UTILIZATION * (self.read_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S)
        need = ResourceNeed(units=1.0, tokens_per_s=capacity, concurrency=slots)
        return Model(latency_classes={_CLASS: RoundTrip.ZONAL}, resources={service: need})

    def _demand(
        self, services: list[str], regions: list[str], measured: MeasuredLoads
    ) -> dict[DemandKey, float]:
        homes = self._homes_by_service()
        return {
            DemandKey(service, _CLASS, region, bound): measured.get((service, region, bound), 0.0)
            for service in services
            for region in regions
            for bound in sorted(homes[service])
        }

    def _homes_by_service(self) -> dict[str, set[tuple[str, ...]]]:
        homes: dict[str, set[tuple[str, ...]]] = defaultdict(set)
        for route in self.configuration.all_routes():
            for share in route.shares:
                homes[share.service].add(route.home_regions)
        return homes


def _facts(region: str, regions: list[str]) -> RegionFacts:
    others = {other: ASSUMED_ROUND_TRIP_MS for other in regions if other != region}
    return RegionFacts(RegionWeights(spill=1.0), others)


def _slot(replica: ListedReplica) -> ReplicaSlot:
    return ReplicaSlot(
        replica_id=replica.replica_id,
        region=replica.region,
        zone=replica.zone,
        resource=replica.backend,
        resource_units=1.0,
        loaded_models=(replica.backend,),
    )


def matrix_cells(matrix: tuple[RouteShare, ...]) -> list[RouteWeight]:
    """Return the matrix for fronts: planned traffic first, by its amounts, also the late part.

    Fronts of a gateway don't know how full a region is, so a spill in the plan must be a weight
    of the first preference.
    """
    totals: dict[DemandKey, float] = defaultdict(float)
    for share in matrix:
        totals[share.demand_key] += share.planned
    return [_cell(share, totals[share.demand_key]) for share in matrix]


def _cell(share: RouteShare, total: float) -> RouteWeight:
    key = share.demand_key
    planned = total > 0 and share.planned > 0
    return RouteWeight(
        model=key.model,
        latency_class=key.latency_class,
        source_region=key.source_region,
        destination_region=share.destination_region,
        preference=0 if planned else share.preference + (total > 0),
        weight=share.planned / total if planned else share.weight,
        home_regions=list(key.home_regions),
    )
