"""The primary's side of replication: makes every follower's log equal to its own.

In-sync followers and learners receive the same messages, but only in-sync followers count for a
commit. At most one message per follower is in flight; the next one carries all entries queued
meanwhile (group commit).
"""

from collections.abc import Callable, Iterable
from typing import Any

from rooklug.core.constants import (
    ASSUMED_BYTES_PER_S,
    LEASE_GUARD_S,
    MAX_BATCH_BYTES,
    MESSAGE_DEADLINE_S,
    REPLICATION_DEADLINE_S,
    SYNC_DEADLINE_S,
)
from rooklug.core.follower import Follower, SnapshotTransfer
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import (
    disk_from_wire,
    position_to_wire,
    runs_to_wire,
    view_to_wire,
)
from rooklug.core.store import ReplicaStore
from rooklug.core.types import MemberDisk, NotLeadingError, View
from rooklug.wire.generated.core import ttypes as wire


class Replicator:
    """Sends the log to the other members during one view.

    ``on_progress(now)`` is called after each acknowledgement, ``on_refused(epoch, now)`` when a
    follower answers that it has promised the higher ``epoch``. Nothing is sent after
    ``lease_until()``.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        store: ReplicaStore,
        on_progress: Callable[[float], None],
        on_refused: Callable[[int, float], None],
        lease_until: Callable[[], float],
    ) -> None:
        self._peers = peers
        self._outbox = outbox
        self._store = store
        self._on_progress = on_progress
        self._on_refused = on_refused
        self._lease_until = lease_until
        self._writing = False
        self.view: View | None = None
        self.followers: dict[str, Follower] = {}

    def start(self, view: View, now: float) -> None:
        """Begin a view; every follower has to compare its log again."""
        in_sync = {disk.core_id for disk in view.in_sync}
        before = self.followers
        reachable = {follower.core_id for follower in before.values() if follower.reachable}
        self.view = view
        self._writing = False
        self.followers = {
            core_id: Follower(
                core_id, core_id in in_sync, core_id in reachable | in_sync, last_contact_at=now
            )
            for core_id in self._peers.others
        }
        for core_id, follower in self.followers.items():
            # Followers that didn't take part in the view change have had no contact by it.
            if core_id in before and core_id not in in_sync:
                follower.last_contact_at = before[core_id].last_contact_at

    def stop(self) -> None:
        """End the view; answers that arrive later are ignored."""
        self.view = None
        self.followers = {}

    @property
    def led_view(self) -> View:
        """The view that this core leads.

        Raises
        ------
        NotLeadingError
            This core leads no view.
        """
        if self.view is None:
            raise NotLeadingError("this core leads no view")
        return self.view

    def pump(self, now: float) -> None:
        """Send the entries that are missing there to the own disk and to each follower."""
        if self.view is None:
            return
        self._write_own(now)
        for follower in list(self.followers.values()):
            if self.view is not None:
                self._send_next(follower, now)

    def acknowledged_by_all(self) -> int:
        """Return the last sequence that is synced on this disk and on all other in-sync disks."""
        others = [f.acknowledged if f.started else 0 for f in self.in_sync_followers()]
        return min([self._store.synced, *others])

    def in_sync_followers(self) -> list[Follower]:
        """Return the in-sync followers."""
        return [follower for follower in self.followers.values() if follower.in_sync]

    def learners(self) -> list[Follower]:
        """Return the followers that aren't in sync."""
        return [follower for follower in self.followers.values() if not follower.in_sync]

    def overdue(self, now: float) -> frozenset[str]:
        """Return the in-sync followers whose answer is later than ``allowed_s``."""
        return frozenset(
            follower.core_id
            for follower in self.in_sync_followers()
            if follower.owing_since is not None and now >= follower.owing_since + follower.allowed_s
        )

    def unresponsive(self, now: float) -> frozenset[str]:
        """Return the in-sync followers without contact for ``LEASE_GUARD_S``."""
        return frozenset(
            follower.core_id
            for follower in self.in_sync_followers()
            if now >= follower.last_contact_at + LEASE_GUARD_S
        )

    def record_contact(self, follower: Follower, disk: MemberDisk, now: float) -> None:
        """Record contact; an in-sync follower with a new disk has lost the old one: overdue."""
        follower.last_contact_at = now
        if follower.in_sync and not self.led_view.has(disk):
            follower.owing_since = now
            follower.allowed_s = 0.0

    def _write_own(self, now: float) -> None:
        queued = self._store.log.after(self._store.written)
        if self._writing or not queued:
            return
        self._writing = True
        view = self.view

        def synced(now: float) -> None:
            if self.view is view:
                self._writing = False
                self._on_progress(now)

        self._store.write_entries(queued, now, synced)

    def _send_next(self, follower: Follower, now: float) -> None:
        if follower.sending or not (follower.in_sync or follower.reachable):
            return
        if follower.transfer is not None:
            self._send_chunk(follower, follower.transfer, now)
        elif not follower.started:
            self._send_start(follower, now)
        elif follower.acknowledged < self._store.last.sequence:
            self._send_entries(follower, now)

    def _send_start(self, follower: Follower, now: float) -> None:
        log = self._store.log
        request = wire.StartViewRequest(
            view=view_to_wire(self.led_view),
            base=position_to_wire(log.base),
            runs=runs_to_wire(log.runs()),
            last=position_to_wire(log.last),
        )
        self._send(follower, request, MESSAGE_DEADLINE_S, self._on_started, now)

    def _on_started(self, follower: Follower, answer: wire.StartViewAnswer, now: float) -> bool:
        if answer.needs_snapshot and not follower.in_sync:
            records = self._store.snapshot_records()
            follower.transfer = SnapshotTransfer(self._store.state.position, records[1:])
            return True
        self.record_contact(follower, disk_from_wire(answer.member), now)
        if not answer.ok:
            return False
        follower.started = True
        follower.acknowledged = answer.matched
        self._progressed(follower, now)
        return True

    def _send_entries(self, follower: Follower, now: float) -> None:
        log = self._store.log
        previous = log.position_at(follower.acknowledged)
        if previous is None:
            follower.started = False
            self._send_start(follower, now)
            return
        entries = _batch(log.after(follower.acknowledged))
        request = wire.AppendRequest(
            epoch=self.led_view.epoch,
            previous=position_to_wire(previous),
            entries=entries,
            committed=self._store.committed,
        )
        transfer_s = sum(map(_document_bytes, entries)) / ASSUMED_BYTES_PER_S
        follower.allowed_s = SYNC_DEADLINE_S + transfer_s
        deadline_s = transfer_s + (
            MESSAGE_DEADLINE_S if follower.in_sync else REPLICATION_DEADLINE_S
        )
        self._send(follower, request, deadline_s, self._on_appended, now)

    def _on_appended(self, follower: Follower, answer: wire.AppendAnswer, now: float) -> bool:
        if not answer.ok:
            follower.started = False
            return False
        follower.acknowledged = max(follower.acknowledged, answer.synced)
        self._progressed(follower, now)
        return True

    def _send_chunk(self, follower: Follower, transfer: SnapshotTransfer, now: float) -> None:
        request = wire.SnapshotPartRequest(
            epoch=self.led_view.epoch,
            position=position_to_wire(transfer.position),
            index=transfer.next_index,
            parts=len(transfer.chunks),
            record=transfer.chunks[transfer.next_index],
        )

        def on_answer(follower: Follower, answer: wire.SnapshotPartAnswer, now: float) -> bool:
            return _take_chunk_answer(follower, transfer, answer)

        self._send(follower, request, REPLICATION_DEADLINE_S, on_answer, now)

    def _progressed(self, follower: Follower, now: float) -> None:
        follower.last_contact_at = now
        follower.owing_since = None
        self._on_progress(now)

    def _send(
        self,
        follower: Follower,
        request: object,
        deadline_s: float,
        on_answer: Callable[[Follower, Any, float], bool],
        now: float,
    ) -> None:
        """Send a request to a follower, unless the lease has expired when it leaves.

        ``on_answer`` returns whether to send the next message at once; else the next tick does.
        """
        view = self.led_view
        follower.sending = True
        if follower.owing_since is None:
            follower.owing_since = now

        def answered(answer: Any, now: float) -> None:
            if self.view is not view:
                return
            follower.sending = False
            if answer.promised_epoch > view.epoch:
                self._on_refused(answer.promised_epoch, now)
                return
            if on_answer(follower, answer, now):
                self.pump(now)

        def failed(now: float) -> None:
            if self.view is view:
                follower.sending = False
                follower.started = False
                follower.transfer = None

        address = self._peers.address(follower.core_id)
        not_after = self._lease_until()
        self._outbox.call(address, request, deadline_s, answered, failed, not_after)


def _take_chunk_answer(
    follower: Follower, transfer: SnapshotTransfer, answer: wire.SnapshotPartAnswer
) -> bool:
    """Advance to the next chunk; return False, and end the transfer, if the answer isn't ok."""
    if not answer.ok:
        follower.transfer = None
        return False
    transfer.next_index += 1
    if transfer.next_index == len(transfer.chunks):
        follower.transfer = None
    return True


def _batch(entries: Iterable[wire.LogEntry]) -> list[wire.LogEntry]:
    """Return the first entries that fit into ``MAX_BATCH_BYTES``, at least one."""
    batch: list[wire.LogEntry] = []
    size = 0
    for entry in entries:
        size += _document_bytes(entry)
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(entry)
    return batch


def _document_bytes(entry: wire.LogEntry) -> int:
    return len(entry.configuration.document) if entry.configuration else 0
