"""Bounded queue of waiting requests, ordered by priority, then by arrival."""

from bisect import bisect_right, insort
from collections.abc import Hashable, Iterator

import attrs

from rooklug.front.verdicts import QueueOutlook


@attrs.frozen(order=True)
class QueueEntry:
    """One waiting request, sorted by ``rank`` (the negative priority), then by arrival.

    ``until`` is the monotonic time at which its wait expires.
    """

    rank: int
    sequence: int
    http_id: int = attrs.field(order=False)
    until: float = attrs.field(order=False)
    lane: Hashable = attrs.field(order=False)


class WaitQueue:
    """Holds requests that wait for a free replica.

    When the queue is full, a request of higher priority evicts the last one of the lowest
    priority. Requests of the same ``lane`` wait for the same replicas.
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
        """Return whether a request of that priority would be queued, possibly by eviction."""
        if len(self._entries) < capacity:
            return True
        return bool(self._entries) and capacity > 0 and -self._entries[-1].rank < priority

    def outlook(self, priority: int, capacity: int) -> QueueOutlook:
        """Return the queue's state for a new request of that priority."""
        ahead = bisect_right(self._entries, -priority, key=lambda entry: entry.rank)
        return QueueOutlook(ahead, self.has_capacity(priority, capacity))

    def add(
        self, http_id: int, priority: int, until: float, lane: Hashable, capacity: int
    ) -> list[int]:
        """Queue a request; return the ids of evicted requests (its own if it is not queued)."""
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
        """Remove a request; return whether it was queued."""
        entry = self._by_http_id.pop(http_id, None)
        if entry is None:
            return False
        self._entries.remove(entry)
        return True

    def take_expired(self, now: float) -> list[int]:
        """Remove the requests whose wait has expired and return their ids in queue order."""
        expired = [entry.http_id for entry in self._entries if entry.until <= now]
        for http_id in expired:
            self.remove(http_id)
        return expired
