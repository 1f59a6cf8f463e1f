"""Tables of one run by request kind, region and arrival time, with latency components."""

from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable, Iterator

import attrs
from hdrh.histogram import HdrHistogram

from rooklug_lab.policy.credit import Outcome

MOST_MS = 60_000
DIGITS = 3
_MS = 1000.0


@attrs.define
class Row:
    """Counts and sums over a group of outcomes. Times are milliseconds.

    Each outcome counts as one of ``in_time``, ``paused`` (missed only its gap objective),
    ``late`` and ``lost`` (incomplete).
    """

    asked: int = 0
    in_time: int = 0
    paused: int = 0
    late: int = 0
    lost: int = 0
    full_credit: float = 0.0
    earned: float = 0.0
    transit_ms: float = 0.0
    waiting_ms: float = 0.0
    prefill_ms: float = 0.0
    first: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, MOST_MS, DIGITS))

    def add(self, outcome: Outcome) -> None:
        """Add one outcome to the counts; lost ones don't contribute latencies."""
        self.asked += 1
        self.full_credit += outcome.full_credit
        self.earned += outcome.earned
        if not outcome.complete:
            self.lost += 1
            return
        self.first.record_value(max(1, min(int(outcome.first_s * _MS), MOST_MS)))
        self.transit_ms += outcome.transit_s * _MS
        self.waiting_ms += outcome.waiting_s * _MS
        self.prefill_ms += outcome.prefill_s * _MS
        if outcome.in_time:
            self.in_time += 1
        elif outcome.first_s <= outcome.request.kind.objective_s:
            self.paused += 1
        else:
            self.late += 1

    def cells(self) -> Iterator[str]:
        """Yield the cells in the order of ``HEADINGS``; latency components are means."""
        answered = max(self.asked - self.lost, 1)
        yield from (str(n) for n in (self.asked, self.in_time, self.paused, self.late, self.lost))
        yield f"{self.earned / self.full_credit if self.full_credit else 1.0:.3f}"
        for share in (50, 90, 99):
            yield f"{self.first.get_value_at_percentile(share):.0f}"
        for total in (self.transit_ms, self.waiting_ms, self.prefill_ms):
            yield f"{total / answered:.0f}"


HEADINGS = (
    *("asked", "in time", "paused", "late", "lost", "worth", "p50 ms", "p90 ms", "p99 ms"),
    *("way ms", "waiting ms", "reading ms"),
)


def table(title: str, rows: dict[str, Row]) -> str:
    """Return the rows as text in aligned columns."""
    width = max([len(title), *(len(name) for name in rows)])
    lines = [f"{title:{width}}  " + "  ".join(f"{heading:>10}" for heading in HEADINGS)]
    for name, row in rows.items():
        lines.append(f"{name:{width}}  " + "  ".join(f"{cell:>10}" for cell in row.cells()))
    return "\n".join(lines)


def by_kind(outcomes: Iterable[Outcome]) -> dict[str, Row]:
    """Return a row for each kind of request."""
    return _rows(outcomes, lambda outcome: outcome.request.kind.name)


def by_region(outcomes: Iterable[Outcome]) -> dict[str, Row]:
    """Return a row for each client region."""
    return _rows(outcomes, lambda outcome: outcome.request.zone.region)


def by_second(outcomes: Iterable[Outcome], width_s: int = 2) -> dict[str, Row]:
    """Return a row for each ``width_s`` seconds of arrivals."""
    found = _rows(outcomes, lambda outcome: int(outcome.request.at // width_s) * width_s)
    return {f"from {second} s": row for second, row in found.items()}


def _rows(outcomes: Iterable[Outcome], key: Callable[[Outcome], Hashable]) -> dict:
    rows: dict = defaultdict(Row)
    for outcome in outcomes:
        rows[key(outcome)].add(outcome)
    return {name: rows[name] for name in sorted(rows)}
