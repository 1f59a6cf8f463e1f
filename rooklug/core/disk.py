"""Writes in flight on this core's disk, and the continuations that wait for them."""

from collections.abc import Callable, Sequence

import attrs

from rooklug.core.outbox import Outbox
from rooklug.engine import effects as fx

Continuation = Callable[[float], None]


@attrs.define
class Barrier:
    """Runs ``then`` when all ``tickets`` are synced."""

    tickets: set[int]
    then: Continuation


class Disk:
    """Issues writes and runs continuations once they are synced; broken after a failed write."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._issued: dict[int, float] = {}
        self._barriers: list[Barrier] = []
        self.broken = ""

    def append(
        self, file: str, records: Sequence[bytes], now: float, then: Continuation | None = None
    ) -> None:
        """Append records and sync."""
        ticket = self._issue(now, then)
        self._outbox.add(fx.WriteRecords(ticket, file, tuple(records)))

    def rewrite(
        self, file: str, records: Sequence[bytes], now: float, then: Continuation | None = None
    ) -> None:
        """Replace a file atomically and sync."""
        ticket = self._issue(now, then)
        self._outbox.add(fx.RewriteFile(ticket, file, tuple(records)))

    def after_sync(self, now: float, then: Continuation) -> None:
        """Run ``then`` once everything issued so far is synced; at once if nothing waits."""
        if self.broken:
            return
        if self._issued:
            self._barriers.append(Barrier(set(self._issued), then))
        else:
            then(now)

    def finished(self, ticket: int, now: float) -> None:
        """Take the end of a write."""
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
        """Take the failure of a write: what the disk has is uncertain from here on."""
        self.broken = reason
        self._barriers.clear()

    def oldest_age(self, now: float) -> float:
        """Return for how many seconds the oldest write is in flight, 0 without one."""
        return now - min(self._issued.values()) if self._issued else 0.0

    def _issue(self, now: float, then: Continuation | None) -> int:
        ticket = self._outbox.identifiers.next()
        self._issued[ticket] = now
        if then is not None:
            self._barriers.append(Barrier({ticket}, then))
        return ticket
