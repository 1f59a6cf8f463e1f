"""How loaded this front is by its own answers, and from it when a refused caller may come back."""

from math import exp
from random import Random

DECAY_TIME_S = 5.0
MIN_RETRY_AFTER_S = 1
OVERLOAD_ADDED_S = 3.0
JITTER = 0.5
MIN_COUNT_FOR_RATE = 3.0


class DecayingCounter:
    """A count of events that fades over ``DECAY_TIME_S``."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.value_at(now) + 1.0
        self._at = now

    def value_at(self, now: float) -> float:
        """Return the faded count."""
        return self._value * exp((self._at - now) / DECAY_TIME_S)


class Overload:
    """Counts answers and refusals."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._served = DecayingCounter()
        self._refused = DecayingCounter()

    def record_served(self, now: float) -> None:
        """Count a request that was answered."""
        self._served.add(now)

    def expected_wait_s(self, ahead: int, now: float) -> float:
        """Return the seconds until ``ahead`` queued requests are served; 0 while not known."""
        served = self._served.value_at(now)
        return ahead * DECAY_TIME_S / served if served >= MIN_COUNT_FOR_RATE else 0.0

    def record_refusal(self, now: float) -> int:
        """Count a refusal; return whole seconds, longer and wider spread with the overload."""
        self._refused.add(now)
        refused = self._refused.value_at(now)
        level = refused / (refused + self._served.value_at(now))
        mean = MIN_RETRY_AFTER_S + OVERLOAD_ADDED_S * level
        jittered = mean * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        return max(MIN_RETRY_AFTER_S, round(jittered))
