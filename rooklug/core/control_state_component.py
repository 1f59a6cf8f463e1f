"""One core's control state as a component: wires its modules and dispatches events to them.

The modules share an ``Outbox``, which collects the effects of one event. The reactions to an
outcome (a chosen view, a commit, lost leadership) are wired here as callbacks.
"""

from collections.abc import Callable, Iterable
from typing import Any

from rooklug.core import witness_rules
from rooklug.core.announcer import Announcer
from rooklug.core.backup import Backup
from rooklug.core.call_handlers import CallHandlers
from rooklug.core.candidacy import Candidacy
from rooklug.core.changes import ChangeIntake
from rooklug.core.constants import (
    FAILED_EXIT_DELAY_S,
    LEASE_GUARD_S,
    LEASE_S,
    LOG_FILE,
    MESSAGE_DEADLINE_S,
    STOP_GRACE_S,
    SYNC_DEADLINE_S,
    TICK_INTERVAL_S,
    TICK_TIMER,
)
from rooklug.core.disk import Disk
from rooklug.core.disk_identity import DiskCheck, check_disk, new_incarnation
from rooklug.core.documents import DocumentChecker
from rooklug.core.formation import Formation
from rooklug.core.group_reports import GroupReports
from rooklug.core.http_interface import PREFIX, HttpInterface
from rooklug.core.in_sync_set import NO_EXCLUSIONS
from rooklug.core.joining import JoinRequester
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.primary import Primary
from rooklug.core.recovery import Recovery
from rooklug.core.status import StatusSources, core_status
from rooklug.core.store import ReplicaStore
from rooklug.core.types import Position, View, WitnessState
from rooklug.core.view_change import ViewChanger
from rooklug.core.witness import Witness, blank_state
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.model.internal_events import EarlierPrimaryReported, GroupStartReported
from rooklug.model.settings import CoreSettings
from rooklug.wire.generated.control import ttypes as control
from rooklug.wire.generated.control.ttypes import CoreStatus
from rooklug.wire.generated.core import ttypes as wire

STOP_TIMER = "stop"
FAILED_TIMER = "failed"
EXIT_OK = 0
EXIT_FAILED = 1


class ControlStateComponent(BaseComponent):
    """Replicates the control state on one core and takes part in electing the primary.

    ``failure`` is the reason why this core has stopped participating, "" while it participates.
    """

    name = "control-state"
    http_prefixes = (PREFIX,)
    subscribes_to = (GroupStartReported, EarlierPrimaryReported)

    def __init__(
        self, settings: CoreSettings, context: ProcessContext, checker: DocumentChecker
    ) -> None:
        self._context = context
        self._exits_on_failed_write = settings.exits_on_failed_write
        self._disk_never_voted = settings.disk_never_voted
        self._stopping = False
        self.failure = ""
        self._build_replica(settings)
        self._build_leadership(settings)
        self._build_bootstrap(settings)
        self.changes = ChangeIntake(self.outbox, self.store, self.primary, checker)
        self.announcer = Announcer(self.outbox, self.store)
        self.candidacy = Candidacy(self.witness, self.disk, context.random)
        self._handlers = CallHandlers(
            self.outbox, self.store, self.primary, self.changes, self.announcer
        )
        self._handler_by_call = self._call_table()
        self.call_types = tuple(self._handler_by_call)

    def _build_replica(self, settings: CoreSettings) -> None:
        """Build the modules that store and replicate: disk, log, witness and backup."""
        self.peers = Peers(settings.node.node_id, dict(settings.members))
        self.peers.addresses[settings.node.node_id] = settings.node.internal_address
        self.outbox = Outbox(self._context.identifiers)
        self.disk = Disk(self.outbox)
        self.store = ReplicaStore(self.disk)
        self.group_reports = GroupReports()
        self.witness = Witness(
            self.outbox, self.disk, self._last_position, self.peers, self.group_reports
        )
        self.backup = Backup(
            self.outbox,
            self.witness,
            self.store,
            settings.node.zone,
            self._on_primary_seen,
            self._on_diverged,
        )

    def _build_leadership(self, settings: CoreSettings) -> None:
        """Build the modules that make this core the primary and do the primary's work."""
        self.view_changer = ViewChanger(
            self.peers,
            self.outbox,
            self.witness,
            self._last_position,
            self._on_view_chosen,
            self._on_proposal_failed,
        )
        self.primary = Primary(
            self.peers,
            self.outbox,
            self.witness,
            self.store,
            self.view_changer,
            self._on_committed,
            self._on_stepped_down,
            settings.node.zone,
            settings.min_in_sync_replicas,
        )

    def _build_bootstrap(self, settings: CoreSettings) -> None:
        """Build the modules for the first view, joining, and recovery by an operator."""
        self.formation = Formation(
            self.peers,
            self.outbox,
            self.witness,
            self.group_reports,
            first_start=settings.first_start,
        )
        self.join_requester = JoinRequester(
            self.peers,
            self.outbox,
            self.witness,
            self.formation,
            zone=settings.node.zone,
            first_start=settings.first_start,
        )
        self.recovery = Recovery(
            self.peers,
            self.outbox,
            self.witness,
            self.store,
            self.group_reports,
            self._has_primary,
            self._on_view_chosen,
        )
        self.http = HttpInterface(self.outbox, self.recovery, self._status)

    def _call_table(self) -> dict[type, Callable[[int, Any, float], None]]:
        return {
            wire.PrepareRequest: self.witness.on_prepare,
            wire.AcceptRequest: self.witness.on_accept,
            wire.ReadWitnessRequest: self.witness.on_read,
            wire.AdoptViewRequest: self.witness.on_adopt,
            wire.JoinRequest: self._handlers.on_join,
            wire.LeaveRequest: self._handlers.on_leave,
            wire.RecoverRequest: self.recovery.on_request,
            wire.HandOverRequest: self.witness.on_hand_over,
            wire.StartViewRequest: self.backup.on_start_view,
            wire.AppendRequest: self.backup.on_append,
            wire.HeartbeatRequest: self.backup.on_heartbeat,
            wire.SnapshotPartRequest: self.backup.on_snapshot_chunk,
            control.SubmitChangeRequest: self._handlers.on_submit_change,
            control.SetZoneRequest: self._handlers.on_set_zone,
            control.ReadConfigurationRequest: self._handlers.on_read,
        }

    # Events ---------------------------------------------------------------

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event; a primary whose lease has expired steps down first."""
        if self.primary.view is not None and not self.primary.is_active(now):
            self.primary.step_down("the lease ended", now)
        self._dispatch(event, now)
        self.announcer.announce_committed()
        self.announcer.announce_cores(self.peers.member_addresses())
        self.announcer.announce_status(self._status(now))
        return self.outbox.take()

    def _dispatch(self, event: ev.Event, now: float) -> None:
        match event:
            case ev.Started():
                self._start(event, now)
            case ev.StopRequested():
                self._request_stop(now)
            case ev.TimerFired():
                self._on_timer(event.name, now)
            case ev.HttpRequestArrived():
                self.http.on_request(event, now)
            case _ if not self.failure:
                self._dispatch_while_participating(event, now)

    def _dispatch_while_participating(self, event: ev.Event, now: float) -> None:
        match event:
            case ev.CallArrived():
                self._handler_by_call[type(event.request)](event.call_id, event.request, now)
            case ev.CallAnswered() | ev.CallFailed():
                self.outbox.complete_call(event, now)
            case GroupStartReported():
                self.group_reports.record_start(now)
            case EarlierPrimaryReported():
                self.group_reports.record_primary(event.epoch)
            case ev.WriteFinished():
                self.disk.on_write_finished(event.ticket, now)
            case ev.WriteFailed():
                self._on_write_failed(event, now)
            case ev.Computed():
                self.changes.on_check_completed(event.ticket, event.result, event.error, now)

    def _start(self, event: ev.Started, now: float) -> None:
        self.group_reports.listen(now)
        checked = check_disk(event, self.peers.own_id)
        problem = self.store.load(event.records.get(LOG_FILE, ()))
        reason = checked.reason or (f"the log is damaged: {problem}" if problem else "")
        if checked.witness is not None and not reason:
            self.witness.load(checked.witness, now)
            if self.witness.supported_primary == checked.witness.own:
                self.candidacy.allow_resume(now)
        else:
            own = new_incarnation(self.peers.own_id, event, self._context.incarnation)
            self.outbox.log("warning", "disk starts a new incarnation", reason=reason)
            state = self._state_of_new_disk(blank_state(own, event.disk_identity), checked)
            self.witness.start_new_incarnation(state, now)
            self.store.rewrite_all(now)
        self.candidacy.wait_for_other_founders(now)
        self.outbox.add(fx.StartTimer(TICK_TIMER, TICK_INTERVAL_S))

    def _state_of_new_disk(self, blank: WitnessState, checked: DiskCheck) -> WitnessState:
        """Return a founder's state if the disk is blank and has certainly never voted."""
        is_founder = self.peers.own_id in self.peers.founders
        if not (self._disk_never_voted and checked.is_blank and is_founder):
            return blank
        return witness_rules.become_founder(blank, self.peers.founding_members()) or blank

    def _on_timer(self, name: str, now: float) -> None:
        if name == FAILED_TIMER:
            self.outbox.add(fx.StopProcess(EXIT_FAILED, self.failure))
        elif name == STOP_TIMER:
            self.outbox.add(fx.StopProcess(EXIT_OK, "stopped on request"))
        else:
            self.outbox.add(fx.StartTimer(TICK_TIMER, TICK_INTERVAL_S))
            if not self.failure:
                self._tick(now)

    def _tick(self, now: float) -> None:
        if self.disk.oldest_write_age_s(now) >= SYNC_DEADLINE_S:
            self.primary.hand_over("its disk is too slow", now)
        self.formation.tick(now)
        self.join_requester.tick(now, has_primary=self._has_primary(now))
        self.view_changer.tick(now)
        self.primary.tick(now)
        self.changes.tick(now)
        self.store.compact_if_long(now)
        self._forget_unresponsive_primary(now)
        if self._is_candidate(now):
            self.view_changer.begin(NO_EXCLUSIONS, now)

    def _on_write_failed(self, event: ev.WriteFailed, now: float) -> None:
        self.disk.on_write_failed(event.reason)
        self._fail(f"a write failed: {event.reason}", now)
        if self._exits_on_failed_write:
            self.outbox.add(fx.StartTimer(FAILED_TIMER, FAILED_EXIT_DELAY_S))

    def _request_stop(self, now: float) -> None:
        self._stopping = True
        leave = wire.LeaveRequest(core_id=self.peers.own_id)
        for core_id in self.peers.others:
            address = self.peers.address(core_id)
            self.outbox.call(address, leave, MESSAGE_DEADLINE_S, lambda answer, now: None)
        self.primary.hand_over("it is being stopped", now)
        self.outbox.add(fx.StartTimer(STOP_TIMER, STOP_GRACE_S))

    # Leadership -----------------------------------------------------------

    def _has_primary(self, now: float) -> bool:
        led_by_other = self.announcer.primary_id not in ("", self.peers.own_id)
        return self.primary.is_active(now) or led_by_other

    def _is_candidate(self, now: float) -> bool:
        leads = self.primary.view is not None
        if leads or self.view_changer.proposal is not None or self._stopping:
            return False
        return self.candidacy.is_due(now)

    def _forget_unresponsive_primary(self, now: float) -> None:
        lease_over = now >= self.witness.last_heartbeat_at + LEASE_GUARD_S
        if self.primary.view is None and lease_over:
            self.announcer.announce_primary(self.announcer.primary_epoch, "", "")

    def _on_view_chosen(self, view: View, sent_at: float, now: float) -> None:
        if now >= sent_at + LEASE_S:
            self._on_proposal_failed("the answers came after the lease", now)
            return
        self._on_primary_seen(view.epoch, self.peers.own_id, now)
        self.primary.start(view, sent_at, now)
        self.changes.append_ready(now)

    def _on_proposal_failed(self, reason: str, now: float) -> None:
        self.outbox.log("info", "view change failed", reason=reason)
        self.candidacy.on_proposal_failed(now)

    def _on_primary_seen(self, epoch: int, primary_id: str, now: float) -> None:
        self.candidacy.on_primary_seen()
        deposed = self.primary.view is not None and epoch > self.primary.epoch
        if deposed and primary_id != self.peers.own_id:
            self.primary.step_down("another core leads", now)
        self.announcer.announce_primary(epoch, primary_id, self.peers.address(primary_id))

    def _on_committed(self, now: float) -> None:
        self.announcer.announce_committed()
        self.changes.on_committed(now)
        self.changes.append_ready(now)

    def _on_stepped_down(self, now: float, stand_back_s: float) -> None:
        self.changes.on_stepped_down(now)
        self.candidacy.on_stepped_down(now, stand_back_s)
        self.announcer.announce_primary(self.announcer.primary_epoch, "", "")

    # Failures -------------------------------------------------------------

    def _on_diverged(self, reason: str, now: float) -> None:
        self._fail(f"broken invariant: {reason}", now)
        self.outbox.add(fx.StopProcess(EXIT_FAILED, reason))

    def _fail(self, reason: str, now: float) -> None:
        self.failure = reason
        self.outbox.log("error", "stopped participating", reason=reason)
        self.primary.hand_over(reason, now)

    # State for other modules and metrics ----------------------------------

    def _last_position(self) -> Position:
        return self.store.last

    def _status(self, now: float) -> CoreStatus:
        sources = StatusSources(
            self.peers,
            self.witness,
            self.store,
            self.primary,
            self.view_changer,
            self.formation,
            self.announcer,
            self.failure,
        )
        return core_status(sources, now)

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the current metric samples of replication."""
        promised = self.witness.state.promised_epoch
        accepted = self.changes.accepted_count
        serves = float(self.primary.may_serve(now))
        age_s = self.disk.oldest_write_age_s(now)
        return (
            MetricSample("core_epoch", promised, "gauge", "promised epoch"),
            MetricSample("core_committed", self.store.committed, "gauge", "committed sequence"),
            MetricSample("core_changes_total", accepted, "counter", "changes taken here"),
            MetricSample("core_primary", serves, "gauge", "1 while it is primary"),
            MetricSample("core_write_wait_seconds", age_s, "gauge", "oldest write's wait"),
        )
