"""Passive health: what a front learns of replicas from its own attempts."""

from random import Random

import attrs

from rooklug.front.outcomes import AttemptOutcome

INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 5.0
EJECTION_JITTER = 0.25
# Failures in a row that eject a replica, by the kind of the last one.
FAILURES_TO_EJECT = {
    AttemptOutcome.CONNECT_FAILED: 1,
    AttemptOutcome.RESET: 1,
    AttemptOutcome.TIMED_OUT: 2,
    AttemptOutcome.BROKEN: 3,
}


@attrs.define
class ReplicaHealth:
    """One replica's health by this front's attempts.

    An ejected replica gets no requests for a time that doubles with each ejection, up to
    ``MAX_EJECTION_S`` (short enough that machines that return are found in time), with
    jitter so that fronts don't come back together. Then it is on probation: one request at
    a time, until one succeeds.
    """

    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now: float) -> bool:
        """Return whether it gets no requests now."""
        return now < self.ejected_until

    @property
    def on_probation(self) -> bool:
        """Whether it has been ejected and has not succeeded since."""
        return self.consecutive_ejections > 0

    def succeeded(self) -> None:
        """Forget all failures."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0

    def failed(self, outcome: AttemptOutcome, now: float, random: Random) -> bool:
        """Take a failure; return whether it ejects the replica."""
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
