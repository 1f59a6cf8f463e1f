"""Which fronts are in touch with the core group at a moment, by the faults that were injected.

Time bounds hold only for machines in touch (the users' rules): nothing disturbed the machine for
``CONTACT_S``, it reaches every running core that itself reaches a majority, and the core group is
stable. While the core group isn't stable but has a connected majority, the bounds are longer.
"""

from collections.abc import Iterable

import attrs

CONTACT_S = 4.0
"""How long a machine must have been undisturbed, and the core group stable."""
OUTER_BOUND_S = 6.0
"""By how much an unstable core group with a majority lengthens a bound."""
SAMPLE_S = 0.25
"""Distance of the moments at which links and majorities are looked at."""


@attrs.frozen
class Span:
    """An interval of virtual time, in seconds; ``end`` is infinite until it is known."""

    start: float
    end: float = float("inf")

    def touches(self, start: float, end: float) -> bool:
        """Return whether any moment of ``start`` to ``end`` lies in the span or at its ends."""
        return self.start <= end and start <= self.end


@attrs.define
class ContactRecord:
    """The injected faults, by machine and by link.

    Attributes
    ----------
    cores
        For each core machine, by IP address, when it belonged to the group.
    group_size
        The number of core machines that the group has when none is missing.
    machine_faults
        Spans in which a process of a machine is killed, frozen, slowed or has a bad disk.
    absences
        The part of them in which the machine runs no process.
    cuts
        Cut links, by source and destination.
    """

    group_size: int
    cores: dict[str, Span] = attrs.field(factory=dict)
    machine_faults: dict[str, list[Span]] = attrs.field(factory=dict)
    absences: dict[str, list[Span]] = attrs.field(factory=dict)
    cuts: dict[tuple[str, str], list[Span]] = attrs.field(factory=dict)

    def record_fault(self, ip: str, start: float, end: float, *, absent: bool) -> None:
        """Record a fault of a machine; ``absent``: its processes don't run meanwhile."""
        self.machine_faults.setdefault(ip, []).append(Span(start, end))
        if absent:
            self.absences.setdefault(ip, []).append(Span(start, end))

    def record_cut(
        self, sources: Iterable[str], destinations: Iterable[str], start: float, end: float
    ) -> None:
        """Record a one-way cut between machines."""
        destinations = list(destinations)
        for source in sources:
            for destination in destinations:
                if source != destination:
                    self.cuts.setdefault((source, destination), []).append(Span(start, end))

    def is_late(self, ip: str, since: float, bound_s: float, now: float) -> bool:
        """Return whether a machine must have what was acknowledged at ``since`` by ``now``."""
        if now <= since + bound_s or not self._is_undisturbed(ip, now):
            return False
        if self._is_stable(now):
            return True
        return now > since + bound_s + OUTER_BOUND_S and self._had_majority(since, now)

    def _is_undisturbed(self, ip: str, now: float) -> bool:
        start = now - CONTACT_S
        if any(span.touches(start, now) for span in self.machine_faults.get(ip, ())):
            return False
        return not any(
            self._is_cut(ip, core, at) for at in _moments(start, now) for core in self._leading(at)
        )

    def _is_stable(self, now: float) -> bool:
        start = now - CONTACT_S
        if not self._had_majority(start, now):
            return False
        return not any(start < at <= now for at in self._core_events())

    def _had_majority(self, start: float, end: float) -> bool:
        return all(self._leading(at) for at in _moments(start, end))

    def _leading(self, at: float) -> list[str]:
        """Return the running cores that reach more than half of the group, themselves included."""
        running = [ip for ip in self.cores if self._runs(ip, at)]
        return [
            core
            for core in running
            if 2 * sum(other == core or not self._is_cut(core, other, at) for other in running)
            > self.group_size
        ]

    def _runs(self, ip: str, at: float) -> bool:
        belongs = self.cores[ip]
        absent = any(span.touches(at, at) for span in self.absences.get(ip, ()))
        return belongs.start <= at < belongs.end and not absent

    def _is_cut(self, one: str, other: str, at: float) -> bool:
        spans = (*self.cuts.get((one, other), ()), *self.cuts.get((other, one), ()))
        return any(span.touches(at, at) for span in spans)

    def _core_events(self) -> list[float]:
        spans = [span for ip in self.cores for span in self.machine_faults.get(ip, ())]
        spans += [s for pair, cuts in self.cuts.items() if self._among_cores(pair) for s in cuts]
        spans += self.cores.values()
        return [at for span in spans for at in (span.start, span.end)]

    def _among_cores(self, pair: tuple[str, str]) -> bool:
        return pair[0] in self.cores and pair[1] in self.cores


def _moments(start: float, end: float) -> list[float]:
    count = int((end - start) / SAMPLE_S)
    return [*(start + number * SAMPLE_S for number in range(count + 1)), end]
