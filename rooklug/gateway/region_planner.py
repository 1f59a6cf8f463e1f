"""Decides at the primary where each region's traffic goes: one GSP solve, one matrix.

A service of the gateway is a model of the placement, and its replicas are slots that hold just
that model: replicas of this kind take no load orders, so the moves of a plan are its matrix.
Demand comes from the fronts, capacity from the list of replicas and the emptied zones.
"""

from collections import defaultdict

import attrs

from rooklug.config.document import Model, RegionWeights, ResourceNeed, RoundTrip
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.composite import Notify, PartDefaults
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.document import GatewayConfiguration, read_gateway_configuration
from rooklug.gateway.notices import ReplicasListed
from rooklug.model.notices import (
    ConfigurationCommitted,
    PrimaryStarted,
    PrimaryStopped,
    TopicOffered,
    ZonesCommitted,
)
from rooklug.model.topics import PLAN
from rooklug.placement.problem import (
    DemandKey,
    PlacementPlan,
    PlacementProblem,
    RegionFacts,
    ReplicaSlot,
    RouteShare,
)
from rooklug.wire.generated.control.ttypes import (
    DemandAnswer,
    DemandReport,
    ListedReplica,
    PlanBody,
    RouteWeight,
)

SOLVE_INTERVAL_S = 4.0
SOLVE_LIMIT_S = 0.5
REPORT_VALID_S = 8.0
"""A front's demand counts for so long; a quiet front reports nothing."""
ASSUMED_ROUND_TRIP_MS = 50.0
"""Between regions: beyond "zonal", so that a plan keeps traffic near while it can."""
PROMPT_TOKENS_A_LOAD_TOKEN = 8.0
LOAD_TOKENS_A_SLOT_S = 40.0
"""What a slot sustains, in load tokens (prompt/8 + answer); a default of ours."""
LEAST_CHANGE = 0.1
"""A matrix is published anew if a weight moves by more than this."""
_TIMER = "solve"
_CLASS = "any"


def solve_lazily(problem: PlacementProblem) -> PlacementPlan:
    """Solve a placement problem; the solver's libraries load with the first one."""
    from rooklug.placement.planner import solve

    return solve(problem)


@attrs.frozen
class _FrontDemand:
    """A front's last report: load tokens/s by (service, region)."""

    at: float
    loads: dict[tuple[str, str], float]


class RegionPlanner(PartDefaults):
    """Solves every few seconds while this core is the primary, and offers the matrix."""

    name = "region-planner"
    call_types = (DemandReport,)
    notice_types = (
        PrimaryStarted,
        PrimaryStopped,
        ReplicasListed,
        ConfigurationCommitted,
        ZonesCommitted,
    )

    def __init__(self, identifiers: Identifiers) -> None:
        self._identifiers = identifiers
        self._epoch = 0
        self._sequence = 0
        self._configuration: GatewayConfiguration | None = None
        self._configuration_version = 0
        self._replicas: tuple[ListedReplica, ...] = ()
        self._emptied: frozenset[str] = frozenset()
        self._fronts: dict[str, _FrontDemand] = {}
        self._ticket = 0
        self._published: dict[tuple, float] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        match event:
            case PrimaryStarted():
                return self._begin_term(event.epoch)
            case PrimaryStopped():
                self._epoch = 0
                return [fx.CancelTimer(_TIMER)]
            case ReplicasListed():
                self._replicas = tuple(event.body.replicas)
            case ZonesCommitted():
                self._emptied = frozenset(event.body.emptied_zones)
            case ConfigurationCommitted():
                self._take_configuration(event)
            case ev.CallArrived():
                return self._report(event, now)
            case ev.TimerFired():
                return [fx.StartTimer(_TIMER, SOLVE_INTERVAL_S), *self._solve(now)]
            case ev.Computed():
                return self._solved(event)
        return []

    def _begin_term(self, epoch: int) -> list[fx.Effect]:
        going_on = self._epoch > 0
        self._epoch = epoch
        if going_on:
            return []
        self._fronts = {}
        self._published = {}
        self._ticket = 0
        return [fx.StartTimer(_TIMER, SOLVE_INTERVAL_S)]

    def _take_configuration(self, event: ConfigurationCommitted) -> None:
        read = read_gateway_configuration(event.body.document)
        if read.is_ok():
            self._configuration = read.ok
            self._configuration_version = event.body.version

    def _report(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        if not self._epoch:
            return [fx.Answer(event.call_id, DemandAnswer(accepted=False))]
        report = event.request
        loads = {
            (entry.model, entry.source_region): entry.prompt_tokens_per_s
            / PROMPT_TOKENS_A_LOAD_TOKEN
            + entry.answer_tokens_per_s
            + entry.requests_per_s
            for entry in report.entries
        }
        self._fronts[report.node_id] = _FrontDemand(now, loads)
        return [fx.Answer(event.call_id, DemandAnswer(accepted=True))]

    def _solve(self, now: float) -> list[fx.Effect]:
        if self._ticket or self._configuration is None or not self._replicas:
            return []
        self._ticket = self._identifiers.next()
        return [fx.Compute(self._ticket, solve_lazily, self._problem(now))]

    def _problem(self, now: float) -> PlacementProblem:
        usable = [r for r in self._replicas if not r.leaving and r.zone not in self._emptied]
        regions = sorted({replica.region for replica in self._replicas})
        services = [
            name
            for name in sorted(self._configuration.services)
            if any(replica.backend == name for replica in usable)
        ]
        return PlacementProblem(
            models={name: _model(name, usable) for name in services},
            regions={region: _facts(region, regions) for region in regions},
            slots=tuple(_slot(replica) for replica in usable if replica.backend in services),
            demand=self._demand(services, regions, now),
            max_moves=0,
            solve_limit_s=SOLVE_LIMIT_S,
        )

    def _demand(
        self, services: list[str], regions: list[str], now: float
    ) -> dict[DemandKey, float]:
        homes: dict[str, set[tuple[str, ...]]] = defaultdict(set)
        for by_prefix in self._configuration.routes.values():
            for route in by_prefix.values():
                for share in route.shares:
                    homes[share.service].add(tuple(route.home_regions))
        measured: dict[tuple[str, str], float] = defaultdict(float)
        for front in self._fronts.values():
            if now - front.at <= REPORT_VALID_S:
                for place, load in front.loads.items():
                    measured[place] += load
        return {
            DemandKey(service, _CLASS, region, bound): measured[service, region]
            / len(homes[service])
            for service in services
            for region in regions
            for bound in sorted(homes[service])
        }

    def _solved(self, event: ev.Computed) -> list[fx.Effect]:
        if event.ticket != self._ticket:
            return []
        self._ticket = 0
        if event.error or not self._epoch:
            return [fx.Log("error", "a plan failed", {"error": event.error})] if event.error else []
        cells = _cells(event.result.matrix)
        weights = {
            (c.model, c.source_region, tuple(c.home_regions), c.destination_region, c.preference): (
                c.weight
            )
            for c in cells
        }
        if not self._has_moved(weights):
            return []
        self._published = weights
        self._sequence += 1
        body = PlanBody(self._configuration_version, [], cells, "demand and replicas")
        return [Notify(TopicOffered(PLAN, self._epoch, self._sequence, body))]

    def _has_moved(self, weights: dict[tuple, float]) -> bool:
        if weights.keys() != self._published.keys():
            return True
        return any(
            abs(weight - self._published[key]) > LEAST_CHANGE for key, weight in weights.items()
        )


def _model(service: str, replicas: list[ListedReplica]) -> Model:
    slots = max(replica.slots or 1 for replica in replicas if replica.backend == service)
    need = ResourceNeed(units=1.0, tokens_per_s=LOAD_TOKENS_A_SLOT_S * slots, concurrency=slots)
    return Model(latency_classes={_CLASS: RoundTrip.ZONAL}, resources={service: need})


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


def _cells(matrix: tuple[RouteShare, ...]) -> list[RouteWeight]:
    """Return the matrix for fronts: planned traffic first, by its amounts, also the late part.

    Fronts of a gateway don't know how full a region is, so a spill that the plan counts on
    must be a weight of the first preference.
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
