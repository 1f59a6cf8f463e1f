"""The primary's side of replication: brings every member's log up to its own.

Members in sync and learners are fed alike; only those in sync count for a commit. One
message a member is under way at a time, and takes all that waits (group commit).
"""

from collections.abc import Callable, Iterable

import attrs

from rooklug.core.constants import (
    ASSUMED_BYTES_PER_S,
    COPY_DEADLINE_S,
    MAX_BATCH_BYTES,
    MESSAGE_DEADLINE_S,
    QUIET_S,
    SYNC_DEADLINE_S,
)
from rooklug.core.outbox import Outbox
from rooklug.core.peers import Peers
from rooklug.core.records import (
    disk_from_wire,
    position_to_wire,
    runs_to_wire,
    view_to_wire,
)
from rooklug.core.store import CopyStore
from rooklug.core.types import MemberDisk, Position, View
from rooklug.wire.generated.core import ttypes as wire

NEVER = float("-inf")


@attrs.define(eq=False)
class SnapshotTransfer:
    """A snapshot on its way to a learner, part by part."""

    position: Position
    parts: list[bytes]
    next_index: int = 0


@attrs.define(eq=False)
class Member:
    """What the primary knows of another core.

    It owes an answer since ``owing_since``, and may take ``allowed_s`` for it. Its witness
    supports the primary by the heartbeat that was sent at ``supported_at``.
    """

    core_id: str
    in_sync: bool
    reachable: bool = False
    started: bool = False
    acknowledged: int = 0
    sending: bool = False
    owing_since: float | None = None
    allowed_s: float = SYNC_DEADLINE_S
    heard_at: float = 0.0
    supported_at: float = NEVER
    transfer: SnapshotTransfer | None = None


class Replicator:
    """Feeds the other members during one view.

    ``on_progress(now)`` follows each acknowledgement, ``on_refused(epoch, now)`` the news
    that a member has promised a higher epoch.
    """

    def __init__(
        self,
        peers: Peers,
        outbox: Outbox,
        store: CopyStore,
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
        self.members: dict[str, Member] = {}

    def start(self, view: View, now: float) -> None:
        """Begin a view: every member has to be started anew."""
        in_sync = {disk.core_id for disk in view.in_sync}
        before = self.members
        reachable = {member.core_id for member in before.values() if member.reachable}
        self.view = view
        self._writing = False
        self.members = {
            core_id: Member(
                core_id, core_id in in_sync, core_id in reachable | in_sync, heard_at=now
            )
            for core_id in self._peers.others
        }
        for core_id, member in self.members.items():
            # A view change is no sign of life of those that didn't take part in it.
            if core_id in before and core_id not in in_sync:
                member.heard_at = before[core_id].heard_at

    def stop(self) -> None:
        """End the view on this side; late answers are ignored."""
        self.view = None
        self.members = {}

    def pump(self, now: float) -> None:
        """Send to the disk and to each member whatever waits for it."""
        if self.view is None:
            return
        self._write_own(now)
        for member in list(self.members.values()):
            if self.view is not None:
                self._feed(member, now)

    def acknowledged_by_all(self) -> int:
        """Return the last sequence synced on this disk and on all others in sync."""
        others = [m.acknowledged if m.started else 0 for m in self.in_sync_members()]
        return min([self._store.synced, *others])

    def in_sync_members(self) -> list[Member]:
        """The other members in sync."""
        return [member for member in self.members.values() if member.in_sync]

    def learners(self) -> list[Member]:
        """The other members that aren't in sync."""
        return [member for member in self.members.values() if not member.in_sync]

    def overdue(self, now: float) -> frozenset[str]:
        """Members in sync that have owed an answer for too long."""
        return frozenset(
            member.core_id
            for member in self.in_sync_members()
            if member.owing_since is not None and now >= member.owing_since + member.allowed_s
        )

    def silent(self, now: float) -> frozenset[str]:
        """Members in sync that haven't been heard for a quiet time."""
        return frozenset(
            member.core_id for member in self.in_sync_members() if now >= member.heard_at + QUIET_S
        )

    def heard(self, member: Member, disk: MemberDisk, now: float) -> None:
        """Note a sign of life; a member in sync with another disk has lost the old one."""
        member.heard_at = now
        if member.in_sync and not self.view.has(disk):
            member.owing_since = now
            member.allowed_s = 0.0

    def _write_own(self, now: float) -> None:
        waiting = self._store.log.after(self._store.written)
        if self._writing or not waiting:
            return
        self._writing = True
        view = self.view

        def synced(now: float) -> None:
            if self.view is view:
                self._writing = False
                self._on_progress(now)

        self._store.write_entries(waiting, now, synced)

    def _feed(self, member: Member, now: float) -> None:
        if member.sending or not (member.in_sync or member.reachable):
            return
        if member.transfer is not None:
            self._send_part(member, now)
        elif not member.started:
            self._send_start(member, now)
        elif member.acknowledged < self._store.last.sequence:
            self._send_entries(member, now)

    def _send_start(self, member: Member, now: float) -> None:
        log = self._store.log
        request = wire.StartViewRequest(
            view=view_to_wire(self.view),
            base=position_to_wire(log.base),
            runs=runs_to_wire(log.runs()),
            last=position_to_wire(log.last),
        )
        self._send(member, request, MESSAGE_DEADLINE_S, self._on_started, now)

    def _on_started(self, member: Member, answer: wire.StartViewAnswer, now: float) -> bool:
        if answer.needs_snapshot and not member.in_sync:
            records = self._store.snapshot_records()
            member.transfer = SnapshotTransfer(self._store.state.position, records[1:])
            return True
        self.heard(member, disk_from_wire(answer.member), now)
        if not answer.ok:
            return False
        member.started = True
        member.acknowledged = answer.matched
        self._progressed(member, now)
        return True

    def _send_entries(self, member: Member, now: float) -> None:
        log = self._store.log
        previous = log.position_at(member.acknowledged)
        if previous is None:
            member.started = False
            self._send_start(member, now)
            return
        entries = _batch(log.after(member.acknowledged))
        request = wire.AppendRequest(
            epoch=self.view.epoch,
            previous=position_to_wire(previous),
            entries=entries,
            committed=self._store.committed,
        )
        transfer_s = sum(map(_document_bytes, entries)) / ASSUMED_BYTES_PER_S
        member.allowed_s = SYNC_DEADLINE_S + transfer_s
        deadline_s = transfer_s + (MESSAGE_DEADLINE_S if member.in_sync else COPY_DEADLINE_S)
        self._send(member, request, deadline_s, self._on_appended, now)

    def _on_appended(self, member: Member, answer: wire.AppendAnswer, now: float) -> bool:
        if not answer.ok:
            member.started = False
            return False
        member.acknowledged = max(member.acknowledged, answer.synced)
        self._progressed(member, now)
        return True

    def _send_part(self, member: Member, now: float) -> None:
        transfer = member.transfer
        request = wire.SnapshotPartRequest(
            epoch=self.view.epoch,
            position=position_to_wire(transfer.position),
            index=transfer.next_index,
            parts=len(transfer.parts),
            record=transfer.parts[transfer.next_index],
        )
        self._send(member, request, COPY_DEADLINE_S, self._on_part, now)

    def _on_part(self, member: Member, answer: wire.SnapshotPartAnswer, now: float) -> bool:
        transfer = member.transfer
        if not answer.ok:
            member.transfer = None
            return False
        transfer.next_index += 1
        if transfer.next_index == len(transfer.parts):
            member.transfer = None
        return True

    def _progressed(self, member: Member, now: float) -> None:
        member.heard_at = now
        member.owing_since = None
        self._on_progress(now)

    def _send(
        self,
        member: Member,
        request: object,
        deadline_s: float,
        on_answer: Callable[[Member, object, float], bool],
        now: float,
    ) -> None:
        """Send; ``on_answer`` tells whether to go on at once, else the next tick does."""
        view = self.view
        member.sending = True
        if member.owing_since is None:
            member.owing_since = now

        def answered(answer: object, now: float) -> None:
            if self.view is not view:
                return
            member.sending = False
            if answer.promised_epoch > view.epoch:
                self._on_refused(answer.promised_epoch, now)
                return
            if on_answer(member, answer, now):
                self.pump(now)

        def failed(now: float) -> None:
            if self.view is view:
                member.sending = False
                member.started = False
                member.transfer = None

        address = self._peers.address(member.core_id)
        not_after = self._lease_until()
        self._outbox.call(address, request, deadline_s, answered, failed, not_after)


def _batch(entries: Iterable[wire.LogEntry]) -> list[wire.LogEntry]:
    """Return the first entries that fit one message, at least one."""
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
