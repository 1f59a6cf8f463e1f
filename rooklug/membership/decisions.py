"""The newest decisions of the role owners, as a stream that readers resume by cursor.

Decisions are kept in the order in which they came. After a failover the owners announce
theirs again; a reader whose cursor is found goes on from there.
"""

from collections import deque
from collections.abc import Callable, Iterable

import attrs

from rooklug.wire.generated.control.ttypes import DecisionRecord, ReadDecisionsRequest

RING_LIMIT = 4096
PAGE_LIMIT = 256
READERS_LIMIT = 256
READ_WAIT_LIMIT_S = 10.0


@attrs.frozen(order=True)
class Cursor:
    """The identity of a decision: its owner's token, and its number under that token."""

    epoch: int
    counter: int
    sequence: int


START = Cursor(0, 0, 0)


def cursor_of(record: DecisionRecord) -> Cursor:
    """Return the cursor of a decision."""
    return Cursor(record.token.epoch, record.token.counter, record.sequence)


@attrs.frozen
class DecisionPage:
    """Decisions after a cursor. ``gap``: some before these may be missing."""

    decisions: list[DecisionRecord]
    gap: bool


@attrs.frozen
class _Entry:
    cursor: Cursor
    record: DecisionRecord
    announced_again: bool


@attrs.define
class DecisionRing:
    """A bounded, ordered set of decisions."""

    limit: int = RING_LIMIT
    _entries: deque[_Entry] = attrs.field(factory=deque)
    _positions: dict[Cursor, int] = attrs.field(factory=dict)
    _dropped: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    def append(self, records: Iterable[DecisionRecord], *, announced_again: bool) -> bool:
        """Add the decisions that are not there yet; return whether there were any.

        ``announced_again``: their place among those of other owners is not known.
        """
        before = self._dropped + len(self._entries)
        for record in records:
            cursor = cursor_of(record)
            if cursor in self._positions:
                continue
            self._positions[cursor] = self._dropped + len(self._entries)
            self._entries.append(_Entry(cursor, record, announced_again))
            if len(self._entries) > self.limit:
                del self._positions[self._entries.popleft().cursor]
                self._dropped += 1
        return self._dropped + len(self._entries) > before

    def knows(self, cursor: Cursor) -> bool:
        """Return whether a reader can go on from ``cursor`` without a gap."""
        return cursor in self._positions or (cursor == START and self._dropped == 0)

    def after(self, cursor: Cursor) -> DecisionPage:
        """Return a page of what follows ``cursor``, or from the oldest if it is unknown."""
        position = self._positions.get(cursor)
        first = 0 if position is None else position - self._dropped + 1
        following = [self._entries[i] for i in range(first, len(self._entries))][:PAGE_LIMIT]
        gap = not self.knows(cursor) or self._order_unknown(position)
        return DecisionPage([entry.record for entry in following], gap)

    def _order_unknown(self, position: int | None) -> bool:
        """Return whether other owners' decisions around this one may have been passed over."""
        if position is None:
            return False
        entry = self._entries[position - self._dropped]
        if not entry.announced_again:
            return False
        token = (entry.cursor.epoch, entry.cursor.counter)
        return any(
            other.announced_again and (other.cursor.epoch, other.cursor.counter) != token
            for other in self._entries
        )


@attrs.frozen
class DecisionReply:
    """The page that ends a read."""

    call_id: int
    page: DecisionPage


@attrs.frozen
class _Reader:
    call_id: int
    cursor: Cursor
    until: float


@attrs.define
class DecisionStream:
    """The ring and the reads that wait for its next decision."""

    ring: DecisionRing = attrs.field(factory=DecisionRing)
    complete_at: float = 0.0
    _readers: deque[_Reader] = attrs.field(factory=deque)

    def start(self, complete_at: float) -> None:
        """Begin a term; until ``complete_at`` the owners announce their decisions again."""
        self.ring = DecisionRing()
        self.complete_at = complete_at

    def append(self, records: Iterable[DecisionRecord], now: float) -> list[DecisionReply]:
        """Add decisions and answer the reads that waited for them."""
        if not self.ring.append(records, announced_again=now < self.complete_at):
            return []
        return self._answer(now, lambda reader: self._has_page(reader.cursor, now))

    def read(self, call_id: int, request: ReadDecisionsRequest, now: float) -> list[DecisionReply]:
        """Answer a read, or keep it pending."""
        token = request.after_token
        cursor = Cursor(token.epoch, token.counter, request.after_sequence)
        wait_s = min(max(request.wait_ms, 0) / 1000, READ_WAIT_LIMIT_S)
        reader = _Reader(call_id, cursor, now + wait_s)
        full = len(self._readers) >= READERS_LIMIT
        if self._has_page(cursor, now) or wait_s == 0 or full:
            return [self._reply(reader, now)]
        self._readers.append(reader)
        return []

    def expire(self, now: float) -> list[DecisionReply]:
        """Answer the reads whose time is over, or whose gap is certain now."""
        return self._answer(
            now, lambda reader: reader.until <= now or self._has_page(reader.cursor, now)
        )

    def release_all(self) -> list[int]:
        """Return the pending calls, and forget them."""
        calls = [reader.call_id for reader in self._readers]
        self._readers.clear()
        return calls

    def _answer(self, now: float, ready: Callable[[_Reader], bool]) -> list[DecisionReply]:
        answered = [reader for reader in self._readers if ready(reader)]
        self._readers = deque(reader for reader in self._readers if reader not in answered)
        return [self._reply(reader, now) for reader in answered]

    def _reply(self, reader: _Reader, now: float) -> DecisionReply:
        if self._can_answer(reader.cursor, now):
            return DecisionReply(reader.call_id, self.ring.after(reader.cursor))
        return DecisionReply(reader.call_id, DecisionPage([], gap=False))

    def _has_page(self, cursor: Cursor, now: float) -> bool:
        return self._can_answer(cursor, now) and bool(self.ring.after(cursor).decisions)

    def _can_answer(self, cursor: Cursor, now: float) -> bool:
        """An unknown cursor may still be announced again at the start of a term."""
        return cursor == START or self.ring.knows(cursor) or now >= self.complete_at
