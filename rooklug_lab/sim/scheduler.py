"""Virtual time: a heap of callbacks ordered by (time, sequence)."""

import heapq
from collections.abc import Callable
from itertools import count

Callback = Callable[[], None]


class Scheduler:
    """Runs callbacks at virtual times; equal times run in the order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self.executed = 0
        self._heap: list[tuple[float, int, Callback]] = []
        self._sequence = count()

    def at(self, time: float, callback: Callback) -> None:
        """Run ``callback`` at ``time`` (seconds); a past time means as soon as possible."""
        heapq.heappush(self._heap, (max(time, self.now), next(self._sequence), callback))

    def after(self, delay: float, callback: Callback) -> None:
        """Run ``callback`` after ``delay`` seconds."""
        self.at(self.now + delay, callback)

    def run_until(self, end: float) -> None:
        """Run all callbacks due up to and including ``end``, then set ``now`` to ``end``."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(heap)
            self.executed += 1
            callback()
        self.now = end
