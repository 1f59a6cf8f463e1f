"""Spans in which a replica or zone should get no new request, and what came in them."""

import attrs

from rooklug_lab.oracles.evidence import END_OF_RUN_S, Evidence
from rooklug_lab.standins.records import Outcome

BEFORE_S = 5.0


def arrivals(evidence: Evidence) -> list[tuple[float, str, str]]:
    """Return (time, replica, zone) of everything that reached a back end."""
    arrivals = [
        (generation.started_s, generation.replica_id, generation.zone)
        for replica in evidence.replicas
        for generation in replica.generations
    ]
    for backend in evidence.backends:
        zone = evidence.zone_of_backend.get(backend.backend_id, "")
        arrivals.extend(
            (execution.at_s, backend.backend_id, zone) for execution in backend.executions
        )
    return sorted(arrivals)


@attrs.frozen
class ClosedSpan:
    """While a replica leaves or a zone is empty: from when, until when (s, monotonic)."""

    name: str
    from_s: float
    until_s: float


def leaving_spans(evidence: Evidence) -> list[ClosedSpan]:
    """Return for each replica that was shown as leaving until it was shown otherwise."""
    changes = sorted(evidence.platform.changes, key=lambda change: change.at_s)
    spans = []
    for index, change in enumerate(changes):
        if change.kind == "leaving":
            later = (c.at_s for c in changes[index + 1 :] if c.replica_id == change.replica_id)
            until_s = next(later, END_OF_RUN_S)
            spans.append(ClosedSpan(change.replica_id, change.at_s, until_s))
    return spans


def emptied_spans(evidence: Evidence) -> list[ClosedSpan]:
    """Return for each emptied zone from the acknowledgement until it was to be restored."""
    orders = sorted(
        (change for operator in evidence.operators for change in operator.changes),
        key=lambda change: change.started_s,
    )
    spans = []
    for index, order in enumerate(orders):
        if order.kind == "empty" and order.outcome is Outcome.DONE:
            restores = (o.started_s for o in orders[index + 1 :] if o.kind == "restore")
            until_s = next(restores, END_OF_RUN_S)
            spans.append(ClosedSpan(order.name, order.acknowledged_s, until_s))
    return spans


@attrs.frozen
class LastRequest:
    """What a leaving replica or emptied zone got.

    ``before`` counts requests of the ``BEFORE_S`` seconds up to the mark: with 0 the rest says
    nothing. ``last_s``: seconds from the mark to the last new request, None without any.
    """

    name: str
    before: int
    last_s: float | None


def last_requests(evidence: Evidence) -> list[LastRequest]:
    """Return a line for each leaving replica, then for each emptied zone."""
    return [_last_request(span, evidence) for span in _all_spans(evidence)]


def _all_spans(evidence: Evidence) -> list[ClosedSpan]:
    return leaving_spans(evidence) + emptied_spans(evidence)


def _last_request(span: ClosedSpan, evidence: Evidence) -> LastRequest:
    times = [
        at_s - span.from_s
        for at_s, replica_id, zone in arrivals(evidence)
        if span.name in (replica_id, zone) and at_s < span.until_s
    ]
    before = sum(-BEFORE_S <= seconds <= 0.0 for seconds in times)
    late = [round(seconds, 2) for seconds in times if seconds > 0.0]
    return LastRequest(span.name, before, max(late, default=None))
