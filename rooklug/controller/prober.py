"""Roles "prober/N": each fetches the reports of one shard's replicas, as often as needed."""

from collections.abc import Iterable

import attrs

from rooklug.controller.controller_events import ProbesReported, ProbeUrgencyReported
from rooklug.controller.link import Link
from rooklug.controller.probe_outbox import ProbeOutbox, ProbeOutcome
from rooklug.controller.probe_schedule import ProbeBudget, ProbeTarget
from rooklug.controller.replica_report import ReplicaReport, read_report
from rooklug.controller.role import RoleChange, RoleFollower
from rooklug.controller.self_check import SelfCheck
from rooklug.controller.sharding import shard_of, shard_role
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.model.constants import CALL_DEADLINE_S
from rooklug.model.internal_events import GrantsChanged, TopicChanged
from rooklug.model.settings import NodeSettings
from rooklug.model.topics import REPLICAS, ROLE_PLACER
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import (
    ListedReplica,
    ProbeReport,
    ProbeReportAnswer,
    ProbeResult,
)

REPORT_PATH = "/api/report"
PROBE_DEADLINE_S = 0.8
CONNECT_DEADLINE_S = 0.4
REPORT_INTERVAL_S = 0.5
BATCH_DELAY_S = 0.05
REFERENCE_PROBES = 2
"""Replicas of other shards probed at once while the self check suspects this process."""
MIN_TIMER_DELAY_S = 0.005
REFERENCE_SPACING_S = 1.0
HTTP_OK = 200
_REPORT = "report"
_PROBE = "probe"


@attrs.frozen
class _Probe:
    """A probe in flight.

    ``own`` probes follow the schedule of this shard. Others go to replicas of another shard: the
    placer has requested them, or they are references of the self check.
    """

    replica_id: str
    own: bool


class Prober(BaseComponent):
    """One prober shard. Each replica is scheduled by exactly one shard of the fleet."""

    subscribes_to = (GrantsChanged, TopicChanged, ProbeUrgencyReported)

    def __init__(
        self,
        shard: int,
        settings: NodeSettings,
        context: ProcessContext,
        core_link: Link,
        self_check: SelfCheck,
    ) -> None:
        self.name = f"prober-{shard}"
        self._shard = shard
        self._settings = settings
        self._context = context
        self._link = core_link
        self._self_check = self_check
        self._role = RoleFollower(core_link, shard_role(shard))
        self._budget = ProbeBudget()
        self._listed: dict[str, ListedReplica] = {}
        self._targets: dict[str, ProbeTarget] = {}
        self._in_flight: dict[int, _Probe] = {}
        self._foreign_failures: dict[str, int] = {}
        self._outbox = ProbeOutbox()
        self._report_call: int | None = None
        self._placer_token: tuple[int, int] = (0, 0)
        self._reference_at = -REFERENCE_SPACING_S
        self._probes = 0
        self._failed_probes = 0
        self._bad_reports = 0
        self._budget_waits = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event; without a valid grant, nothing is sent."""
        effects = self._follow_role(now)
        if isinstance(event, ev.Started):
            effects.append(fx.StartTimer(_REPORT, REPORT_INTERVAL_S))
        elif isinstance(event, TopicChanged) and event.topic == REPLICAS:
            self._apply_listing(event.body.replicas, now)
        elif isinstance(event, ProbeUrgencyReported) and event.shard_role == self._role.role_key:
            self._outbox.complete(accepted=True)
            effects += self._apply_urgency(event.probe_soon, event.steady, now)
        elif isinstance(event, ev.TimerFired) and event.name == _REPORT:
            effects.append(fx.StartTimer(_REPORT, REPORT_INTERVAL_S))
            effects += self._send_report(now)
        elif isinstance(event, ev.HttpAnswered | ev.HttpFailed):
            effects += self._on_probe_end(event, now)
        elif isinstance(event, ev.CallAnswered | ev.CallFailed):
            effects += self._on_report_end(event, now)
        return effects + self._send_due_probes(now)

    def _follow_role(self, now: float) -> list[fx.Effect]:
        change = self._role.refresh(now)
        if change is RoleChange.NONE:
            return []
        effects: list[fx.Effect] = [fx.CancelHttpCall(call_id) for call_id in self._in_flight]
        self._in_flight = {}
        self._targets = {}
        self._foreign_failures = {}
        self._outbox = ProbeOutbox()
        self._report_call = None
        if change is RoleChange.TAKEN:
            body = self._link.body(REPLICAS)
            self._apply_listing(body.replicas if body is not None else [], now)
        return [*effects, fx.CancelTimer(_PROBE)]

    def _apply_listing(self, replicas: list[ListedReplica], now: float) -> None:
        self._listed = {
            replica.replica_id: replica
            for replica in replicas
            if replica.kind == "model" and not replica.leaving
        }
        if not self._role.is_owner:
            return
        previous, self._targets = self._targets, {}
        for replica_id, replica in self._listed.items():
            if shard_of(replica_id) == self._shard:
                self._targets[replica_id] = _updated_target(previous.get(replica_id), replica, now)
        self._outbox.retain_only(set(self._listed))

    def _send_due_probes(self, now: float) -> list[fx.Effect]:
        """Send the probes that are due, within the budget, and set the timer for the next one."""
        if not self._role.is_owner:
            return []
        waiting = [target for target in self._targets.values() if not target.in_flight]
        due = [target for target in waiting if target.due_at <= now]
        due.sort(key=lambda target: (target.priority, target.due_at, target.replica.replica_id))
        effects: list[fx.Effect] = []
        for position, target in enumerate(due):
            if not self._budget.try_consume(now):
                self._budget_waits += len(due) - position
                return [
                    *effects,
                    fx.StartTimer(_PROBE, max(MIN_TIMER_DELAY_S, self._budget.wait_s(now))),
                ]
            target.in_flight = True
            target.probed_at = now
            effects.append(self._probe(target.replica, own=True))
        later = [target.due_at for target in waiting if target.due_at > now]
        if later:
            effects.append(fx.StartTimer(_PROBE, max(MIN_TIMER_DELAY_S, min(later) - now)))
        return effects

    def _probe(self, replica: ListedReplica, *, own: bool) -> fx.Effect:
        call_id = self._context.identifiers.next()
        self._in_flight[call_id] = _Probe(replica.replica_id, own)
        self._probes += 1
        return fx.HttpCall(
            call_id=call_id,
            address=replica.address,
            method="GET",
            path=REPORT_PATH,
            body=b"",
            deadline_s=PROBE_DEADLINE_S,
            connect_deadline_s=CONNECT_DEADLINE_S,
            not_after=self._role.valid_until,
        )

    def _on_probe_end(self, event: ev.HttpAnswered | ev.HttpFailed, now: float) -> list[fx.Effect]:
        probe = self._in_flight.pop(event.call_id, None)
        if probe is None or not self._role.is_owner or probe.replica_id not in self._listed:
            return []
        report = self._read_report(event, probe.replica_id)
        failures = self._count_outcome(probe, report, now)
        text = event.body.decode() if report and isinstance(event, ev.HttpAnswered) else ""
        self._outbox.record(ProbeOutcome(probe.replica_id, now, report is not None, text, failures))
        return [fx.StartTimer(_REPORT, BATCH_DELAY_S), *self._probe_references(now)]

    def _read_report(
        self, event: ev.HttpAnswered | ev.HttpFailed, replica_id: str
    ) -> ReplicaReport | None:
        """Return the report that a probe fetched, or None if there is no valid one."""
        if isinstance(event, ev.HttpFailed):
            self._self_check.record_failure()
            return None
        self._self_check.record_answer()
        if event.status != HTTP_OK:
            return None
        outcome = read_report(event.body, replica_id)
        self._bad_reports += outcome.is_error()
        return outcome.ok if outcome.is_ok() else None

    def _count_outcome(self, probe: _Probe, report: ReplicaReport | None, now: float) -> int:
        self._failed_probes += report is None
        target = self._targets.get(probe.replica_id) if probe.own else None
        if target is None:
            failures = (
                0 if report is not None else 1 + self._foreign_failure_count(probe.replica_id)
            )
            self._foreign_failures[probe.replica_id] = failures
            return failures
        target.in_flight = False
        if report is not None:
            target.record_report(report, now, self._context.random)
        else:
            target.record_failure(now, self._context.random)
        return target.failures

    def _foreign_failure_count(self, replica_id: str) -> int:
        return self._foreign_failures.get(replica_id, 0)

    def _probe_references(self, now: float) -> list[fx.Effect]:
        """Probe a few replicas of other shards while this process suspects its own connectivity."""
        if not self._self_check.is_suspect or now - self._reference_at < REFERENCE_SPACING_S:
            return []
        self._reference_at = now
        others = sorted(set(self._listed) - set(self._targets))
        chosen = self._context.random.sample(others, min(REFERENCE_PROBES, len(others)))
        return self._probe_each(chosen, now)

    def _probe_each(self, replica_ids: Iterable[str], now: float) -> list[fx.Effect]:
        return [
            self._probe(self._listed[replica_id], own=False)
            for replica_id in replica_ids
            if self._budget.try_consume(now)
        ]

    def _send_report(self, now: float) -> list[fx.Effect]:
        owner = self._link.role_owner(ROLE_PLACER)
        if owner is None or not self._role.is_owner or self._report_call is not None:
            return []
        self._outbox.complete(accepted=False)
        if version_key(owner.token) != self._placer_token:
            self._placer_token = version_key(owner.token)
            self._outbox.mark_all_unsent()
        report = self._report(
            self._outbox.take_batch(now, withhold_failures=self._self_check.is_suspect)
        )
        if owner.internal_address == self._settings.internal_address:
            return [EmitEvent(ProbesReported(report))]
        self._report_call = self._context.identifiers.next()
        return [
            fx.Call(
                call_id=self._report_call,
                address=owner.internal_address,
                request=report,
                deadline_s=CALL_DEADLINE_S,
                not_after=self._role.valid_until,
            )
        ]

    def _report(self, results: list[ProbeResult]) -> ProbeReport:
        return ProbeReport(node_id=self._context.node_id, grant=self._role.grant, results=results)

    def _on_report_end(self, event: ev.CallAnswered | ev.CallFailed, now: float) -> list[fx.Effect]:
        if event.call_id != self._report_call:
            return []
        self._report_call = None
        answer = event.answer if isinstance(event, ev.CallAnswered) else None
        if not isinstance(answer, ProbeReportAnswer) or not answer.accepted:
            self._outbox.complete(accepted=False)
            return []
        self._outbox.complete(accepted=True)
        return self._apply_urgency(answer.probe_soon or (), answer.steady or (), now)

    def _apply_urgency(
        self, probe_soon: Iterable[str], steady: Iterable[str], now: float
    ) -> list[fx.Effect]:
        for replica_id in steady:
            if replica_id in self._targets:
                self._targets[replica_id].mark_serving(now)
        foreign = []
        for replica_id in probe_soon:
            if replica_id in self._targets:
                self._targets[replica_id].expedite(now)
            elif replica_id in self._listed and self._role.is_owner:
                foreign.append(replica_id)
        return self._probe_each(foreign, now)

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the metric samples of this shard, labelled with its number."""
        labels = {"shard": str(self._shard)}
        figures = (
            ("probes_total", self._probes, "counter", "reports asked for"),
            ("probes_failed_total", self._failed_probes, "counter", "probes without a report"),
            ("bad_reports_total", self._bad_reports, "counter", "reports refused by the checks"),
            ("probe_budget_waits_total", self._budget_waits, "counter", "probes put off"),
            ("probe_targets", len(self._targets), "gauge", "replicas of this shard"),
            ("prober_in_doubt", int(self._self_check.is_suspect), "gauge", "no probe is answered"),
        )
        return [
            MetricSample(f"rooklug_{name}", float(value), kind, text, labels)
            for name, value, kind, text in figures
        ]


def _updated_target(target: ProbeTarget | None, replica: ListedReplica, now: float) -> ProbeTarget:
    """Return the target of a listed replica; its history is kept unless the address changed."""
    if target is None or target.replica.address != replica.address:
        return ProbeTarget(replica, due_at=now)
    target.replica = replica
    return target
