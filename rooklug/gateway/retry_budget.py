"""A front's part of the retry budget that all fronts share.

In any window a service may get ``ratio`` repeats a request and ``slack`` more, from all fronts
together. A front spends repeats from the requests it took itself, and its part of the slack.
"""

from collections import deque

import attrs

SAFETY = 0.7
"""Share of the budget that is used: fronts disagree for a moment on how many they are."""

DEFAULT_RATIO = 0.2
DEFAULT_WINDOW_S = 10.0
DEFAULT_SLACK = 20.0


@attrs.frozen
class RetryBudgetSettings:
    """The budget of all fronts together, for each service."""

    ratio: float = DEFAULT_RATIO
    window_s: float = DEFAULT_WINDOW_S
    slack: float = DEFAULT_SLACK


@attrs.define
class RetryBudget:
    """Counts this front's requests and repeats of one service in the last window."""

    settings: RetryBudgetSettings
    _requests: deque[float] = attrs.field(factory=deque)
    _repeats: deque[float] = attrs.field(factory=deque)

    def count_request(self, now: float) -> None:
        """Note a client's request."""
        self._requests.append(now)

    def may_repeat(self, fronts: int, now: float) -> bool:
        """Tell whether a request may be sent once more."""
        self._forget(now)
        settings = self.settings
        slack = settings.slack / fronts if fronts > 0 else 0.0
        allowed = SAFETY * (settings.ratio * len(self._requests) + slack)
        return len(self._repeats) + 1 <= allowed

    def count_repeat(self, now: float) -> None:
        """Note a repeat."""
        self._repeats.append(now)

    def _forget(self, now: float) -> None:
        oldest = now - self.settings.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()


class RetryBudgets:
    """This front's budgets, one for each service."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        if service not in self._by_service:
            self._by_service[service] = RetryBudget(self._settings)
        return self._by_service[service]
