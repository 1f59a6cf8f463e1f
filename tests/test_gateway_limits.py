"""Bounds on the fronts' joint traffic: replicas in slow start, and retries."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.gateway.retry_budget import RetryBudget, RetryBudgetSettings
from rooklug.gateway.slow_start_limiter import SlowStartLimiter


def busiest_second(times: list[float]) -> int:
    """Return the maximum number of events within any one second."""
    return max((sum(t <= other < t + 1.0 for other in times) for t in times), default=0)


class SlowStart(unittest.TestCase):
    """Checks the joint rate of all fronts within any second while each sends as much as it may."""

    def busiest_second_of(self, fronts: int, rate: float, slack: int) -> int:
        ids = tuple(f"front-{n}" for n in range(fronts))
        limiters = [SlowStartLimiter(front_id, slack) for front_id in ids]
        times = []
        for step in range(600):
            now = step / 200
            for limiter in limiters:
                if limiter.may_send("r", rate, ids, now):
                    limiter.record_send("r", rate, ids, now)
                    times.append(now)
        self.assertTrue(times)
        return busiest_second(times)

    def test_any_number_of_fronts_stays_below_the_bound(self):
        for fronts in (1, 5, 11, 83):
            for rate, slack in ((10.0, 5), (2.0, 3), (40.0, 5)):
                with self.subTest(fronts=fronts, rate=rate, slack=slack):
                    self.assertLessEqual(
                        self.busiest_second_of(fronts, rate, slack), rate * 1.5 + slack
                    )

    def test_an_unlisted_front_sends_nothing(self):
        for ids in ((), ("front-1", "front-2")):
            self.assertFalse(SlowStartLimiter("front-9", 5).may_send("r", 5.0, ids, 0.0))

    def test_fronts_with_different_lists_stay_below_the_bound_together(self):
        """While a region restarts, each front's list of fronts grows, and the lists differ."""
        ids = tuple(f"front-{n}" for n in range(30))
        limiters = [SlowStartLimiter(front_id) for front_id in ids]
        times = []
        for step in range(600):
            now = step / 200
            for number, limiter in enumerate(limiters):
                known = ids[: min(30, max(0, step // 6 - number % 5))]
                senders = known[:2]
                if limiter.may_send("r", 8.8, senders, now):
                    limiter.record_send("r", 8.8, senders, now)
                    times.append(now)
        self.assertTrue(times)
        self.assertLessEqual(busiest_second(times), 8.8 * 1.5 + 5)

    def test_every_replica_in_slow_start_has_eligible_fronts(self):
        ids = tuple(f"front-{n}" for n in range(11))
        senders = Counter()
        for number in range(50):
            eligible = [
                i for i in ids if SlowStartLimiter(i, 5).may_send(f"r-{number}", 1.0, ids, 0.0)
            ]
            self.assertEqual(len(eligible), 5)
            senders.update(eligible)
        self.assertEqual(len(senders), 11)

    def test_a_service_without_a_slow_start_rate_is_not_limited(self):
        limiter = SlowStartLimiter("front-1")
        for _ in range(100):
            self.assertTrue(limiter.may_send("r", 0.0, (), 0.0))
            limiter.record_send("r", 0.0, (), 0.0)


class Retries(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 40), st.integers(0, 4)), max_size=300))
    @settings(max_examples=100, deadline=None)
    def test_all_fronts_together_stay_within_the_budget_in_every_window(self, arrivals):
        bounds = RetryBudgetSettings(ratio=0.2, window_s=10.0, slack=20.0)
        budgets = [RetryBudget(bounds) for _ in range(5)]
        requests, retries = [], []
        for at, number in sorted(arrivals):
            budgets[number].count_request(at)
            requests.append(at)
            while budgets[number].may_retry(len(budgets), at):
                budgets[number].count_retry(at)
                retries.append(at)
        for start in retries:
            spent = sum(start <= t <= start + bounds.window_s for t in retries)
            counted = [
                sum(begin <= t <= begin + bounds.window_s for t in requests)
                for begin in (start, start - bounds.window_s, start - bounds.window_s / 2)
            ]
            self.assertLessEqual(spent, bounds.ratio * max(counted) + bounds.slack)

    def test_a_front_without_a_list_of_fronts_has_no_slack(self):
        budget = RetryBudget(RetryBudgetSettings(ratio=0.2, slack=1000.0))
        budget.count_request(0.0)
        self.assertFalse(budget.may_retry(0, 0.0))
