"""Role "placer": runs a ``PlacerTerm`` while this node's grant is valid by its own clock."""

from collections.abc import Iterable

from rooklug.controller.controller_events import ProbesReported, ProbeUrgencyReported
from rooklug.controller.placer_term import PlacerDependencies, PlacerTerm
from rooklug.controller.probe_urgency import UrgencyLists
from rooklug.controller.role import RoleChange, RoleFollower
from rooklug.controller.sharding import shard_of, shard_role
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import MetricSample
from rooklug.model.internal_events import GrantsChanged, TopicChanged
from rooklug.model.topics import PROBER_SHARDS, ROLE_PLACER
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import (
    DemandAnswer,
    DemandReport,
    ProbeReport,
    ProbeReportAnswer,
)

TICK_S = 0.25
ADVANCE_SPACING_S = 0.1
_TICK = "tick"
_SHARD_ROLES = {shard_role(shard): shard for shard in range(PROBER_SHARDS)}


class PlacerHost(BaseComponent):
    """Follows the role, answers the reports of fronts and probers, and drives the current term.

    ``term`` is None while this node is not the placer.
    """

    name = "placer"
    call_types = (DemandReport, ProbeReport)
    subscribes_to = (GrantsChanged, TopicChanged, ProbesReported)

    def __init__(self, tools: PlacerDependencies) -> None:
        self._tools = tools
        self._role = RoleFollower(tools.link, ROLE_PLACER)
        self._prober_tokens: dict[str, tuple[int, int]] = {}
        self.term: PlacerTerm | None = None
        self._advanced_at = float("-inf")

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event; without a valid grant, every report is answered with a refusal."""
        effects = self._follow_role(now)
        if isinstance(event, ev.Started) or event == ev.TimerFired(_TICK):
            effects.append(fx.StartTimer(_TICK, TICK_S))
        if isinstance(event, ev.CallArrived):
            effects.append(fx.Answer(event.call_id, self._answer(event.request, now)))
        if self.term is None:
            return effects
        effects += self._forward_to_term(self.term, event, now)
        if self._role.is_owner and self._should_advance(event, now):
            self._advanced_at = now
            effects += self.term.advance(now)
        return effects + self._drop_fenced_term()

    def _should_advance(self, event: ev.Event, now: float) -> bool:
        """Return whether the term should act on this event.

        Reports and answers are only recorded; the next tick acts on all of them at once.
        """
        if event == ev.TimerFired(_TICK):
            return True
        prompt = isinstance(event, TopicChanged | ev.Computed | GrantsChanged)
        return prompt and now - self._advanced_at >= ADVANCE_SPACING_S

    def _follow_role(self, now: float) -> list[fx.Effect]:
        change = self._role.refresh(now)
        if change is RoleChange.NONE:
            return []
        effects = self.term.finish() if self.term is not None else []
        self.term = None
        if change is RoleChange.TAKEN:
            term = PlacerTerm(self._tools, self._role, self._role.token, now)
            self._prober_tokens = {}
            effects += term.begin(now)
            self.term = term
        return effects

    def _drop_fenced_term(self) -> list[fx.Effect]:
        if self._role.is_owner or self.term is None:
            return []
        effects = self.term.finish()
        self.term = None
        fields = {"role": ROLE_PLACER}
        return [
            *effects,
            fx.Log(
                "warning",
                "fenced by a newer placer's token; standing by",
                fields,
            ),
        ]

    def _forward_to_term(self, term: PlacerTerm, event: ev.Event, now: float) -> list[fx.Effect]:
        if isinstance(event, TopicChanged):
            return term.handle_topic_changed(event.topic, event.body, now)
        if isinstance(event, ev.Computed):
            return term.handle_computed(event, now)
        if isinstance(event, ev.HttpAnswered | ev.HttpFailed):
            return term.handle_attempt_end(event, now)
        if isinstance(event, ProbesReported):
            return self._apply_local_probe_report(event.report, now)
        return []

    def _answer(
        self, request: DemandReport | ProbeReport, now: float
    ) -> DemandAnswer | ProbeReportAnswer:
        if isinstance(request, DemandReport):
            if self.term is not None:
                self.term.handle_demand_report(request, now)
            return DemandAnswer(accepted=self.term is not None)
        urgency = self._apply_probe_report(request, now)
        if urgency is None:
            return ProbeReportAnswer(accepted=False)
        return ProbeReportAnswer(
            accepted=True, probe_soon=list(urgency.probe_soon), steady=list(urgency.steady)
        )

    def _apply_local_probe_report(self, report: ProbeReport, now: float) -> list[fx.Effect]:
        urgency = self._apply_probe_report(report, now)
        if urgency is None:
            return []
        return [
            EmitEvent(
                ProbeUrgencyReported(report.grant.role_key, urgency.probe_soon, urgency.steady)
            )
        ]

    def _apply_probe_report(self, report: ProbeReport, now: float) -> UrgencyLists | None:
        """Apply a prober's results and return which replicas it should probe sooner or less often.

        Returns None if this node isn't the placer, or if the report carries an older token of its
        shard than one already seen.
        """
        role_key, token = report.grant.role_key, version_key(report.grant.token)
        if self.term is None or role_key not in _SHARD_ROLES:
            return None
        if token < self._prober_tokens.get(role_key, (0, 0)):
            return None
        self._prober_tokens[role_key] = token
        self.term.handle_probe_report(report, now)
        shard = _SHARD_ROLES[role_key]
        fleet = self.term.fleet
        own = [replica_id for replica_id in fleet.replicas if shard_of(replica_id) == shard]
        return self.term.urgency.lists_for(report.node_id, own, fleet, now)

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the metric samples of the current term; without one, only "held"."""
        owner = MetricSample(
            "rooklug_placer_held", float(self.term is not None), "gauge", "this node is the placer"
        )
        if self.term is None:
            return [owner]
        term = self.term
        demand = term.demand.table
        figures = (
            ("solves_total", term.solving.solves, "counter", "solves begun"),
            (
                "last_solve_seconds",
                term.solving.last_solve_s,
                "gauge",
                "duration of the last solve",
            ),
            ("solves_failed_total", term.solving.failed_solves, "counter", "solves that failed"),
            (
                "solves_ended_by_time_total",
                term.solving.solves_ended_by_time,
                "counter",
                "solves that the time guard ended",
            ),
            ("publications_total", term.publisher.publications, "counter", "plans published"),
            ("orders_total", term.dispatcher.sent, "counter", "orders sent, with repeats"),
            ("orders_repeated_total", term.dispatcher.retried, "counter", "orders sent again"),
            (
                "bad_demand_entries_total",
                demand.bad_entries,
                "counter",
                "entries refused",
            ),
            ("bad_reports_total", term.fleet.bad_reports, "counter", "reports refused"),
            (
                "fronts_reporting",
                len(demand.front_ids),
                "gauge",
                "fronts with live demand",
            ),
        )
        return [owner] + [
            MetricSample(f"rooklug_placer_{name}", float(value), kind, text)
            for name, value, kind, text in figures
        ]
