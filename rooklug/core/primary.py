"""The primary's work: commits what every in-sync disk has, and starts view changes.

Separate modules handle the lease (``leadership_lease``), the in-sync set (``in_sync_set``), the
voting members (``member_changes``) and replication of the log (``replicator``).
"""

from collections.abc import Callable

from rooklug.core.constants import (
    ELECTION_RETRY_S,
    MESSAGE_DEADLINE_S,
    PRIMARY_PROMISE_GRACE_S,
    STAND_BACK_S,
)
from rooklug.core.in_sync_set import NO_EXCLUSIONS, InSyncSet
from rooklug.core.leadership_lease import LeadershipLease
from rooklug.core.member_changes import MemberChanges
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import disk_to_wire
from rooklug.core.replicator import Replicator
from rooklug.core.store import ReplicaStore
from rooklug.core.types import CoreMember, NotLeadingError, View
from rooklug.core.view_change import ViewChanger
from rooklug.core.witness import Witness
from rooklug.core.witness_rules import MemberChange
from rooklug.model.internal_events import PrimaryLeaseExtended, PrimaryStarted, PrimaryStopped
from rooklug.wire.generated.core import ttypes as wire


class Primary:
    """Leads while ``view`` is set, but may act only while its lease is valid too.

    ``serving`` is set once all entries that the log had at the start of the term are committed,
    so that reads and leases may be answered. ``on_committed(now)`` is called after each advance
    of the commit position, ``on_stopped(now, stand_back_s)`` at the end of the term.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        store: ReplicaStore,
        view_changer: ViewChanger,
        on_committed: Callable[[float], None],
        on_stopped: Callable[[float, float], None],
        zone: str,
        min_in_sync_replicas: int,
    ) -> None:
        self._min_in_sync_replicas = min_in_sync_replicas
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._store = store
        self._view_changer = view_changer
        self._on_committed = on_committed
        self._on_stopped = on_stopped
        self.replicator = Replicator(
            peers,
            outbox,
            store,
            self._advance_commit,
            self._on_refused,
            lambda: self.lease.expires_at,
        )
        self.lease = LeadershipLease(
            peers,
            outbox,
            witness,
            store,
            self.replicator,
            self._on_lease_extended,
            self._on_refused,
        )
        self._in_sync_set = InSyncSet(outbox, store, self.replicator)
        self._member_changes = MemberChanges(self.replicator, zone)
        self.view: View | None = None
        self.serving = False
        self._last_sequence_at_start = 0

    # State for other modules ----------------------------------------------

    @property
    def epoch(self) -> int:
        """The epoch of the view that this core leads, 0 while it leads none."""
        return self.view.epoch if self.view else 0

    def is_active(self, now: float) -> bool:
        """Return whether this core leads a view and its lease is valid at ``now``."""
        return self.view is not None and self.lease.is_valid(now)

    def may_serve(self, now: float) -> bool:
        """Return whether this core may answer reads and act as the primary at ``now``."""
        return self.serving and self.is_active(now)

    def may_append(self, now: float) -> bool:
        """Return whether a new change may be appended at ``now``."""
        return (
            self.may_serve(now)
            and self._is_newest()
            and len(self._led_view.in_sync) >= self._required_acks()
            and self._view_changer.proposal is None
            and not self._in_sync_set.is_waiting_for_learner
        )

    # The term -------------------------------------------------------------

    def start(self, view: View, accepts_sent_at: float, now: float) -> None:
        """Start to lead ``view``, which a majority has accepted; this core may lead already."""
        leads_already = self.serving
        self.view = view
        self._last_sequence_at_start = self._store.last.sequence
        self._in_sync_set.reset()
        self.lease.start(accepts_sent_at, now)
        in_sync = sorted(disk.core_id for disk in view.in_sync)
        self._outbox.log("info", "became primary of a view", epoch=view.epoch, in_sync=in_sync)
        self.replicator.start(view, now)
        if leads_already:
            self._announce_start()
        self._advance_commit(now)
        self.tick(now)

    def step_down(self, reason: str, now: float, stand_back_s: float = ELECTION_RETRY_S) -> None:
        """Stop leading, and allow this core's witness to support another primary at once.

        For ``stand_back_s`` this core leaves the election to the others.
        """
        if self.view is None:
            return
        epoch, served = self.epoch, self.serving
        self.view = None
        self.serving = False
        self.lease.stop()
        self._in_sync_set.reset()
        self.replicator.stop()
        self._store.discard_unwritten()
        self._view_changer.abandon()
        self._witness.release(now)
        self._outbox.log("warning", "lost leadership", epoch=epoch, reason=reason)
        if served:
            self._outbox.emit(PrimaryStopped(reason))
        self._on_stopped(now, stand_back_s)

    def hand_over(self, reason: str, now: float, stand_back_s: float = ELECTION_RETRY_S) -> None:
        """Step down, and allow the others to elect a successor before the lease has expired."""
        if self.view is None:
            return
        own = self._witness.state.own
        request = wire.HandOverRequest(epoch=self.epoch, primary=disk_to_wire(own))
        self.step_down(reason, now, stand_back_s)
        for core_id in self._peers.others:
            address = self._peers.address(core_id)
            self._outbox.call(address, request, MESSAGE_DEADLINE_S, lambda answer, now: None)

    def tick(self, now: float) -> None:
        """Send heartbeats, replicate, and start a view change that is due."""
        if self.view is None or self._view_changer.proposal is not None:
            return
        if not self._is_newest():
            self._change_view(self.replicator.overdue(now), now)
            return
        self.lease.send_heartbeats_if_due(now)
        self._advance_commit(now)
        if self.view is not None:
            self._adjust_in_sync_set(now)
        if self.view is not None and self._view_changer.proposal is None:
            self._adjust_members(now)

    def request_join(self, member: CoreMember, now: float, *, first_start: bool, zone: str) -> None:
        """Record the request of a core to become a voting member, unless it is one."""
        if member.core_id not in self._peers.members_of(self.view):
            self._member_changes.request_join(member, now, first_start=first_start, zone=zone)

    def record_draining(self, core_id: str, now: float) -> None:
        """Record that a core is being stopped on purpose, so that it can be replaced at once."""
        self._member_changes.record_draining(core_id, now)

    @property
    def _led_view(self) -> View:
        if self.view is None:
            raise NotLeadingError("this core leads no view")
        return self.view

    # Commits --------------------------------------------------------------

    def _required_acks(self) -> int:
        """Return how many disks must have a change before it is acknowledged."""
        return min(self._min_in_sync_replicas, len(self._peers.members_of(self.view)))

    def _is_newest(self) -> bool:
        """Return whether this core's own witness has promised no epoch after this view's.

        If a view change failed after some witnesses had accepted, a majority may have accepted
        the new view without this core's knowledge. Only another proposal can find out.
        """
        return self._witness.state.promised_epoch == self.epoch

    def _may_commit(self) -> bool:
        """Return whether acknowledgements count: this core has accepted no later view."""
        return (
            self._witness.state.accepted_epoch == self.epoch
            and len(self._led_view.in_sync) >= self._required_acks()
        )

    def _advance_commit(self, now: float) -> None:
        """Commit the entries that all in-sync disks have, then replicate to the followers."""
        if self.view is None:
            return
        acknowledged = self.replicator.acknowledged_by_all()
        if self._may_commit() and acknowledged > self._store.committed:
            self._store.commit_to(acknowledged)
            self._on_committed(now)
            if self._store.last.sequence == acknowledged and self._view_changer.proposal is None:
                # Tells the followers the commit position now instead of with the next change.
                self.lease.send_heartbeats(now)
        self._start_serving()
        self.replicator.replicate(now)

    def _start_serving(self) -> None:
        if self.serving or self._store.committed < self._last_sequence_at_start:
            return
        self.serving = True
        self._announce_start()

    def _announce_start(self) -> None:
        self._outbox.emit(PrimaryStarted(self.epoch))
        self._outbox.emit(PrimaryLeaseExtended(self.epoch, self.lease.expires_at))

    def _on_lease_extended(self) -> None:
        if self.serving:
            self._outbox.emit(PrimaryLeaseExtended(self.epoch, self.lease.expires_at))

    # View changes ---------------------------------------------------------

    def _on_refused(self, epoch: int, now: float) -> None:
        """Propose a view with a higher epoch: another core has promised ``epoch``."""
        self._view_changer.record_epoch(epoch)
        if self._view_changer.proposal is None:
            self._change_view(NO_EXCLUSIONS, now)

    def _adjust_in_sync_set(self, now: float) -> None:
        excluded = self._in_sync_set.excluded_from_next_view(
            self._led_view, self._required_acks(), now
        )
        if excluded is not None:
            self._change_view(excluded, now)

    def _adjust_members(self, now: float) -> None:
        """Start or complete a change of the voting members, if one is due."""
        if not self._led_view.members or not self.serving:
            return
        if self._led_view.previous:
            # The joint view is chosen; the next view ends the votes of the previous members.
            self._change_view(NO_EXCLUSIONS, now)
            return
        required_acks = self._required_acks()
        if self._member_changes.is_succeeded(self._led_view, required_acks, now):
            # Elected again before another core, it would have to hand over again.
            self.hand_over("a new core of its zone takes its place", now, STAND_BACK_S)
            return
        change = self._member_changes.next_change(self._led_view, required_acks, now)
        if change is not None:
            self._change_members(change, now)

    def _change_members(self, change: MemberChange, now: float) -> None:
        self._outbox.log(
            "warning",
            "changing the voting members",
            joiner=change.joiner.core_id if change.joiner else "",
            leaver=change.leaver,
        )
        excluded = frozenset({change.leaver} - {""})
        self._view_changer.begin(excluded, now, PRIMARY_PROMISE_GRACE_S, change)

    def _change_view(self, excluded: frozenset[str], now: float) -> None:
        self._view_changer.begin(excluded, now, PRIMARY_PROMISE_GRACE_S, chosen_view=self.view)
