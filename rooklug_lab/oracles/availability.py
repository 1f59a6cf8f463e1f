"""Promises about leaving replicas, emptied zones, cold replicas and coming back."""

from math import ceil

from rooklug_lab.oracles.closed_spans import arrivals, emptied_spans, leaving_spans
from rooklug_lab.oracles.evidence import END_OF_RUN_S, Evidence, Violation
from rooklug_lab.standins.records import Outcome, ReplicaJournal

LEAVING_LIMIT_S = 4.0
EMPTIED_LIMIT_S = 5.0
COLD_WINDOW_S = 2.0
COLD_SHARE_LIMIT = 0.5
COLD_ALWAYS_ALLOWED = 4
WARM_AFTER_S = 20.0
SERVING_WINDOW_S = 5.0
FLEET_START_S = 15.0
QUARTER = 0.25
QUARTER_LIMIT_S = 12.0
GOODPUT_WINDOW_S = 1.0


def leaving_gets_nothing(evidence: Evidence) -> list[Violation]:
    """Within about 4 s of a replica shown as leaving, no new request reaches it."""
    return [
        Violation(at_s, f"{replica_id} left at {span.from_s:.2f}")
        for span in leaving_spans(evidence)
        for at_s, replica_id, _ in arrivals(evidence)
        if replica_id == span.name and span.from_s + LEAVING_LIMIT_S < at_s < span.until_s
    ]


def emptied_zone_gets_nothing(evidence: Evidence) -> list[Violation]:
    """Within about 5 s of a zone being emptied, no new request reaches it."""
    return [
        Violation(at_s, f"{replica_id} in {zone}, emptied at {span.from_s:.2f}")
        for span in emptied_spans(evidence)
        for at_s, replica_id, zone in arrivals(evidence)
        if zone == span.name and span.from_s + EMPTIED_LIMIT_S < at_s < span.until_s
    ]


def cold_gets_a_trickle(evidence: Evidence) -> list[Violation]:
    """A replica that comes back cold gets far less than warm ones of the same models at first."""
    violations = []
    fleet_start = min((j.starts[0][0] for j in evidence.replicas if j.starts), default=0.0)
    for journal in evidence.replicas:
        for start, _ in journal.starts:
            first = _first_arrival_after(journal, start)
            if start < fleet_start + FLEET_START_S or first is None:
                continue
            end = first + COLD_WINDOW_S
            for model in sorted(_models(journal, first, end)):
                warm = [j for j in evidence.replicas if _is_warm(j, start, first, model)]
                if not warm:
                    continue
                mine = _count(journal, first, end, model)
                mean = sum(_count(j, first, end, model) for j in warm) / len(warm)
                if mine > max(COLD_ALWAYS_ALLOWED, COLD_SHARE_LIMIT * mean):
                    text = f"{journal.replica_id} got {mine} of {model} while cold, warm {mean:.1f}"
                    violations.append(Violation(first, text))
    return violations


def _first_arrival_after(journal: ReplicaJournal, start: float) -> float | None:
    return next((g.started_s for g in journal.generations if g.started_s >= start), None)


def _models(journal: ReplicaJournal, begin: float, end: float) -> frozenset[str]:
    return frozenset(g.model for g in journal.generations if begin <= g.started_s < end)


def _count(journal: ReplicaJournal, begin: float, end: float, model: str) -> int:
    return sum(begin <= g.started_s < end and g.model == model for g in journal.generations)


def _is_warm(journal: ReplicaJournal, start: float, first: float, model: str) -> bool:
    """Warm: not started lately, and serving this model just before."""
    recent = any(start - WARM_AFTER_S < s <= start + WARM_AFTER_S for s, _ in journal.starts)
    return not recent and _count(journal, first - SERVING_WINDOW_S, first, model) > 0


def goodput(evidence: Evidence, begin: float, end: float) -> float:
    """Return the share of requests started in [begin, end) that ended well, 1.0 if none."""
    started = [r for r in evidence.requests() if begin <= r.started_s < end]
    if not started:
        return 1.0
    return sum(request.outcome is Outcome.DONE for request in started) / len(started)


def seconds_to_a_quarter(evidence: Evidence, returned_s: float) -> float:
    """Return the seconds from ``returned_s`` until a quarter of the traffic is served again.

    Counted by when answers came: within one window there were good answers to a quarter of
    the requests that callers make in such a window on average.
    """
    requests = evidence.requests()
    traffic_s = evidence.traffic_ended_s - evidence.traffic_started_s
    if not requests or traffic_s <= 0:
        return END_OF_RUN_S
    wanted = max(1, ceil(QUARTER * GOODPUT_WINDOW_S * len(requests) / traffic_s))
    ends = sorted(
        request.ended_s
        for request in requests
        if request.outcome is Outcome.DONE and request.ended_s >= returned_s
    )
    for first_s, last_s in zip(ends, ends[wanted - 1 :], strict=False):
        if last_s - first_s <= GOODPUT_WINDOW_S:
            return last_s - returned_s
    return END_OF_RUN_S


def quarter_served_soon(evidence: Evidence) -> list[Violation]:
    """Within about 12 s after machines return, a quarter of the traffic is served again."""
    violations = []
    for fault in evidence.faults:
        returned = fault.ended_s
        if returned == END_OF_RUN_S or returned + QUARTER_LIMIT_S > evidence.traffic_ended_s - 2:
            continue
        later = [f for f in evidence.faults if returned < f.started_s < returned + QUARTER_LIMIT_S]
        seconds = seconds_to_a_quarter(evidence, returned)
        if seconds > QUARTER_LIMIT_S and not later:
            text = f"a quarter only {seconds:.1f} s after {fault.kind} of {fault.target}"
            violations.append(Violation(returned, text))
    return violations
