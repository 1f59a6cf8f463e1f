"""A simulated disk: only synced writes are sure to survive a crash; it can stall or be lost."""

from collections import deque
from collections.abc import Callable
from random import Random

import attrs

from rooklug.engine.effects import RewriteFile, WriteRecords
from rooklug.engine.events import Event, WriteFinished
from rooklug_lab.sim.scheduler import Scheduler

SYNC_MIN_S = 0.0008
SYNC_SPREAD_S = 0.003


@attrs.define
class SimulatedDisk:
    """One machine's data folder.

    ``identity`` is "" for a blank disk; the process that starts on it draws one. No write
    finishes before ``stalled_until`` (virtual time, in seconds); ``sync_factor`` multiplies the
    time that each sync takes.
    """

    scheduler: Scheduler
    random: Random
    identity: str = ""
    files: dict[str, list[bytes]] = attrs.field(factory=dict)
    stalled_until: float = 0.0
    sync_factor: float = 1.0
    _queue: deque = attrs.field(factory=deque)
    _busy: bool = False
    _generation: int = 0

    def records(self) -> dict[str, tuple[bytes, ...]]:
        """Return the synced records, by file name."""
        return {name: tuple(content) for name, content in self.files.items()}

    def write(self, effect: WriteRecords | RewriteFile, done: Callable[[Event], None]) -> None:
        """Queue a write; ``done`` is called with ``WriteFinished`` once it is synced."""
        self._queue.append((effect, done, self.scheduler.now))
        if not self._busy:
            self._sync_next()

    def crash(self) -> None:
        """Discard the writes that weren't synced, except for a random number of the oldest.

        A real device may have stored some of them before the crash.
        """
        self._generation += 1
        survivors = self.random.randint(0, len(self._queue))
        for effect, _, _ in list(self._queue)[:survivors]:
            self._apply(effect)
        self._queue.clear()
        self._busy = False

    def lose(self) -> None:
        """Discard all writes and the identity, as if a blank disk replaced this one."""
        self.crash()
        self.files = {}
        self.identity = ""

    def _sync_next(self) -> None:
        self._busy = True
        batch = list(self._queue)
        generation = self._generation
        duration = (SYNC_MIN_S + SYNC_SPREAD_S * self.random.random()) * self.sync_factor
        finish_at_s = max(self.scheduler.now, self.stalled_until) + duration

        def finish() -> None:
            if generation != self._generation:
                return
            if self.scheduler.now < self.stalled_until:
                self.scheduler.at(self.stalled_until + duration, finish)
                return
            self._finish(batch)

        self.scheduler.at(finish_at_s, finish)

    def _finish(self, batch: list) -> None:
        for effect, _, _ in batch:
            self._apply(effect)
            self._queue.popleft()
        self._busy = False
        for effect, done, queued_at_s in batch:
            done(WriteFinished(effect.ticket, self.scheduler.now - queued_at_s))
        if self._queue and not self._busy:
            self._sync_next()

    def _apply(self, effect: WriteRecords | RewriteFile) -> None:
        if isinstance(effect, RewriteFile):
            self.files[effect.file] = list(effect.records)
        else:
            self.files.setdefault(effect.file, []).extend(effect.records)
