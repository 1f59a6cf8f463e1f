"""Estimates this front's overload from its own answers, for queue waits and ``Retry-After``."""

from math import exp
from random import Random

DECAY_TIME_S = 5.0
MIN_RETRY_AFTER_S = 1
OVERLOAD_ADDED_S = 3.0
JITTER = 0.5
MIN_COUNT_FOR_RATE = 3.0


class DecayingCounter:
    """A count of events that decays exponentially with the time constant ``DECAY_TIME_S``."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.value_at(now) + 1.0
        self._at = now

    def value_at(self, now: float) -> float:
        """Return the decayed count at ``now``."""
        return self._value * exp((self._at - now) / DECAY_TIME_S)


class Overload:
    """Recent numbers of served and refused requests, as decaying counts."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._served = DecayingCounter()
        self._refused = DecayingCounter()

    def record_served(self, now: float) -> None:
        """Count a request that a replica has answered completely."""
        self._served.add(now)

    def expected_wait_s(self, ahead: int, now: float) -> float:
        """Return the seconds until ``ahead`` queued requests are served, 0 if the rate is unknown.

        The rate is unknown while fewer than ``MIN_COUNT_FOR_RATE`` recent requests were served.
        """
        served = self._served.value_at(now)
        return ahead * DECAY_TIME_S / served if served >= MIN_COUNT_FOR_RATE else 0.0

    def record_refusal(self, now: float) -> int:
        """Count a refusal and return its ``Retry-After`` in whole seconds.

        The mean grows with the share of refused requests; jitter in proportion to it keeps
        callers from returning together.
        """
        self._refused.add(now)
        refused = self._refused.value_at(now)
        level = refused / (refused + self._served.value_at(now))
        mean = MIN_RETRY_AFTER_S + OVERLOAD_ADDED_S * level
        jittered = mean * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        return max(MIN_RETRY_AFTER_S, round(jittered))
