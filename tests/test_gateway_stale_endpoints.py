"""A list that is older than the replicas: requests don't wander from one to the next."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.retry_budget import RetryBudgets, RetryBudgetSettings
from rooklug.gateway.stale_endpoint_detector import StaleEndpointDetector
from tests.gateway_support import GatewayFront, replica, route_item

ONCE = route_item("once", "/pay/")
NO_REPEATS = RetryBudgetSettings(ratio=0.0, window_s=10.0, slack=0.0)
ONE_REPEAT = RetryBudgetSettings(ratio=0.0, window_s=10.0, slack=6.0)
MANY_REPEATS = RetryBudgetSettings(ratio=0.0, window_s=10.0, slack=1000.0)


def zone_of(number: int, letter: str = "a"):
    return replica(number, zone=f"north-{letter}")


class DeniedReplicas(unittest.TestCase):
    def denied(self, front: GatewayFront, call: fx.HttpCall) -> fx.Effect:
        (effect,) = front.handle(ev.HttpAnswered(call.call_id, 421, {}, b""))
        return effect

    def arrivals(self, front: GatewayFront) -> int:
        """Send one request; every replica denies it. Return how many it reached."""
        (effect,) = front.request("/pay/1")
        count = 0
        while isinstance(effect, fx.HttpCall):
            count += 1
            effect = self.denied(front, effect)
        self.assertEqual(effect.status, 503)
        return count

    def test_a_denied_request_that_is_sent_again_spends_the_budget(self):
        replicas = [zone_of(n, letter) for n, letter in enumerate("abcdefgh", 1)]
        front = GatewayFront([ONCE], replicas, budget=ONE_REPEAT)
        self.assertEqual([self.arrivals(front) for _ in range(3)], [2, 1, 1])

    def test_an_old_list_costs_one_request_few_arrivals(self):
        front = GatewayFront([ONCE], [zone_of(n) for n in range(1, 9)], budget=MANY_REPEATS)
        self.assertEqual(self.arrivals(front), 2)

    def test_later_requests_reach_one_doubtful_replica_at_most(self):
        front = GatewayFront([ONCE], [zone_of(n) for n in range(1, 9)], budget=MANY_REPEATS)
        self.arrivals(front)
        self.assertEqual(self.arrivals(front), 1)

    def test_other_zones_are_asked_first(self):
        old = [zone_of(n) for n in range(1, 6)]
        sure = zone_of(6, "b")
        front = GatewayFront([ONCE], [*old, sure], budget=MANY_REPEATS)
        front.decision.traffic.record_address_mismatch(old[0])
        front.decision.traffic.record_address_mismatch(old[1])
        for _ in range(20):
            (call,) = front.request("/pay/1")
            self.assertEqual(call.address, sure.address)

    def test_a_send_that_never_left_after_a_denial_needs_the_budget_too(self):
        front = GatewayFront([ONCE], [zone_of(n, letter) for n, letter in enumerate("abcd", 1)])
        (call,) = front.request("/pay/1")
        second = self.denied(front, call)
        front.executor.forwarder.budgets = RetryBudgets(NO_REPEATS)
        (effect,) = front.handle(ev.HttpFailed(second.call_id, "refused", ev.SendState.NOT_SENT))
        self.assertEqual(effect.status, 503)


class Doubt(unittest.TestCase):
    def test_one_replaced_replica_casts_no_doubt_on_its_zone(self):
        doubt = StaleEndpointDetector()
        doubt.record_mismatch("r-1", "a")
        self.assertTrue(doubt.is_replaced("r-1"))
        self.assertFalse(doubt.is_suspect("r-2", "a"))

    def test_a_second_one_does_and_an_answer_lifts_it_for_one_replica(self):
        doubt = StaleEndpointDetector()
        doubt.record_mismatch("r-1", "a")
        doubt.record_mismatch("r-2", "a")
        self.assertTrue(doubt.is_suspect("r-3", "a"))
        self.assertFalse(doubt.is_suspect("r-4", "b"))
        doubt.record_match("r-3")
        self.assertFalse(doubt.is_suspect("r-3", "a"))

    def test_a_list_that_no_longer_names_them_ends_the_doubt(self):
        doubt = StaleEndpointDetector()
        doubt.record_mismatch("r-1", "a")
        doubt.record_mismatch("r-2", "a")
        doubt.take_list({"r-2", "r-3"})
        self.assertTrue(doubt.is_replaced("r-2"))
        self.assertFalse(doubt.is_suspect("r-3", "a"))
