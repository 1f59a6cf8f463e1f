"""Concurrency limit, slow start, retry budget, queue, health and retry-after.

Several are compared with simple oracles on random steps.
"""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.front.attempt import AttemptOutcome
from rooklug.front.health import MAX_EJECTION_S, ReplicaHealth
from rooklug.front.limits import RETRY_BURST, RETRY_FLOOR_PER_S, ConcurrencyLimit, RetryBudget
from rooklug.front.overload import Overload
from rooklug.front.routing_view import RoutingView, ViewSources
from rooklug.front.slow_start_tracker import SlowStartTracker
from rooklug.front.view_building import build_routing_view
from rooklug.front.wait_queue import WaitQueue
from rooklug.wire.generated.control.ttypes import PlanBody
from tests.front_support import listed, loaded

LIMIT_STEPS = st.lists(
    st.one_of(
        st.tuples(st.floats(0, 1e4), st.integers(0, 10**6), st.integers(1, 64)),
        st.sampled_from(["busy", "timed out"]),
        st.integers(1, 16),
    ),
    max_size=60,
)
QUEUE_STEPS = st.lists(
    st.tuples(st.sampled_from(["add", "remove", "expire"]), st.integers(0, 3), st.integers(0, 9)),
    max_size=60,
)


def view_of(replicas: list) -> RoutingView:
    entries = (listed("a", "n1", "north"), listed("b", "n1", "north"))
    sources = ViewSources(replicas=entries, plan=PlanBody(1, replicas, [], "test"))
    return build_routing_view("f", "n1", "north", sources)


class ConcurrencyLimitTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(LIMIT_STEPS)
    def test_stays_between_one_and_reported_concurrency(self, steps) -> None:
        limit, maximum = ConcurrencyLimit(8, 2), 8
        for step in steps:
            if step == "busy":
                limit.record_busy()
            elif step == "timed out":
                limit.record_timeout()
            elif isinstance(step, int):
                maximum = step
                limit.set_maximum(step)
            else:
                limit.record_first_chunk(*step)
            self.assertTrue(1 <= limit.value <= maximum)

    def test_grows_and_shrinks_with_latency(self) -> None:
        limit = ConcurrencyLimit(32, 4)
        for _ in range(200):
            limit.record_first_chunk(0.1, 100, limit.value)
        grown = limit.value
        self.assertGreater(grown, 16)
        for _ in range(30):
            limit.record_first_chunk(0.5, 100, limit.value)
        self.assertLess(limit.value, grown / 2)

    def test_unused_limit_does_not_grow(self) -> None:
        limit = ConcurrencyLimit(32, 4)
        for _ in range(100):
            limit.record_first_chunk(0.1, 100, 1)
        self.assertEqual(limit.value, 4)

    def test_long_prompts_are_not_taken_for_congestion(self) -> None:
        limit = ConcurrencyLimit(32, 8)
        for number in range(200):
            tokens = 100 if number % 2 else 100_000
            limit.record_first_chunk(tokens / 1000, tokens, limit.value)
        self.assertGreaterEqual(limit.value, 8)


REPLICA_STATES = st.none() | st.tuples(st.integers(1, 2), st.booleans())


class SlowStartTrackerTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.floats(0, 6), REPLICA_STATES), min_size=1, max_size=12))
    def test_shares_match_oracle(self, steps) -> None:
        """The oracle computes the share from the time since the slow start last began."""
        tracker, now, before, started = SlowStartTracker(), 100.0, None, None
        for number, (pause, state) in enumerate(steps):
            now += pause
            other = loaded("b")
            plan = [other] if state is None else [other, loaded("a", state[1], str(state[0]))]
            tracker.apply_view(view_of(plan), now)
            tracker.start_clock("a", "talk", now)
            if state is not None:
                is_new = before is None or before[0] != state[0]
                lost_cache = before is not None and state[1] and not before[1]
                if (is_new and (number > 0 or state[1])) or lost_cache:
                    started = now
                elif is_new:
                    started = None
                share = 1.0 if started is None else min(1.0, 0.05 ** (1 - (now - started) / 10))
                self.assertAlmostEqual(tracker.replica_share("a", "talk", now), share)
            self.assertEqual(tracker.replica_share("b", "talk", now), 1.0)
            before = state

    def test_loading_a_second_model_keeps_the_first_at_full_share(self) -> None:
        tracker = SlowStartTracker()
        tracker.apply_view(view_of([loaded("a")]), 1.0)
        both = ["talk", "other"]
        plan = [loaded("a", True, loaded_models=both, intended_models=both)]
        tracker.apply_view(view_of(plan), 2.0)
        self.assertEqual(tracker.replica_share("a", "talk", 2.0), 1.0)
        self.assertEqual(tracker.replica_share("a", "other", 2.0), 0.05)

    def test_loaded_model_keeps_its_share_while_not_planned(self) -> None:
        tracker = SlowStartTracker()
        tracker.apply_view(view_of([loaded("a"), loaded("b")]), 1.0)
        tracker.apply_view(view_of([loaded("a", intended_models=[]), loaded("b")]), 2.0)
        tracker.apply_view(view_of([loaded("a"), loaded("b")]), 3.0)
        self.assertEqual(tracker.replica_share("a", "talk", 3.0), 1.0)
        tracker.apply_view(view_of([loaded("a", loaded_models=[]), loaded("b")]), 4.0)
        tracker.apply_view(view_of([loaded("a"), loaded("b")]), 5.0)
        self.assertEqual(tracker.replica_share("a", "talk", 5.0), 0.05)

    def test_clock_starts_with_first_request(self) -> None:
        tracker = SlowStartTracker()
        tracker.apply_view(view_of([loaded("b")]), 1.0)
        tracker.apply_view(view_of([loaded("a", True), loaded("b")]), 2.0)
        tracker.start_clock("a", "talk", 60.0)
        self.assertEqual(tracker.replica_share("a", "talk", 60.0), 0.05)

    def test_region_with_suspended_slow_start_restarts_clock(self) -> None:
        tracker = SlowStartTracker()
        tracker.apply_view(view_of([loaded("a", True)]), 1.0)
        tracker.apply_view(view_of([loaded("a", True, intended_models=[])]), 2.0)
        tracker.apply_view(view_of([loaded("a", True)]), 3.0)
        tracker.start_clock("a", "talk", 60.0)
        view = view_of([loaded("a", True)])
        self.assertEqual(tracker.region_share(view.serving("talk"), "talk", 60.0), 0.05)

    def test_replica_warmed_by_other_fronts_has_full_share(self) -> None:
        tracker = SlowStartTracker()
        tracker.apply_view(view_of([loaded("b")]), 1.0)
        tracker.apply_view(view_of([loaded("b")]), 61.0)
        tracker.apply_view(view_of([loaded("a"), loaded("b")]), 62.0)
        tracker.start_clock("a", "talk", 90.0)
        self.assertEqual(tracker.replica_share("a", "talk", 90.0), 1.0)


class RetryBudgetTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.booleans(), max_size=400), st.floats(0, 1))
    def test_retries_stay_within_share_of_first_attempts(self, tries, share) -> None:
        budget, granted, firsts, now = RetryBudget(), 0, 0, 0.0
        for is_first in tries:
            now += 0.01
            if is_first:
                firsts += 1
                budget.record_first_attempt(share)
            else:
                granted += budget.try_spend(now)
            ceiling = RETRY_BURST / 2 + share * firsts + RETRY_FLOOR_PER_S * now
            self.assertLessEqual(granted, ceiling + 1e-6)


class WaitQueueTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(QUEUE_STEPS)
    def test_matches_sorted_list(self, steps) -> None:
        queue, oracle, capacity = WaitQueue(), [], 4
        for number, (step, priority, value) in enumerate(steps):
            if step == "add":
                lost = queue.add(number, priority, float(value), "lane", capacity)
                oracle.append((-priority, number, float(value)))
                oracle.sort()
                self.assertEqual(lost, [entry[1] for entry in oracle[capacity:]])
                del oracle[capacity:]
            elif step == "remove" and oracle:
                gone = oracle.pop(value % len(oracle))[1]
                self.assertTrue(queue.remove(gone))
                self.assertFalse(queue.remove(gone))
            elif step == "expire":
                expected = [entry[1] for entry in oracle if entry[2] <= value]
                self.assertEqual(queue.take_expired(float(value)), expected)
                oracle = [entry for entry in oracle if entry[2] > value]
            self.assertEqual([entry.http_id for entry in queue], [entry[1] for entry in oracle])
            self.assertLessEqual(len(queue), capacity)
            ahead = sum(entry[0] <= -priority for entry in oracle)
            self.assertEqual(queue.outlook(priority, capacity).ahead, ahead)


class HealthTest(unittest.TestCase):
    def test_ejections_grow_to_maximum_and_end_with_success(self) -> None:
        health, now, waits = ReplicaHealth(), 0.0, []
        for _ in range(6):
            self.assertTrue(health.record_failure(AttemptOutcome.CONNECT_FAILED, now, Random(1)))
            waits.append(health.ejected_until - now)
            self.assertTrue(health.on_probation)
            now = health.ejected_until
            self.assertFalse(health.is_ejected(now))
        self.assertLess(waits[0], 1.5)
        self.assertGreater(waits[2], waits[0])
        self.assertLessEqual(max(waits), MAX_EJECTION_S * 1.25)
        health.record_success()
        self.assertFalse(health.on_probation)

    def test_busy_and_cancelled_do_not_count_as_failures(self) -> None:
        health = ReplicaHealth()
        for outcome in (AttemptOutcome.BUSY, AttemptOutcome.CANCELLED) * 9:
            self.assertFalse(health.record_failure(outcome, 1.0, Random(1)))
        self.assertFalse(health.record_failure(AttemptOutcome.TIMED_OUT, 1.0, Random(1)))
        self.assertTrue(health.record_failure(AttemptOutcome.TIMED_OUT, 1.0, Random(1)))


class OverloadTest(unittest.TestCase):
    def test_retry_after_grows_and_is_jittered(self) -> None:
        serving, refusing = Overload(Random(1)), Overload(Random(1))
        for _ in range(400):
            serving.record_served(1.0)
        low = {serving.record_refusal(1.0) for _ in range(20)}
        high = {refusing.record_refusal(1.0) for _ in range(200)}
        self.assertLessEqual(max(low), 2)
        self.assertGreaterEqual(len(high), 4)
        self.assertGreaterEqual(min(high | low), 1)
        self.assertLessEqual(max(high), 6)
