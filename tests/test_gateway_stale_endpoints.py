"""With a stale list of replicas, a request is not retried from one address to the next."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.retry_budget import RetryBudgets, RetryBudgetSettings
from rooklug.gateway.stale_endpoint_detector import StaleEndpointDetector
from tests.gateway_support import GatewayFront, answer_headers, replica, route_item

AT_MOST_ONCE = route_item("once", "/pay/")
NO_RETRIES = RetryBudgetSettings(ratio=0.0, window_s=10.0, slack=0.0)
ONE_RETRY = RetryBudgetSettings(ratio=0.0, window_s=10.0, slack=6.0)
MANY_RETRIES = RetryBudgetSettings(ratio=0.0, window_s=10.0, slack=1000.0)


def replica_in_zone(number: int, letter: str = "a"):
    return replica(number, zone=f"north-{letter}")


class RejectedRequests(unittest.TestCase):
    def reject(self, front: GatewayFront, call: fx.HttpCall) -> fx.Effect:
        (effect,) = front.handle(ev.HttpAnswered(call.call_id, 421, answer_headers(call), b""))
        return effect

    def reached_replicas(self, front: GatewayFront) -> int:
        """Send one request that every replica rejects as replaced; return how many it reached."""
        (effect,) = front.request("/pay/1")
        count = 0
        while isinstance(effect, fx.HttpCall):
            count += 1
            effect = self.reject(front, effect)
        self.assertEqual(effect.status, 503)
        return count

    def test_retrying_a_rejected_request_spends_the_budget(self):
        replicas = [replica_in_zone(n, letter) for n, letter in enumerate("abcdefgh", 1)]
        front = GatewayFront([AT_MOST_ONCE], replicas, budget=ONE_RETRY)
        self.assertEqual([self.reached_replicas(front) for _ in range(3)], [2, 1, 1])

    def test_a_request_reaches_few_replicas_of_a_stale_list(self):
        front = GatewayFront(
            [AT_MOST_ONCE], [replica_in_zone(n) for n in range(1, 9)], budget=MANY_RETRIES
        )
        self.assertEqual(self.reached_replicas(front), 2)

    def test_later_requests_reach_at_most_one_suspect_replica(self):
        front = GatewayFront(
            [AT_MOST_ONCE], [replica_in_zone(n) for n in range(1, 9)], budget=MANY_RETRIES
        )
        self.reached_replicas(front)
        self.assertEqual(self.reached_replicas(front), 1)

    def test_other_zones_are_preferred(self):
        stale = [replica_in_zone(n) for n in range(1, 6)]
        valid = replica_in_zone(6, "b")
        front = GatewayFront([AT_MOST_ONCE], [*stale, valid], budget=MANY_RETRIES)
        front.decision.traffic.record_address_mismatch(stale[0])
        front.decision.traffic.record_address_mismatch(stale[1])
        for _ in range(20):
            (call,) = front.request("/pay/1")
            self.assertEqual(call.address, valid.address)

    def test_retrying_an_unsent_request_after_a_rejection_needs_the_budget(self):
        front = GatewayFront(
            [AT_MOST_ONCE], [replica_in_zone(n, letter) for n, letter in enumerate("abcd", 1)]
        )
        (call,) = front.request("/pay/1")
        second = self.reject(front, call)
        front.executor.forwarder.budgets = RetryBudgets(NO_RETRIES)
        (effect,) = front.handle(ev.HttpFailed(second.call_id, "refused", ev.SendState.NOT_SENT))
        self.assertEqual(effect.status, 503)


class Detector(unittest.TestCase):
    def test_one_replaced_replica_does_not_make_its_zone_suspect(self):
        detector = StaleEndpointDetector()
        detector.record_mismatch("r-1", "a")
        self.assertTrue(detector.is_replaced("r-1"))
        self.assertFalse(detector.is_suspect("r-2", "a"))

    def test_two_make_the_zone_suspect_and_an_answer_confirms_a_replica(self):
        detector = StaleEndpointDetector()
        detector.record_mismatch("r-1", "a")
        detector.record_mismatch("r-2", "a")
        self.assertTrue(detector.is_suspect("r-3", "a"))
        self.assertFalse(detector.is_suspect("r-4", "b"))
        detector.record_match("r-3")
        self.assertFalse(detector.is_suspect("r-3", "a"))

    def test_a_newer_list_without_them_ends_the_suspicion(self):
        detector = StaleEndpointDetector()
        detector.record_mismatch("r-1", "a")
        detector.record_mismatch("r-2", "a")
        detector.apply_list({"r-2", "r-3"})
        self.assertTrue(detector.is_replaced("r-2"))
        self.assertFalse(detector.is_suspect("r-3", "a"))
