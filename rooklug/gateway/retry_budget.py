"""A front's share of the retry budget that all fronts have together.

Within any window, all fronts together may send a service ``ratio`` retries per request plus
``slack`` retries. A front's budget is the ratio of the requests it received itself plus its share
of the slack.
"""

from collections import deque

import attrs

BUDGET_SAFETY_SHARE = 0.7
"""Share of the budget that is used: fronts may briefly disagree on their number."""

DEFAULT_RATIO = 0.2
DEFAULT_WINDOW_S = 10.0
DEFAULT_SLACK = 20.0


@attrs.frozen
class RetryBudgetSettings:
    """The budget of all fronts together, per service."""

    ratio: float = DEFAULT_RATIO
    window_s: float = DEFAULT_WINDOW_S
    slack: float = DEFAULT_SLACK


@attrs.define
class RetryBudget:
    """Counts this front's requests and retries for one service within the last window."""

    settings: RetryBudgetSettings
    _requests: deque[float] = attrs.field(factory=deque)
    _retries: deque[float] = attrs.field(factory=deque)

    def count_request(self, now: float) -> None:
        """Count a client's request, whether or not it is sent to a replica."""
        self._requests.append(now)

    def may_retry(self, fronts: int, now: float) -> bool:
        """Return whether one more retry fits the budget; ``fronts`` share the slack."""
        self._forget(now)
        settings = self.settings
        slack = settings.slack / fronts if fronts > 0 else 0.0
        allowed = BUDGET_SAFETY_SHARE * (settings.ratio * len(self._requests) + slack)
        return len(self._retries) + 1 <= allowed

    def count_retry(self, now: float) -> None:
        """Count a retry that is sent."""
        self._retries.append(now)

    def _forget(self, now: float) -> None:
        oldest = now - self.settings.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()


class RetryBudgets:
    """This front's retry budgets by service."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service; created at its first use."""
        if service not in self._by_service:
            self._by_service[service] = RetryBudget(self._settings)
        return self._by_service[service]
