"""Builds the placement problem of a gateway's regions and turns the plan into a routing matrix.

Each gateway service is one model of the placement problem, and its replicas are slots that hold
only that model. This module is imported at the first solve, so that a core starts faster.
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
"""Assumed between any two regions. It exceeds a zonal round trip, so that a plan keeps traffic in
its own region while capacity allows."""
TARGET_UTILIZATION = 0.4
"""Share of a model replica's prefill rate that the plan may use: prompts arrive in bursts, and
streams stall while a backlog is prefilled. The rest is the reserve for the loss of a zone."""
DEFAULT_PREFILL_TOKENS_PER_S = 30_000.0
"""Assumed before any front has observed a prefill rate."""
REQUESTS_PER_SLOT_S = 40.0
"""Requests per second that one slot of a service without an engine is assumed to sustain."""
_CLASS = "any"

MeasuredLoads = dict[MatrixKey, float]
"""Load by matrix key in tokens per second: prefilled prompt tokens plus answer tokens. Each request
adds 1, which is the whole load of a service without an engine."""


@attrs.frozen
class RegionSite:
    """Inputs of a region plan.

    ``read_tokens_per_s`` is the prefill rate that fronts have observed, None before any report.
    """

    configuration: GatewayConfiguration
    replicas: tuple[ListedReplica, ...]
    drained_zones: frozenset[str]
    read_tokens_per_s: float | None = None

    def problem(self, measured: MeasuredLoads) -> PlacementProblem:
        """Return the placement problem for the measured demand."""
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
    """Return the cells of the matrix that fronts use.

    Planned traffic becomes preference 0, weighted by its amount, including traffic planned to miss
    its latency class. Fronts of a gateway don't know how full a region is, so traffic that the plan
    spills to another region must be a weight of the first preference.
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
