"""Probe results to be reported to the placer: the newest of each replica, until acknowledged."""

import attrs

from rooklug.wire.generated.control.ttypes import ProbeResult


@attrs.frozen
class ProbeOutcome:
    """The outcome of one probe, which ended at ``at`` (monotonic seconds).

    ``report_json`` is "" unless the replica answered with a valid report.
    """

    replica_id: str
    at: float
    answered: bool
    report_json: str
    consecutive_failures: int


@attrs.define
class ProbeOutbox:
    """The newest outcome of each replica, and which of them the placer has not acknowledged."""

    _latest: dict[str, ProbeOutcome] = attrs.field(factory=dict)
    _unsent: dict[str, None] = attrs.field(factory=dict)
    _in_flight: list[str] = attrs.field(factory=list)

    def record(self, outcome: ProbeOutcome) -> None:
        """Store the outcome of a probe for the next report."""
        self._latest[outcome.replica_id] = outcome
        self._unsent[outcome.replica_id] = None

    def keep_only(self, replica_ids: set[str]) -> None:
        """Forget all replicas except ``replica_ids``."""
        self._latest = {key: value for key, value in self._latest.items() if key in replica_ids}
        self._unsent = {key: None for key in self._unsent if key in self._latest}

    def send_everything_again(self) -> None:
        """Mark all outcomes as unsent. Called for a new placer, which has none of them."""
        self._unsent = dict.fromkeys(self._latest)

    def take_batch(self, now: float, *, withhold_failures: bool) -> list[ProbeResult]:
        """Return the results to send now; they are in flight until ``complete``.

        With ``withhold_failures``, failed probes stay unsent.
        """
        batch = [
            self._latest[replica_id]
            for replica_id in self._unsent
            if self._latest[replica_id].answered or not withhold_failures
        ]
        for outcome in batch:
            del self._unsent[outcome.replica_id]
        self._in_flight = [outcome.replica_id for outcome in batch]
        return [_result(outcome, now) for outcome in batch]

    def complete(self, *, accepted: bool) -> None:
        """End the report in flight; unless it was accepted, its replicas are sent again."""
        if not accepted:
            self._unsent.update(
                (replica_id, None) for replica_id in self._in_flight if replica_id in self._latest
            )
        self._in_flight = []


def _result(outcome: ProbeOutcome, now: float) -> ProbeResult:
    return ProbeResult(
        replica_id=outcome.replica_id,
        answered=outcome.answered,
        age_ms=int((now - outcome.at) * 1000),
        report_json=outcome.report_json,
        consecutive_failures=outcome.consecutive_failures,
    )
