"""A bounded queue ordered by priority, then by arrival; each entry has a time it waits until."""

from bisect import bisect_right, insort
from collections.abc import Hashable, Iterator

import attrs

from rooklug.front.verdicts import QueueOutlook


@attrs.frozen(order=True)
class QueueEntry:
    """One waiting request. Sorted by falling priority, then by sequence."""

    rank: int
    sequence: int
    http_id: int = attrs.field(order=False)
    until: float = attrs.field(order=False)
    lane: Hashable = attrs.field(order=False)


class WaitQueue:
    """Holds requests that wait for a free replica.

    A request of a higher priority pushes out the last one of the lowest priority when the
    queue is full. Requests of one ``lane`` wait for the same replicas.
    """

    def __init__(self) -> None:
        self._entries: list[QueueEntry] = []
        self._by_http_id: dict[int, QueueEntry] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QueueEntry]:
        return iter(tuple(self._entries))

    def has_capacity(self, priority: int, capacity: int) -> bool:
        """Return whether a request of that priority would get a place."""
        if len(self._entries) < capacity:
            return True
        return bool(self._entries) and capacity > 0 and -self._entries[-1].rank < priority

    def outlook(self, priority: int, capacity: int) -> QueueOutlook:
        """Return what a request of that priority would find."""
        ahead = bisect_right(self._entries, -priority, key=lambda entry: entry.rank)
        return QueueOutlook(ahead, self.has_capacity(priority, capacity))

    def add(
        self, http_id: int, priority: int, until: float, lane: Hashable, capacity: int
    ) -> list[int]:
        """Queue a request; return the requests that lost their place (itself, if no room)."""
        if not self.has_capacity(priority, capacity):
            return [http_id]
        self._sequence += 1
        entry = QueueEntry(-priority, self._sequence, http_id, until, lane)
        insort(self._entries, entry)
        self._by_http_id[http_id] = entry
        evicted = []
        while len(self._entries) > capacity:
            evicted.append(self._entries[-1].http_id)
            self.remove(evicted[-1])
        return evicted

    def remove(self, http_id: int) -> bool:
        """Forget a request; return whether it was queued."""
        entry = self._by_http_id.pop(http_id, None)
        if entry is None:
            return False
        self._entries.remove(entry)
        return True

    def take_expired(self, now: float) -> list[int]:
        """Remove and return the requests whose wait is over, in queue order."""
        expired = [entry.http_id for entry in self._entries if entry.until <= now]
        for http_id in expired:
            self.remove(http_id)
        return expired
