"""Passive health checks: ejects a replica by the outcomes of this process's own attempts."""

from random import Random

import attrs

from rooklug.front.outcomes import AttemptOutcome

INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 5.0
EJECTION_JITTER = 0.25
# Consecutive failures that eject a replica, by the outcome of the last one.
FAILURES_TO_EJECT = {
    AttemptOutcome.CONNECT_FAILED: 1,
    AttemptOutcome.RESET: 1,
    AttemptOutcome.TIMED_OUT: 2,
    AttemptOutcome.BROKEN: 3,
}


@attrs.define
class ReplicaHealth:
    """Health of one replica, by the outcomes of this process's attempts.

    An ejected replica gets no requests for a time that doubles with each consecutive ejection up
    to ``MAX_EJECTION_S``, which is short enough to find a recovered machine in time. Jitter keeps
    fronts from returning to it all at once. After the ejection it is on probation until one
    request succeeds: it gets one request at a time, and any failure that counts ejects it again.
    ``ejected_until`` is a monotonic time.
    """

    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now: float) -> bool:
        """Return whether the replica is ejected, so that it must get no requests now."""
        return now < self.ejected_until

    @property
    def on_probation(self) -> bool:
        """Whether the replica has been ejected and has had no success since."""
        return self.consecutive_ejections > 0

    def record_success(self) -> None:
        """Record a success, which ends ejection and probation."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0

    def record_failure(self, outcome: AttemptOutcome, now: float, random: Random) -> bool:
        """Record a failure; return whether it ejects the replica.

        Outcomes that are not in ``FAILURES_TO_EJECT`` don't count.
        """
        needed = FAILURES_TO_EJECT.get(outcome)
        if needed is None:
            return False
        self.consecutive_failures += 1
        if self.is_ejected(now):
            return False
        if self.consecutive_failures < needed and not self.on_probation:
            return False
        self.consecutive_ejections += 1
        doubled = INITIAL_EJECTION_S * 2 ** (min(self.consecutive_ejections, 10) - 1)
        jitter = random.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
        self.ejected_until = now + min(doubled, MAX_EJECTION_S) * jitter
        self.consecutive_failures = 0
        return True
