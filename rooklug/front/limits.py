"""Limits that a front adapts by itself: concurrent requests per replica, and the retry budget."""

import attrs

RECENT_RATIO_WEIGHT = 0.2
USUAL_WAIT_WEIGHT = 0.02
LATENCY_TOLERANCE = 1.5
MIN_GRADIENT = 0.5
GROWTH_STEP = 1.0
LIMIT_SMOOTHING = 0.2
BUSY_FACTOR = 0.7
TIMEOUT_FACTOR = 0.5
WAIT_SLACK_S = 0.02

RETRY_BURST = 10.0
RETRY_FLOOR_PER_S = 0.5


def size_class(prompt_tokens: int) -> int:
    """Return the size class of a prompt; each class is four times as large as the one before."""
    return prompt_tokens.bit_length() // 2


class ConcurrencyLimit:
    """Adaptive limit of the requests that this front runs at one replica at once.

    It follows the measured wait for the first chunk. While recent waits are at most
    ``LATENCY_TOLERANCE`` times the usual ones for the same prompt size, the limit grows by a step
    whenever it is fully used; above that it shrinks in proportion. It stays between 1 and
    ``maximum``, the concurrency that the replica reports.
    """

    def __init__(self, maximum: int, initial: float) -> None:
        self._maximum = maximum
        self._limit = min(max(initial, 1.0), maximum)
        self._usual: dict[int, float] = {}
        self._recent_ratio = 1.0

    @property
    def value(self) -> int:
        """The present limit, rounded down, at least 1."""
        return int(self._limit)

    def set_maximum(self, maximum: int) -> None:
        """Set the concurrency that the replica reports now, and lower the limit to it."""
        self._maximum = maximum
        self._limit = min(self._limit, maximum)

    def average_wait(self, prompt_tokens: int) -> float | None:
        """Return the average seconds to the first chunk for that prompt size, None if unknown."""
        return self._usual.get(size_class(prompt_tokens))

    def record_first_chunk(self, wait_s: float, prompt_tokens: int, in_flight: int) -> None:
        """Adapt the limit to one measured wait; ``in_flight`` includes the request itself."""
        kind = size_class(prompt_tokens)
        usual = self._usual.setdefault(kind, wait_s)
        ratio = (wait_s + WAIT_SLACK_S) / (usual + WAIT_SLACK_S)
        self._usual[kind] = usual + USUAL_WAIT_WEIGHT * (wait_s - usual)
        self._recent_ratio += RECENT_RATIO_WEIGHT * (ratio - self._recent_ratio)
        gradient = min(1.0, max(MIN_GRADIENT, LATENCY_TOLERANCE / self._recent_ratio))
        if gradient == 1.0 and in_flight < self.value:
            return
        target = self._limit + GROWTH_STEP if gradient == 1.0 else self._limit * gradient
        self._set(self._limit + LIMIT_SMOOTHING * (target - self._limit))

    def record_busy(self) -> None:
        """Shrink the limit after the replica has refused a request as busy."""
        self._set(self._limit * BUSY_FACTOR)

    def record_timeout(self) -> None:
        """Shrink the limit after a time-out, further than after a refusal."""
        self._set(self._limit * TIMEOUT_FACTOR)

    def _set(self, limit: float) -> None:
        self._limit = min(max(limit, 1.0), self._maximum)


@attrs.define
class RetryBudget:
    """Token bucket that limits retries to a share of first attempts.

    When everything fails, retries then raise the load on the replicas by that share only. A
    small constant rate is added, so that fronts with little traffic can retry as well.
    """

    tokens: float = RETRY_BURST / 2
    _refilled_at: float | None = None

    def record_first_attempt(self, share: float) -> None:
        """Add ``share`` of one retry for a first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + share)

    def try_spend(self, now: float) -> bool:
        """Spend one retry; return False if the budget is exhausted."""
        since = now - self._refilled_at if self._refilled_at is not None else 0.0
        self._refilled_at = now
        self.tokens = min(RETRY_BURST, self.tokens + RETRY_FLOOR_PER_S * since)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
