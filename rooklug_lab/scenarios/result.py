"""The figures of one run, as one JSON object."""

from typing import Any

import attrs

from rooklug_lab.oracles.availability import goodput, seconds_to_a_quarter
from rooklug_lab.oracles.closed_spans import last_requests
from rooklug_lab.oracles.configuration import lags
from rooklug_lab.oracles.evidence import END_OF_RUN_S, Evidence, Violation
from rooklug_lab.standins.records import CallerRequest, Outcome

SHOWN_VIOLATIONS = 5
SHOWN_UNSERVED = 10


def percentile(sorted_values: list[float], share: float) -> float | None:
    """Return the value below which ``share`` of the values lie, None without values."""
    if not sorted_values:
        return None
    index = min(len(sorted_values) - 1, int(share * len(sorted_values)))
    return round(sorted_values[index], 3)


def run_figures(evidence: Evidence) -> dict[str, Any]:
    """Return goodput, time to a quarter, configuration lag and probes of a run."""
    lag_values = lags(evidence)
    seconds = evidence.traffic_ended_s - evidence.traffic_started_s
    probes = sum(journal.probes for journal in evidence.replicas)
    return {
        "goodput": _phases(evidence),
        "seconds_to_a_quarter": _seconds_to_a_quarter(evidence),
        "configuration_lag_s": {
            "p50": percentile(lag_values, 0.5),
            "p99": percentile(lag_values, 0.99),
            "max": round(lag_values[-1], 3) if lag_values else None,
        },
        "probes_per_s": round(probes / seconds, 2) if seconds > 0 else None,
        "last_requests": [attrs.asdict(each) for each in last_requests(evidence)],
        "requests": _outcomes(evidence),
        "unserved": unserved(evidence)[:SHOWN_UNSERVED],
    }


def _phases(evidence: Evidence) -> dict[str, float]:
    start_s, end_s = evidence.traffic_started_s, evidence.traffic_ended_s
    first_s = min((fault.started_s for fault in evidence.faults), default=end_s)
    ends = [fault.ended_s for fault in evidence.faults if fault.ended_s != END_OF_RUN_S]
    last_s = max(ends, default=end_s)
    return {
        "before": round(goodput(evidence, start_s, first_s), 4),
        "during": round(goodput(evidence, first_s, last_s), 4),
        "after": round(goodput(evidence, last_s, end_s), 4),
    }


def _seconds_to_a_quarter(evidence: Evidence) -> float | None:
    ends = [fault.ended_s for fault in evidence.faults if fault.ended_s != END_OF_RUN_S]
    if not ends:
        return None
    seconds = seconds_to_a_quarter(evidence, max(ends))
    return None if seconds == END_OF_RUN_S else round(seconds, 2)


def _outcomes(evidence: Evidence) -> dict[str, int]:
    counts = {outcome.value: 0 for outcome in Outcome}
    for request in evidence.requests():
        counts[request.outcome.value] += 1
    return {name: count for name, count in counts.items() if count}


def unserved(evidence: Evidence) -> list[str]:
    """Return a sentence about each request that was not served, with all its attempts."""
    return [
        _unserved_text(request)
        for request in evidence.requests()
        if request.outcome is not Outcome.DONE
    ]


def _unserved_text(request: CallerRequest) -> str:
    attempts = ", ".join(
        f"{attempt.front_address} {attempt.outcome.value} {attempt.detail}"
        for attempt in request.attempts
    )
    return f"{request.request_id} ({request.route}) ended {request.outcome.value}: {attempts}"


def promise_counts(judged: dict[str, list[Violation]]) -> dict[str, int]:
    """Return the number of violations by promise."""
    return {name: len(violations) for name, violations in judged.items()}


def shown_violations(judged: dict[str, list[Violation]]) -> dict[str, list[str]]:
    """Return the first violations of each broken promise as sentences."""
    return {
        name: [violation.description for violation in violations[:SHOWN_VIOLATIONS]]
        for name, violations in judged.items()
        if violations
    }
