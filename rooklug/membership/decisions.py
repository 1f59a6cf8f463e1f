"""The newest decisions of the role owners, as a stream that readers resume by cursor.

Decisions are kept in order of arrival. A new primary has none: after a failover the role owners
send their recent decisions again, and a reader resumes once its cursor is among them.
"""

from collections import deque
from collections.abc import Callable, Iterable

import attrs

from rooklug.wire.generated.control.ttypes import DecisionRecord, ReadDecisionsRequest

MAX_DECISIONS = 4096
"""Decisions in the ring; the oldest are dropped beyond this."""

MAX_PAGE_DECISIONS = 256

MAX_PENDING_READS = 256
"""Reads beyond this number are answered immediately."""

MAX_READ_WAIT_S = 10.0
"""Upper limit of the wait that a read may request."""


@attrs.frozen(order=True)
class Cursor:
    """Identifies a decision: the owner's fencing token, and the sequence under that token."""

    epoch: int
    counter: int
    sequence: int


START = Cursor(0, 0, 0)
"""The cursor of a reader that has read nothing yet; no decision has it."""


def cursor_of(record: DecisionRecord) -> Cursor:
    """Return the cursor to read on from after ``record``."""
    return Cursor(record.token.epoch, record.token.counter, record.sequence)


@attrs.frozen
class DecisionPage:
    """Decisions after a cursor. ``gap``: some before the first of them may be missing."""

    decisions: list[DecisionRecord]
    gap: bool


@attrs.frozen
class _Entry:
    cursor: Cursor
    record: DecisionRecord
    reannounced: bool


@attrs.define
class DecisionRing:
    """The newest ``limit`` decisions in order of arrival, each of them once.

    ``_positions`` counts from the first decision of the term, including dropped ones.
    """

    limit: int = MAX_DECISIONS
    _entries: deque[_Entry] = attrs.field(factory=deque)
    _positions: dict[Cursor, int] = attrs.field(factory=dict)
    _dropped: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def append(self, records: Iterable[DecisionRecord], *, reannounced: bool) -> bool:
        """Add the decisions that are not in the ring yet; return whether there were any.

        ``reannounced``: they may have been made before this term, so that their order
        relative to the decisions of other owners is unknown.
        """
        before = self._dropped + len(self._entries)
        for record in records:
            cursor = cursor_of(record)
            if cursor in self._positions:
                continue
            self._positions[cursor] = self._dropped + len(self._entries)
            self._entries.append(_Entry(cursor, record, reannounced))
            if len(self._entries) > self.limit:
                del self._positions[self._entries.popleft().cursor]
                self._dropped += 1
        return self._dropped + len(self._entries) > before

    def can_resume_from(self, cursor: Cursor) -> bool:
        """Return whether no decision after ``cursor`` has been dropped."""
        return cursor in self._positions or (cursor == START and self._dropped == 0)

    def after(self, cursor: Cursor) -> DecisionPage:
        """Return the page after ``cursor``, or the oldest page if the cursor is unknown."""
        position = self._positions.get(cursor)
        first = 0 if position is None else position - self._dropped + 1
        following = [self._entries[i] for i in range(first, len(self._entries))][
            :MAX_PAGE_DECISIONS
        ]
        gap = not self.can_resume_from(cursor) or self._order_is_unknown(position)
        return DecisionPage([entry.record for entry in following], gap)

    def _order_is_unknown(self, position: int | None) -> bool:
        """Return whether others' decisions may stand before ``position`` though made after it."""
        if position is None:
            return False
        entry = self._entries[position - self._dropped]
        if not entry.reannounced:
            return False
        token = (entry.cursor.epoch, entry.cursor.counter)
        return any(
            other.reannounced and (other.cursor.epoch, other.cursor.counter) != token
            for other in self._entries
        )


@attrs.frozen
class DecisionReply:
    """The page that answers the read ``call_id``."""

    call_id: int
    page: DecisionPage


@attrs.frozen
class _PendingRead:
    call_id: int
    cursor: Cursor
    expires_at: float


@attrs.define
class DecisionStream:
    """The ring of decisions, and the reads that are pending until the next one.

    Before ``complete_at`` (monotonic seconds) earlier decisions may still be announced again.
    """

    ring: DecisionRing = attrs.field(factory=DecisionRing)
    complete_at: float = 0.0
    _pending_reads: deque[_PendingRead] = attrs.field(factory=deque)

    def start(self, complete_at: float) -> None:
        """Start a term; until ``complete_at`` the owners announce their decisions again."""
        self.ring = DecisionRing()
        self.complete_at = complete_at

    def append(self, records: Iterable[DecisionRecord], now: float) -> list[DecisionReply]:
        """Add decisions, and answer the pending reads that they satisfy."""
        if not self.ring.append(records, reannounced=now < self.complete_at):
            return []
        return self._answer(now, lambda pending: self._has_page(pending.cursor, now))

    def read(self, call_id: int, request: ReadDecisionsRequest, now: float) -> list[DecisionReply]:
        """Answer a read that has a page or may not wait; else keep it pending."""
        token = request.after_token
        cursor = Cursor(token.epoch, token.counter, request.after_sequence)
        wait_s = min(max(request.wait_ms, 0) / 1000, MAX_READ_WAIT_S)
        pending = _PendingRead(call_id, cursor, now + wait_s)
        full = len(self._pending_reads) >= MAX_PENDING_READS
        if self._has_page(cursor, now) or wait_s == 0 or full:
            return [self._reply(pending, now)]
        self._pending_reads.append(pending)
        return []

    def expire(self, now: float) -> list[DecisionReply]:
        """Answer the reads that have timed out, or have a page now that ``complete_at`` is past."""
        return self._answer(
            now, lambda pending: pending.expires_at <= now or self._has_page(pending.cursor, now)
        )

    def release_all(self) -> list[int]:
        """Remove all pending reads and return their call ids, which the caller answers."""
        calls = [pending.call_id for pending in self._pending_reads]
        self._pending_reads.clear()
        return calls

    def _answer(self, now: float, ready: Callable[[_PendingRead], bool]) -> list[DecisionReply]:
        answered = [pending for pending in self._pending_reads if ready(pending)]
        self._pending_reads = deque(
            pending for pending in self._pending_reads if pending not in answered
        )
        return [self._reply(pending, now) for pending in answered]

    def _reply(self, pending: _PendingRead, now: float) -> DecisionReply:
        if self._can_answer(pending.cursor, now):
            return DecisionReply(pending.call_id, self.ring.after(pending.cursor))
        return DecisionReply(pending.call_id, DecisionPage([], gap=False))

    def _has_page(self, cursor: Cursor, now: float) -> bool:
        return self._can_answer(cursor, now) and bool(self.ring.after(cursor).decisions)

    def _can_answer(self, cursor: Cursor, now: float) -> bool:
        """Return False while the decision at ``cursor`` may still be announced again."""
        return cursor == START or self.ring.can_resume_from(cursor) or now >= self.complete_at
