"""Scoring of a run: the credit that requests earn, and the prices deducted from it."""

from collections import defaultdict

import attrs

from rooklug_lab.policy.arrivals import ClientRequest
from rooklug_lab.policy.shapes import PolicySite

WINDOW_S = 2.0
"""Length of the windows, by arrival, of which the two worst count."""
LARGEST_CREDIT = 4.0
"""Upper bound of the size factor of a request's credit."""
SIZE_BASE, SIZE_SHARE = 0.3, 0.7
"""The size factor is linear in the relative prompt size: base plus share times size."""
_GIGABYTE = 1e9
_THOUSAND = 1e3


@attrs.define(eq=False)
class Outcome:
    """The result of one request over all of its attempts.

    ``attempt_at`` (latest attempt) and ``first_at`` (first event) are seconds since the start of
    the run. ``transit_s`` is the time from arrival at the client to the replica, ``waiting_s`` the
    queue time there, ``prefill_s`` the prefill time.
    """

    request: ClientRequest
    attempts: int = 0
    refusals: int = 0
    attempt_at: float = 0.0
    refused_fast: bool = False
    first_at: float = 0.0
    longest_gap_s: float = 0.0
    complete: bool = False
    transit_s: float = 0.0
    waiting_s: float = 0.0
    prefill_s: float = 0.0
    tokens_again: int = 0

    @property
    def full_credit(self) -> float:
        """The full credit of this request, earned if it is answered in time."""
        kind = self.request.kind
        if not kind.is_stream:
            return kind.worth
        return kind.worth * min(SIZE_BASE + SIZE_SHARE * self.request.size, LARGEST_CREDIT)

    @property
    def first_s(self) -> float:
        """The time to the first event, from the client's first attempt."""
        return self.first_at - self.request.at

    @property
    def in_time(self) -> bool:
        """Whether the answer met its latency objective and its gap objective."""
        return (
            self.complete
            and self.first_s <= self.request.kind.objective_s
            and self._meets_gap_objective
        )

    @property
    def earned(self) -> float:
        """The credit earned: full in time, the late share otherwise, 0 if incomplete.

        After a fast refusal, a retry that meets the objective earns the mean of full and late.
        """
        if not self.complete:
            return 0.0
        late = self.full_credit * self.request.kind.late_share
        if self.in_time:
            return self.full_credit
        again_s = self.first_at - self.attempt_at
        if (
            self.refused_fast
            and self._meets_gap_objective
            and again_s <= self.request.kind.objective_s
        ):
            return (self.full_credit + late) / 2
        return late

    @property
    def _meets_gap_objective(self) -> bool:
        gap_s = self.request.kind.gap_s
        return not gap_s or self.longest_gap_s <= gap_s


@attrs.define
class Usage:
    """Resource usage of a run; ``_prices`` names what is deducted from the credit."""

    tokens_read: int = 0
    tokens_again: int = 0
    bytes_between_zones: float = 0.0
    bytes_between_regions: float = 0.0
    connections: int = 0
    arrivals: int = 0
    repeats: int = 0
    worst_cold_second: int = 0
    preempted: int = 0


@attrs.frozen
class Verdict:
    """The scores of a run; ``total`` is the weighted credit shares minus the prices."""

    whole_day: float
    worst_windows: float
    worst_kind: float
    prices: dict[str, float]
    total: float
    by_kind: dict[str, float]


def judge(site: PolicySite, outcomes: list[Outcome], usage: Usage) -> Verdict:
    """Return the scores of a finished run."""
    full_credit = sum(outcome.full_credit for outcome in outcomes)
    whole_day = _share(outcomes)
    by_kind = {name: _share(found) for name, found in _by_kind(outcomes).items()}
    windows = sorted(_share(found) for found in _by_window(outcomes).values())
    worst_windows = sum(windows[:2]) / max(len(windows[:2]), 1)
    worst_kind = min(by_kind.values(), default=0.0)
    prices = {name: price / full_credit for name, price in _prices(site, usage).items()}
    goal = site.goal
    credit = goal.whole_day * whole_day + goal.worst_windows * worst_windows
    credit += goal.worst_kind * worst_kind
    return Verdict(
        whole_day, worst_windows, worst_kind, prices, credit - sum(prices.values()), by_kind
    )


def _share(outcomes: list[Outcome]) -> float:
    full_credit = sum(outcome.full_credit for outcome in outcomes)
    return sum(outcome.earned for outcome in outcomes) / full_credit if full_credit else 1.0


def _by_kind(outcomes: list[Outcome]) -> dict[str, list[Outcome]]:
    """Return the outcomes by kind; the largest 10 % and the next 20 % of streams are kinds, too."""
    found: dict[str, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        found[outcome.request.kind.name].append(outcome)
    for name, members in list(found.items()):
        if members[0].request.kind.is_stream:
            ranked = sorted(members, key=lambda outcome: -outcome.request.size)
            tenth = max(len(ranked) // 10, 1)
            found[f"{name}, largest"] = ranked[:tenth]
            found[f"{name}, large"] = ranked[tenth : 3 * tenth]
    return found


def _by_window(outcomes: list[Outcome]) -> dict[int, list[Outcome]]:
    found: dict[int, list[Outcome]] = defaultdict(list)
    for outcome in outcomes:
        found[int(outcome.request.at // WINDOW_S)].append(outcome)
    return found


def _prices(site: PolicySite, usage: Usage) -> dict[str, float]:
    prices = site.prices
    return {
        "read again": usage.tokens_again / _THOUSAND * prices.tokens_again_k,
        "zones": usage.bytes_between_zones / _GIGABYTE * prices.gigabyte_between_zones,
        "regions": usage.bytes_between_regions / _GIGABYTE * prices.gigabyte_between_regions,
        "connections": usage.connections * prices.connection,
    }
