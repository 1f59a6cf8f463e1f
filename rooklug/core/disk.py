"""Tracks writes in flight on this core's disk and runs continuations once they are synced."""

from collections.abc import Callable, Sequence

import attrs

from rooklug.core.outbox import Outbox
from rooklug.engine import effects as fx

Continuation = Callable[[float], None]


@attrs.define
class Barrier:
    """Runs ``then`` once the writes of all ``tickets`` are synced."""

    tickets: set[int]
    then: Continuation


class Disk:
    """Issues writes, and runs continuations once the writes before them are synced.

    ``broken`` is the reason of the first failed write, "" before; no continuation runs after it.
    """

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._issued: dict[int, float] = {}
        self._barriers: list[Barrier] = []
        self.broken = ""

    def append(
        self, file: str, records: Sequence[bytes], now: float, then: Continuation | None = None
    ) -> None:
        """Append records to ``file`` and sync it, then run ``then``."""
        ticket = self._issue(now, then)
        self._outbox.add(fx.WriteRecords(ticket, file, tuple(records)))

    def rewrite(
        self, file: str, records: Sequence[bytes], now: float, then: Continuation | None = None
    ) -> None:
        """Replace the content of ``file`` atomically and sync it, then run ``then``."""
        ticket = self._issue(now, then)
        self._outbox.add(fx.RewriteFile(ticket, file, tuple(records)))

    def after_sync(self, now: float, then: Continuation) -> None:
        """Run ``then`` once all writes issued so far are synced; at once if none is in flight."""
        if self.broken:
            return
        if self._issued:
            self._barriers.append(Barrier(set(self._issued), then))
        else:
            then(now)

    def finished(self, ticket: int, now: float) -> None:
        """Handle a completed write; run the continuations that waited only for it."""
        if self._issued.pop(ticket, None) is None or self.broken:
            return
        ready = []
        for barrier in self._barriers:
            barrier.tickets.discard(ticket)
            if not barrier.tickets:
                ready.append(barrier)
        self._barriers = [barrier for barrier in self._barriers if barrier.tickets]
        for barrier in ready:
            barrier.then(now)

    def failed(self, reason: str) -> None:
        """Handle a failed write: from now on the content of the disk is uncertain."""
        self.broken = reason
        self._barriers.clear()

    def oldest_age(self, now: float) -> float:
        """Return the age of the oldest write in flight in seconds, 0 if there is none."""
        return now - min(self._issued.values()) if self._issued else 0.0

    def _issue(self, now: float, then: Continuation | None) -> int:
        ticket = self._outbox.identifiers.next()
        self._issued[ticket] = now
        if then is not None:
            self._barriers.append(Barrier({ticket}, then))
        return ticket
