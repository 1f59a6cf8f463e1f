"""The backup's side of replication: handles the primary's requests."""

from collections.abc import Callable

import attrs

from rooklug.core import witness_rules
from rooklug.core.outbox import Outbox
from rooklug.core.records import (
    disk_from_wire,
    disk_to_wire,
    position_from_wire,
    runs_from_wire,
    view_from_wire,
)
from rooklug.core.store import ReplicaStore
from rooklug.core.types import Position
from rooklug.core.witness import Witness
from rooklug.wire.generated.core import ttypes as wire


@attrs.define(eq=False)
class IncomingSnapshot:
    """The chunks received so far of a snapshot that the primary of ``epoch`` is sending."""

    epoch: int
    position: Position | None = None
    chunks: list[bytes] = attrs.field(factory=list)


class Backup:
    """Follows one primary at a time.

    Attributes
    ----------
    latest_primary_epoch
        The highest epoch of a primary that has sent a request.
    verified_epoch
        The epoch whose primary has compared this log with its own. Only that primary's entries
        and commits are applied.

    ``on_primary_seen(epoch, primary_id, now)`` is called for each request of a primary that
    isn't outdated, ``on_diverged(reason, now)`` when an invariant of replication is broken.
    """

    def __init__(
        self,
        outbox: Outbox,
        witness: Witness,
        store: ReplicaStore,
        zone: str,
        on_primary_seen: Callable[[int, str, float], None],
        on_diverged: Callable[[str, float], None],
    ) -> None:
        self._outbox = outbox
        self._witness = witness
        self._store = store
        self._zone = zone
        self._on_primary_seen = on_primary_seen
        self._on_diverged = on_diverged
        self._incoming: IncomingSnapshot | None = None
        self.latest_primary_epoch = 0
        self.verified_epoch = 0

    @property
    def _promised_epoch(self) -> int:
        return self._witness.state.promised_epoch

    def on_heartbeat(self, call_id: int, request: wire.HeartbeatRequest, now: float) -> None:
        """Support the primary, which restarts the guard of its lease (``LEASE_GUARD_S``)."""
        ok = request.epoch >= max(self._promised_epoch, self.latest_primary_epoch)
        if ok:
            primary = disk_from_wire(request.primary)
            self._witness.record_heartbeat(primary, request.epoch, now)
            self._record_primary(request.epoch, primary.core_id, now)
            self._commit(request.epoch, request.committed)
        answer = wire.HeartbeatAnswer(
            ok=ok,
            promised_epoch=self._promised_epoch,
            member=disk_to_wire(self._witness.state.own),
            voting=self._witness.state.voting,
            # After a restart a witness guards only the lease of the accepted view's primary (see
            # ``Witness.load``), so support under any other view doesn't count.
            supports=self._witness.state.accepted_epoch >= request.epoch,
            core_zone=self._zone,
        )
        self._outbox.answer(call_id, answer)

    def on_start_view(self, call_id: int, request: wire.StartViewRequest, now: float) -> None:
        """Compare this log with the primary's and truncate the entries that the primary lacks."""
        view = view_from_wire(request.view)
        state = witness_rules.learn_view(self._witness.state, view)
        if state is None:
            self._outbox.answer(call_id, self._start_answer(ok=False, needs_snapshot=False))
            return
        self._record_primary(view.epoch, view.primary_id, now)
        needs_snapshot = not self._match_log(view.epoch, request, now)
        answer = self._start_answer(ok=not needs_snapshot, needs_snapshot=needs_snapshot)
        self._witness.save(state, now, lambda now: self._outbox.answer(call_id, answer))

    def on_append(self, call_id: int, request: wire.AppendRequest, now: float) -> None:
        """Append the entries that this log lacks; answer once they are synced to disk."""
        outdated = request.epoch < self._promised_epoch or request.epoch != self.verified_epoch
        if outdated or not self._has_previous(request.previous):
            self._outbox.answer(call_id, self._append_answer(ok=False))
            return
        last = self._store.last.sequence
        fresh = [entry for entry in request.entries if entry.sequence > last]
        if not all(self._store.log.append(entry) for entry in fresh):
            self._on_diverged("entries don't follow each other", now)
            return
        self._commit(request.epoch, request.committed)
        self._store.after_entries(
            fresh, now, lambda now: self._outbox.answer(call_id, self._append_answer(ok=True))
        )

    def on_snapshot_chunk(
        self, call_id: int, request: wire.SnapshotPartRequest, now: float
    ) -> None:
        """Collect a snapshot's chunks; install the snapshot when the last one has arrived."""
        incoming = self._incoming
        if incoming is None or not self._receive_chunk(incoming, request):
            self._outbox.answer(call_id, self._chunk_answer(ok=False))
            return
        if len(incoming.chunks) < request.parts:
            self._outbox.answer(call_id, self._chunk_answer(ok=True))
            return
        self._incoming = None
        problem = self._store.install_snapshot(
            position_from_wire(request.position), incoming.chunks, now
        )
        if problem:
            self._outbox.log("error", "snapshot unreadable", problem=problem)
            self._outbox.answer(call_id, self._chunk_answer(ok=False))
            return
        self.verified_epoch = request.epoch
        self._store.after_entries(
            [], now, lambda now: self._outbox.answer(call_id, self._chunk_answer(ok=True))
        )

    def _receive_chunk(self, incoming: IncomingSnapshot, request: wire.SnapshotPartRequest) -> bool:
        """Return whether the request has the next chunk of the snapshot, and if so append it."""
        wanted = request.epoch == incoming.epoch >= self._promised_epoch
        return wanted and _append_chunk(incoming, request)

    def _record_primary(self, epoch: int, primary_id: str, now: float) -> None:
        self.latest_primary_epoch = max(self.latest_primary_epoch, epoch)
        self._on_primary_seen(epoch, primary_id, now)

    def _commit(self, epoch: int, committed: int) -> None:
        if epoch == self.verified_epoch:
            self._store.commit_to(committed)

    def _match_log(self, epoch: int, request: wire.StartViewRequest, now: float) -> bool:
        """Make this log a prefix of the primary's; return False if it needs a snapshot.

        Entries of the view's own epoch come from its primary, so they are never truncated, not
        even by a delayed request.
        """
        if self.verified_epoch == epoch or self._store.last.epoch == epoch:
            self.verified_epoch = epoch
            return True
        matched = self._store.log.matched_sequence(
            position_from_wire(request.base),
            runs_from_wire(request.runs),
            position_from_wire(request.last),
        )
        if matched is None:
            self._incoming = IncomingSnapshot(epoch)
            return False
        if matched < self._store.committed:
            self._on_diverged(f"committed entries after {matched} aren't the primary's", now)
            return False
        self._store.truncate_after(matched, now)
        self.verified_epoch = epoch
        return True

    def _has_previous(self, previous: wire.LogPosition) -> bool:
        if previous.sequence <= self._store.log.base.sequence:
            return True
        return self._store.log.position_at(previous.sequence) == position_from_wire(previous)

    def _start_answer(self, *, ok: bool, needs_snapshot: bool) -> wire.StartViewAnswer:
        return wire.StartViewAnswer(
            ok=ok,
            promised_epoch=self._promised_epoch,
            member=disk_to_wire(self._witness.state.own),
            needs_snapshot=needs_snapshot,
            matched=self._store.last.sequence,
        )

    def _append_answer(self, *, ok: bool) -> wire.AppendAnswer:
        return wire.AppendAnswer(
            ok=ok, promised_epoch=self._promised_epoch, synced=self._store.synced
        )

    def _chunk_answer(self, *, ok: bool) -> wire.SnapshotPartAnswer:
        return wire.SnapshotPartAnswer(ok=ok, promised_epoch=self._promised_epoch)


def _append_chunk(incoming: IncomingSnapshot, request: wire.SnapshotPartRequest) -> bool:
    position = position_from_wire(request.position)
    if request.index == 0:
        incoming.position = position
        incoming.chunks = []
    if position != incoming.position or request.index != len(incoming.chunks):
        return False
    incoming.chunks.append(request.record)
    return True
