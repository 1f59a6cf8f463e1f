"""The control state of one core as a part: wires witness, views, replication and changes."""

from collections.abc import Iterable
from random import Random

from rooklug.core.announcer import Announcer
from rooklug.core.backup import Backup
from rooklug.core.changes import ChangeIntake
from rooklug.core.constants import (
    FAILED_EXIT_S,
    FAILOVER_JITTER_S,
    FAILOVER_STEP_S,
    LEASE_S,
    LOG_FILE,
    MESSAGE_DEADLINE_S,
    QUIET_S,
    RESUME_RETRY_S,
    RESUME_S,
    RETRY_JITTER_S,
    RETRY_S,
    STOP_GRACE_S,
    SYNC_DEADLINE_S,
    TICK_S,
    TICK_TIMER,
)
from rooklug.core.disk import Disk
from rooklug.core.documents import DocumentChecker
from rooklug.core.formation import Formation
from rooklug.core.http_interface import PREFIX, HttpInterface
from rooklug.core.joining import Joining
from rooklug.core.leader import Leader
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import member_from_wire
from rooklug.core.recovery import Recovery
from rooklug.core.startup import new_disk, read_witness
from rooklug.core.status import core_status
from rooklug.core.store import CopyStore
from rooklug.core.types import Position, View
from rooklug.core.views import ViewChanger
from rooklug.core.witness import NEVER, Witness, blank_state
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.model.settings import CoreSettings
from rooklug.wire.generated.control import ttypes as control
from rooklug.wire.generated.core import ttypes as wire

STOP_TIMER = "stop"
FAILED_TIMER = "failed"
EXIT_FAILED = 1


class ControlStateComponent(BaseComponent):
    """One of the three cores: stores the control state, and elects its primary."""

    name = "control-state"
    http_prefixes = (PREFIX,)

    def __init__(
        self, settings: CoreSettings, context: ProcessContext, checker: DocumentChecker
    ) -> None:
        self._context = context
        self._random: Random = context.random
        self.peers = Peers(settings.node.node_id, dict(settings.members))
        self.peers.addresses[settings.node.node_id] = settings.node.internal_address
        self.outbox = Outbox(context.identifiers)
        self.disk = Disk(self.outbox)
        self.store = CopyStore(self.disk)
        self.witness = Witness(self.outbox, self.disk, self._synced_last, self.peers)
        self.changer = ViewChanger(
            self.peers,
            self.outbox,
            self.witness,
            self._synced_last,
            self._on_chosen,
            self._on_round_failed,
        )
        self.leader = Leader(
            self.peers,
            self.outbox,
            self.witness,
            self.store,
            self.changer,
            self._on_committed,
            self._on_stopped,
            settings.min_in_sync_replicas,
        )
        self.backup = Backup(
            self.outbox, self.witness, self.store, self._on_heard, self._on_diverged
        )
        self.formation = Formation(
            self.peers, self.outbox, self.witness, self._on_chosen, settings.first_start
        )
        self.joining = Joining(
            self.peers, self.outbox, self.witness, self.formation, settings.first_start
        )
        self.recovery = Recovery(
            self.peers, self.outbox, self.witness, self.store, self._is_led, self._on_chosen
        )
        self.http = HttpInterface(self.outbox, self.recovery, lambda now: core_status(self, now))
        self.changes = ChangeIntake(self.outbox, self.store, self.leader, checker)
        self.announcer = Announcer(self.outbox, self.store)
        self.failure = ""
        self._exits_on_failed_write = settings.exits_on_failed_write
        self._stopping = False
        self._candidate_after = 0.0
        # The primary of the newest view known, restarted: no lease but its own can stand in
        # its way, and that one ended with its process. It tries again and again for a while,
        # since the others may be starting too.
        self._resumes_until = NEVER
        self._patience = self._random.uniform(0.0, FAILOVER_JITTER_S)
        self._call_handlers = {
            wire.PrepareRequest: self.witness.on_prepare,
            wire.AcceptRequest: self.witness.on_accept,
            wire.ReadWitnessRequest: self.witness.on_read,
            wire.FormViewRequest: self.witness.on_form,
            wire.AdoptViewRequest: self.witness.on_adopt,
            wire.JoinRequest: self._on_join,
            wire.LeaveRequest: self._on_leave,
            wire.RecoverRequest: self.recovery.on_request,
            wire.HandOverRequest: self.witness.on_hand_over,
            wire.StartViewRequest: self.backup.on_start_view,
            wire.AppendRequest: self.backup.on_append,
            wire.HeartbeatRequest: self.backup.on_heartbeat,
            wire.SnapshotPartRequest: self.backup.on_snapshot_part,
            control.SubmitChangeRequest: self._on_submit,
            control.SetZoneRequest: self._on_submit,
            control.ReadConfigurationRequest: self._on_read,
        }
        self.call_types = tuple(self._call_handlers)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event; a primary whose lease has ended stops before anything else."""
        if self.leader.view is not None and not self.leader.is_active(now):
            self.leader.stop("the lease ended", now)
        self._dispatch(event, now)
        self.announcer.committed()
        self.announcer.cores(self.peers.member_addresses())
        self.announcer.status(core_status(self, now))
        return self.outbox.take()

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Figures of this moment."""
        return (
            MetricSample(
                "core_epoch", self.witness.state.promised_epoch, "gauge", "promised epoch"
            ),
            MetricSample("core_committed", self.store.committed, "gauge", "committed sequence"),
            MetricSample(
                "core_changes_total", self.changes.accepted_count, "counter", "changes taken here"
            ),
            MetricSample(
                "core_primary", float(self.leader.may_serve(now)), "gauge", "1 while it is primary"
            ),
            MetricSample(
                "core_write_wait_seconds", self.disk.oldest_age(now), "gauge", "oldest write's wait"
            ),
        )

    def _dispatch(self, event: ev.Event, now: float) -> None:
        if isinstance(event, ev.Started):
            self._start(event, now)
        elif isinstance(event, ev.StopRequested):
            self._request_stop(now)
        elif isinstance(event, ev.TimerFired):
            self._on_timer(event.name, now)
        elif isinstance(event, ev.HttpRequestArrived):
            self.http.on_request(event, now)
        elif self.failure:
            return
        elif isinstance(event, ev.CallArrived):
            self._call_handlers[type(event.request)](event.call_id, event.request, now)
        elif isinstance(event, ev.CallAnswered | ev.CallFailed):
            self.outbox.call_ended(event, now)
        elif isinstance(event, ev.WriteFinished):
            self.disk.finished(event.ticket, now)
        elif isinstance(event, ev.WriteFailed):
            self.disk.failed(event.reason)
            self._fail(f"a write failed: {event.reason}", now)
            if self._exits_on_failed_write:
                self.outbox.add(fx.StartTimer(FAILED_TIMER, FAILED_EXIT_S))
        elif isinstance(event, ev.Computed):
            self.changes.computed(event.ticket, event.result, event.error, now)

    def _start(self, event: ev.Started, now: float) -> None:
        found = read_witness(event, self.peers.own_id)
        problem = self.store.load(event.records.get(LOG_FILE, ()))
        reason = found.reason or (f"the log is damaged: {problem}" if problem else "")
        if found.witness is not None and not reason:
            self.witness.load(found.witness, now)
            if self.witness.leader == found.witness.own:
                self._resumes_until = now + RESUME_S
        else:
            own = new_disk(self.peers.own_id, event, self._context.incarnation)
            self.outbox.log("warning", "this disk begins a new life", reason=reason)
            self.witness.begin_anew(blank_state(own, event.disk_identity), now)
            self.store.rewrite_all(now)
        self.outbox.add(fx.StartTimer(TICK_TIMER, TICK_S))

    def _on_timer(self, name: str, now: float) -> None:
        if name == FAILED_TIMER:
            self.outbox.add(fx.StopProcess(EXIT_FAILED, self.failure))
            return
        if name == STOP_TIMER:
            self.outbox.add(fx.StopProcess(0, "stopped on request"))
            return
        self.outbox.add(fx.StartTimer(TICK_TIMER, TICK_S))
        if self.failure:
            return
        if self.disk.oldest_age(now) >= SYNC_DEADLINE_S:
            self.leader.hand_over("its disk is too slow", now)
        self.formation.tick(now)
        self.joining.tick(self._is_led(now), now)
        self.changer.tick(now)
        self.leader.tick(now)
        self.changes.tick(now)
        self.store.compact_if_long(now)
        self._forget_silent_primary(now)
        if self._should_lead(now):
            self.changer.begin(frozenset(), now)

    def _is_led(self, now: float) -> bool:
        led_by_other = self.announcer.primary_id not in ("", self.peers.own_id)
        return self.leader.is_active(now) or led_by_other

    def _should_lead(self, now: float) -> bool:
        state = self.witness.state
        if self.leader.view is not None or self.changer.round is not None or self._stopping:
            return False
        if not state.voting or state.view is None or not state.view.has(state.own):
            return False
        if self.disk.oldest_age(now) >= SYNC_DEADLINE_S / 2:
            return False
        if now < self._resumes_until:
            return now >= self._candidate_after
        rank = state.view.in_sync.index(state.own)
        patience = self._patience + rank * FAILOVER_STEP_S
        return now >= max(self.witness.heard_at + QUIET_S, self._candidate_after) + patience

    def _forget_silent_primary(self, now: float) -> None:
        if self.leader.view is None and now >= self.witness.heard_at + QUIET_S:
            self.announcer.primary(self.announcer.primary_epoch, "", "")

    def _on_chosen(self, view: View, sent_at: float, now: float) -> None:
        if now >= sent_at + LEASE_S:
            self._on_round_failed("the answers came after the lease", now)
            return
        self._on_heard(view.epoch, self.peers.own_id, now)
        self.leader.start(view, sent_at, now)
        self.changes.append_ready(now)

    def _on_round_failed(self, reason: str, now: float) -> None:
        self.outbox.log("info", "a view change failed", reason=reason)
        self._candidate_after = now + (RESUME_RETRY_S if now < self._resumes_until else RETRY_S)
        self._patience = self._random.uniform(0.0, RETRY_JITTER_S)

    def _on_heard(self, epoch: int, primary_id: str, now: float) -> None:
        self._resumes_until = NEVER
        deposed = self.leader.view is not None and epoch > self.leader.epoch
        if deposed and primary_id != self.peers.own_id:
            self.leader.stop("another core leads", now)
        self.announcer.primary(epoch, primary_id, self.peers.address(primary_id))

    def _on_committed(self, now: float) -> None:
        self.announcer.committed()
        self.changes.committed(now)
        self.changes.append_ready(now)

    def _on_stopped(self, now: float) -> None:
        self.changes.stopped(now)
        self._candidate_after = now + RETRY_S
        self.announcer.primary(self.announcer.primary_epoch, "", "")

    def _on_diverged(self, reason: str, now: float) -> None:
        self._fail(f"broken invariant: {reason}", now)
        self.outbox.add(fx.StopProcess(1, reason))

    def _fail(self, reason: str, now: float) -> None:
        self.failure = reason
        self.outbox.log("error", "this core takes part no more", reason=reason)
        self.leader.hand_over(reason, now)

    def _request_stop(self, now: float) -> None:
        self._stopping = True
        leave = wire.LeaveRequest(core_id=self.peers.own_id)
        for core_id in self.peers.others:
            address = self.peers.address(core_id)
            self.outbox.call(address, leave, MESSAGE_DEADLINE_S, lambda answer, now: None)
        self.leader.hand_over("it is being stopped", now)
        self.outbox.add(fx.StartTimer(STOP_TIMER, STOP_GRACE_S))

    def _on_join(self, call_id: int, request: wire.JoinRequest, now: float) -> None:
        leads = self.leader.may_serve(now)
        if leads:
            member = member_from_wire(request.member)
            self.leader.wish_to_join(member, request.first_start, now)
        address = self.announcer.primary_address
        self.outbox.answer(call_id, wire.JoinAnswer(noted=leads, primary_address=address))

    def _on_leave(self, call_id: int, request: wire.LeaveRequest, now: float) -> None:
        self.leader.leaving[request.core_id] = now
        self.outbox.answer(call_id, wire.LeaveAnswer(noted=True))

    def _on_submit(
        self,
        call_id: int,
        request: control.SubmitChangeRequest | control.SetZoneRequest,
        now: float,
    ) -> None:
        if self.leader.is_active(now):
            self.changes.submit(call_id, request, now)
        elif isinstance(request, control.SetZoneRequest):
            address = self.announcer.primary_address
            self.outbox.answer(call_id, control.SetZoneAnswer("not_primary", address, []))
        else:
            self.outbox.answer(call_id, self._not_primary())

    def _not_primary(self) -> control.SubmitChangeAnswer:
        return control.SubmitChangeAnswer(
            outcome="not_primary",
            version=0,
            digest="",
            problems=[],
            primary_address=self.announcer.primary_address,
            repeated=False,
        )

    def _on_read(self, call_id: int, request: control.ReadConfigurationRequest, now: float) -> None:
        ok = self.leader.may_serve(now) or not request.linearizable
        body = self.store.state.configuration_body()
        if not ok:
            body = control.ConfigurationBody(version=0, digest="", document=b"")
        address = self.announcer.primary_address
        self.outbox.answer(call_id, control.ReadConfigurationAnswer(ok, body, address))

    def _synced_last(self) -> Position:
        return self.store.last
