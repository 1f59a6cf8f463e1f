"""Plans on the primary which regions serve each region's traffic: one GSP solve gives one matrix.

The gateway can't load or unload models on its replicas, so the plan's only output is its routing
matrix. Demand is reported by the fronts; capacity follows from the list of replicas and the drained
zones.
"""

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.document import GatewayConfiguration
from rooklug.gateway.document_reader import read_gateway_configuration
from rooklug.gateway.gateway_events import ReplicasListed
from rooklug.gateway.view import MatrixKey
from rooklug.model.internal_events import (
    ConfigurationCommitted,
    PrimaryStarted,
    PrimaryStopped,
    TopicOffered,
    ZonesCommitted,
)
from rooklug.model.topics import PLAN
from rooklug.wire.generated.control.ttypes import (
    DemandAnswer,
    DemandReport,
    ListedReplica,
    PlanBody,
)

if TYPE_CHECKING:
    from rooklug.placement.problem import PlacementPlan, PlacementProblem

SOLVE_INTERVAL_S = 2.0
REPORT_VALID_S = 8.0
"""A front's demand report is valid for this long; an idle front sends none."""
MIN_PUBLISHED_CHANGE = 0.1
"""A matrix is published again only if a weight has changed by more than this."""
_TIMER = "solve"


def solve_lazily(problem: "PlacementProblem") -> "PlacementPlan":
    """Solve a placement problem; importing here defers loading the solver to the first solve."""
    from rooklug.placement.planner import solve

    return solve(problem)


@attrs.frozen
class _FrontDemand:
    """A front's latest report: loads in tokens/s by matrix key, and the observed prefill rate."""

    at: float
    loads: dict[MatrixKey, float]
    read_tokens_per_s: float | None


class RegionPlanner(BaseComponent):
    """Solves every ``SOLVE_INTERVAL_S`` while this core is the primary; publishes the matrix."""

    name = "region-planner"
    call_types = (DemandReport,)
    subscribes_to = (
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
        self._homes: dict[str, tuple[str, ...]] = {}
        self._replicas: tuple[ListedReplica, ...] = ()
        self._drained_zones: frozenset[str] = frozenset()
        self._fronts: dict[str, _FrontDemand] = {}
        self._ticket = 0
        self._published: dict[tuple, float] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Update the planner's inputs, or start or finish a solve."""
        match event:
            case PrimaryStarted():
                return self._start_term(event.epoch)
            case PrimaryStopped():
                self._epoch = 0
                return [fx.CancelTimer(_TIMER)]
            case ReplicasListed():
                self._replicas = tuple(event.body.replicas)
            case ZonesCommitted():
                self._drained_zones = frozenset(event.body.emptied_zones)
            case ConfigurationCommitted():
                self._take_configuration(event)
            case ev.CallArrived():
                return self._demand_reported(event, now)
            case ev.TimerFired():
                return [fx.StartTimer(_TIMER, SOLVE_INTERVAL_S), *self._solve(now)]
            case ev.Computed():
                return self._solved(event)
        return []

    def _start_term(self, epoch: int) -> list[fx.Effect]:
        was_primary = self._epoch > 0
        self._epoch = epoch
        if was_primary:
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
            self._homes = {route.name: route.home_regions for route in read.ok.all_routes()}

    def _demand_reported(self, event: ev.CallArrived, now: float) -> list[fx.Effect]:
        if not self._epoch:
            return [fx.Answer(event.call_id, DemandAnswer(accepted=False))]
        report = event.request
        loads: dict[MatrixKey, float] = defaultdict(float)
        for entry in report.entries:
            key = (entry.model, entry.source_region, self._homes.get(entry.route, ()))
            loads[key] += (
                entry.prompt_tokens_per_s + entry.answer_tokens_per_s + entry.requests_per_s
            )
        self._fronts[report.node_id] = _FrontDemand(now, loads, report.read_tokens_per_s)
        return [fx.Answer(event.call_id, DemandAnswer(accepted=True))]

    def _solve(self, now: float) -> list[fx.Effect]:
        if self._ticket or self._configuration is None or not self._replicas:
            return []
        from rooklug.gateway.region_problem import RegionSite

        self._ticket = self._identifiers.next()
        site = RegionSite(
            self._configuration, self._replicas, self._drained_zones, self._prefill_rate(now)
        )
        return [fx.Compute(self._ticket, solve_lazily, site.problem(self._measured(now)))]

    def _prefill_rate(self, now: float) -> float | None:
        """Return the mean of the fronts' reported prefill rates; None if there are none."""
        rates = [
            front.read_tokens_per_s
            for front in self._fronts.values()
            if front.read_tokens_per_s and now - front.at <= REPORT_VALID_S
        ]
        return sum(rates) / len(rates) if rates else None

    def _measured(self, now: float) -> dict[MatrixKey, float]:
        measured: dict[MatrixKey, float] = defaultdict(float)
        for front in self._fronts.values():
            if now - front.at <= REPORT_VALID_S:
                for key, load in front.loads.items():
                    measured[key] += load
        return measured

    def _solved(self, event: ev.Computed) -> list[fx.Effect]:
        if event.ticket != self._ticket:
            return []
        self._ticket = 0
        if event.error or not self._epoch:
            return (
                [
                    fx.Log(
                        "error",
                        "region plan failed; keeping the published matrix",
                        {"error": event.error},
                    )
                ]
                if event.error
                else []
            )
        from rooklug.gateway.region_problem import matrix_cells

        cells = matrix_cells(event.result.matrix)
        weights = {
            (c.model, c.source_region, tuple(c.home_regions), c.destination_region, c.preference): (
                c.weight
            )
            for c in cells
        }
        if not self._has_changed(weights):
            return []
        self._published = weights
        self._sequence += 1
        body = PlanBody(self._configuration_version, [], cells, "demand and replicas")
        return [EmitEvent(TopicOffered(PLAN, self._epoch, self._sequence, body))]

    def _has_changed(self, weights: dict[tuple, float]) -> bool:
        if weights.keys() != self._published.keys():
            return True
        return any(
            abs(weight - self._published[key]) > MIN_PUBLISHED_CHANGE
            for key, weight in weights.items()
        )
