"""The primary's job in one view: lease, heartbeats, commits, and who is in sync."""

from collections.abc import Callable

import attrs

from rooklug.core.constants import (
    DRAIN_LAG_ENTRIES,
    DRAIN_S,
    HEARTBEAT_S,
    JOIN_VALID_S,
    LEASE_S,
    LEAVING_VALID_S,
    MESSAGE_DEADLINE_S,
    PRIMARY_PROMISE_GRACE_S,
    REJOIN_BACKOFF_LIMIT_S,
    REJOIN_BACKOFF_S,
    REPLACE_AFTER_S,
)
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.quorum import majority
from rooklug.core.records import disk_from_wire, disk_to_wire
from rooklug.core.replication import Member, Replicator
from rooklug.core.store import CopyStore
from rooklug.core.types import CoreMember, View
from rooklug.core.views import ViewChanger
from rooklug.core.witness import NEVER, Witness
from rooklug.core.witness_rules import MemberChange
from rooklug.model.internal_events import PrimaryLeaseExtended, PrimaryStarted, PrimaryStopped
from rooklug.wire.generated.core import ttypes as wire


@attrs.frozen
class JoinWish:
    """A core that is no member asks to become one."""

    member: CoreMember
    first_start: bool
    at: float


class Leader:
    """Active while ``view`` is set and the lease lasts.

    ``serving``: everything found at the start is committed, so that reads and leases may
    be answered. ``on_committed(now)`` follows each advance of the commit,
    ``on_stopped(now)`` the end.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        witness: Witness,
        store: CopyStore,
        changer: ViewChanger,
        on_committed: Callable[[float], None],
        on_stopped: Callable[[float], None],
        min_in_sync_replicas: int,
    ) -> None:
        self._min_in_sync_replicas = min_in_sync_replicas
        self._peers = peers
        self._outbox = outbox
        self._witness = witness
        self._store = store
        self._changer = changer
        self._on_committed = on_committed
        self._on_stopped = on_stopped
        self.replicator = Replicator(
            peers, outbox, store, self._progressed, self._refused, lambda: self.lease_until
        )
        self.view: View | None = None
        self.serving = False
        self.lease_until = 0.0
        self._found_last = 0
        self._heartbeat_at = 0.0
        self._own_supported_at = NEVER
        self._draining_since: float | None = None
        self._wish: JoinWish | None = None
        self._members_at = 0.0
        self.leaving: dict[str, float] = {}  # cores that said they are being stopped, and when
        self._rejoin_at: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}

    @property
    def epoch(self) -> int:
        """The epoch of the view it leads, 0 while it doesn't."""
        return self.view.epoch if self.view else 0

    def is_active(self, now: float) -> bool:
        """Tell whether it leads and its lease is valid at this very moment."""
        return self.view is not None and now < self.lease_until

    def may_serve(self, now: float) -> bool:
        """Tell whether it may answer reads and act as the primary."""
        return self.serving and self.is_active(now)

    def is_newest(self) -> bool:
        """Tell whether this core's own witness has promised nothing beyond this view.

        After a view change that failed half way, the next view may have been accepted by a
        majority without this core's knowledge: only another round can tell.
        """
        return self._witness.state.promised_epoch == self.epoch

    def may_commit(self) -> bool:
        """Tell whether acknowledgements of this view count: it has accepted no later one."""
        return (
            self._witness.state.accepted_epoch == self.epoch
            and len(self.view.in_sync) >= self.copies_needed()
        )

    def copies_needed(self) -> int:
        """Return how many disks must hold a change before it is acknowledged."""
        return min(self._min_in_sync_replicas, len(self._peers.members_of(self.view)))

    def may_append(self, now: float) -> bool:
        """Tell whether a new change may be appended at this moment."""
        return (
            self.may_serve(now)
            and self.is_newest()
            and len(self.view.in_sync) >= self.copies_needed()
            and self._changer.round is None
            and self._draining_since is None
        )

    def start(self, view: View, sent_at: float, now: float) -> None:
        """Lead ``view``, which a majority has accepted; the accepts were sent at ``sent_at``."""
        goes_on = self.serving
        self.view = view
        self.lease_until = max(self.lease_until, sent_at + LEASE_S)
        self._found_last = self._store.last.sequence
        self._draining_since = None
        self._heartbeat_at = now
        in_sync = sorted(disk.core_id for disk in view.in_sync)
        self._outbox.log("info", "leads a view", epoch=view.epoch, in_sync=in_sync)
        self.replicator.start(view, now)
        if goes_on:
            self._announce()
        self._progressed(now)
        self.tick(now)

    def stop(self, reason: str, now: float) -> None:
        """Act no more. The quiet time that this core granted itself ends."""
        if self.view is None:
            return
        epoch, served = self.epoch, self.serving
        self.view = None
        self.serving = False
        self.lease_until = 0.0
        self._draining_since = None
        self.replicator.stop()
        self._store.forget_unwritten()
        self._changer.abandon()
        self._witness.release(now)
        self._outbox.log("warning", "leads no more", epoch=epoch, reason=reason)
        if served:
            self._outbox.notify(PrimaryStopped(reason))
        self._on_stopped(now)

    def hand_over(self, reason: str, now: float) -> None:
        """Stop, and tell the others that they needn't wait for the lease to end."""
        if self.view is None:
            return
        own = self._witness.state.own
        request = wire.HandOverRequest(epoch=self.epoch, primary=disk_to_wire(own))
        self.stop(reason, now)
        for core_id in self._peers.others:
            address = self._peers.address(core_id)
            self._outbox.call(address, request, MESSAGE_DEADLINE_S, lambda answer, now: None)

    def tick(self, now: float) -> None:
        """Heartbeats, retries, and changes of the in-sync set."""
        if self.view is None:
            return
        if self._changer.round is not None:
            return
        if not self.is_newest():
            self._change_view(self.replicator.overdue(now), now)
            return
        if now >= self._heartbeat_at:
            self.send_heartbeats(now)
        self._progressed(now)
        if self.view is not None:
            self._adjust_in_sync(now)
        if self.view is not None and self._changer.round is None:
            self._adjust_members(now)

    def send_heartbeats(self, now: float) -> None:
        """Renew the lease, and tell everybody what is committed."""
        self._heartbeat_at = now + HEARTBEAT_S
        own = self._witness.state.own
        self._witness.hear(own, self.epoch, now)
        self._own_supported_at = now
        request = wire.HeartbeatRequest(
            epoch=self.epoch, primary=disk_to_wire(own), committed=self._store.committed
        )
        for core_id in sorted(self.replicator.members):
            self._send_heartbeat(core_id, request, now)
        self._renew_lease()

    def _send_heartbeat(self, core_id: str, request: wire.HeartbeatRequest, now: float) -> None:
        view, sent_at = self.view, now

        def answered(answer: wire.HeartbeatAnswer, now: float) -> None:
            if self.view is not view:
                return
            if answer.promised_epoch > view.epoch:
                self._refused(answer.promised_epoch, now)
                return
            member = self.replicator.members[core_id]
            self.replicator.heard(member, disk_from_wire(answer.member), now)
            if answer.ok and answer.voting:
                member.reachable = True
                if answer.supports:
                    member.supported_at = max(member.supported_at, sent_at)
                    self._renew_lease()
                self.replicator.pump(now)

        def failed(now: float) -> None:
            if self.view is view:
                self.replicator.members[core_id].reachable = False

        address = self._peers.address(core_id)
        self._outbox.call(address, request, MESSAGE_DEADLINE_S, answered, failed)

    def _renew_lease(self) -> None:
        """The lease runs from the newest send that a majority has answered."""
        supports = {m.core_id: m.supported_at for m in self.replicator.members.values()}
        supports[self._peers.own_id] = self._own_supported_at
        self._extend_lease(
            min(
                _majority_time(electorate, supports)
                for electorate in self._peers.electorates(self.view)
            )
            + LEASE_S
        )

    def _extend_lease(self, until: float) -> None:
        if until > self.lease_until:
            self.lease_until = until
            if self.serving:
                self._outbox.notify(PrimaryLeaseExtended(self.epoch, until))

    def _refused(self, epoch: int, now: float) -> None:
        """Somebody promised a higher epoch: establish a higher one, if that is possible."""
        self._changer.saw_epoch(epoch)
        if self._changer.round is None:
            self._change_view(frozenset(), now)

    def _progressed(self, now: float) -> None:
        if self.view is None:
            return
        committed = self.replicator.acknowledged_by_all()
        if self.may_commit() and committed > self._store.committed:
            self._store.commit_to(committed)
            self._on_committed(now)
            if self._store.last.sequence == committed and self._changer.round is None:
                self.send_heartbeats(now)
        self._start_serving()
        self.replicator.pump(now)

    def _start_serving(self) -> None:
        if self.serving or self._store.committed < self._found_last:
            return
        self.serving = True
        self._announce()

    def _announce(self) -> None:
        self._outbox.notify(PrimaryStarted(self.epoch))
        self._outbox.notify(PrimaryLeaseExtended(self.epoch, self.lease_until))

    def _adjust_in_sync(self, now: float) -> None:
        overdue = self.replicator.overdue(now)
        silent = self.replicator.silent(now) | overdue
        if len(self.view.in_sync) - len(silent) >= self.copies_needed():
            overdue = silent
        if overdue:
            self._postpone_rejoin(overdue, now)
            self._outbox.log("warning", "drops members that are late", members=sorted(overdue))
            self._change_view(overdue, now)
            return
        candidates = [m for m in self.replicator.learners() if self._may_join(m, now)]
        equal = [m for m in candidates if m.acknowledged == self._store.last.sequence]
        if equal:
            self._draining_since = None
            self._postpone_rejoin(_ids(equal), now)
            self._change_view(frozenset(), now)
        elif self._draining_since is None:
            self._draining_since = now if candidates else None
        elif now >= self._draining_since + DRAIN_S:
            self._draining_since = None
            self._postpone_rejoin(_ids(candidates), now)

    def wish_to_join(self, member: CoreMember, first_start: bool, now: float) -> None:
        """Note that a core that is no member wants to be one."""
        if member.core_id not in self._peers.members_of(self.view):
            self._wish = JoinWish(member, first_start, now)

    def _adjust_members(self, now: float) -> None:
        """Take in a core that asks, in the place of one that is silent; one change at a time."""
        if not self.view.members or not self.serving:
            return
        if self.view.previous:
            self._change_view(frozenset(), now)  # the old members' vote ends with this one
            return
        if now < self._members_at:
            return
        change = self._member_change(now)
        if change is not None:
            self._members_at = now + REJOIN_BACKOFF_S
            self._outbox.log(
                "warning",
                "changes the members",
                joiner=change.joiner.core_id if change.joiner else "",
                leaver=change.leaver,
            )
            excluded = frozenset({change.leaver} - {""})
            self._changer.begin(excluded, now, PRIMARY_PROMISE_GRACE_S, change)

    def _member_change(self, now: float) -> MemberChange | None:
        """Founders add up; a later core waits until it can take somebody's place."""
        wish, self._wish = self._wish, None
        if wish is None or now >= wish.at + JOIN_VALID_S:
            return None
        if wish.first_start:
            return MemberChange(wish.member)
        leaver = self._replaceable(now)
        return MemberChange(wish.member, leaver) if leaver else None

    def _replaceable(self, now: float) -> str:
        """Return the member that is gone for longest and whose copy isn't needed, or ""."""
        in_sync = {disk.core_id for disk in self.view.in_sync}
        gone = [
            member
            for member in self.replicator.members.values()
            if self._is_gone(member, now)
            and len(in_sync - {member.core_id}) >= self.copies_needed()
        ]
        return min(gone, key=lambda m: m.heard_at).core_id if gone else ""

    def _is_gone(self, member: Member, now: float) -> bool:
        if now >= member.heard_at + REPLACE_AFTER_S:
            return True
        return now < self.leaving.get(member.core_id, NEVER) + LEAVING_VALID_S

    def _change_view(self, excluded: frozenset[str], now: float) -> None:
        self._changer.begin(excluded, now, PRIMARY_PROMISE_GRACE_S, settled=self.view)

    def _may_join(self, member: Member, now: float) -> bool:
        lag = self._store.last.sequence - member.acknowledged
        rested = now >= self._rejoin_at.get(member.core_id, 0.0)
        return member.started and member.reachable and rested and lag <= DRAIN_LAG_ENTRIES

    def _postpone_rejoin(self, members: frozenset[str], now: float) -> None:
        for core_id in members:
            rested = now > self._rejoin_at.get(core_id, NEVER) + REJOIN_BACKOFF_LIMIT_S
            previous = REJOIN_BACKOFF_S / 2 if rested else self._backoff_s[core_id]
            pause = min(REJOIN_BACKOFF_LIMIT_S, 2 * previous)
            self._backoff_s[core_id] = pause
            self._rejoin_at[core_id] = now + pause


def _majority_time(electorate: frozenset[str], supports: dict[str, float]) -> float:
    """Return the newest time that a majority has supported or passed."""
    times = sorted((supports.get(core_id, NEVER) for core_id in electorate), reverse=True)
    return times[majority(len(electorate)) - 1]


def _ids(members: list[Member]) -> frozenset[str]:
    return frozenset(member.core_id for member in members)
