"""The choice of a replica: prefix blocks, loads, the region plan and the prefill rate."""

import unittest

import attrs

from rooklug.engine import events as ev
from rooklug.gateway.prefill_rate import PrefillRate
from rooklug.gateway.prefix_cache_table import CACHE_TTL_S, PrefixCacheTable
from rooklug.gateway.replica_load import RESPONSE_TIMEOUT_S, ReplicaLoad
from rooklug.gateway.requests import PrefixBlock
from rooklug.gateway.view import GatewayView, RegionShare
from tests.gateway_support import NAMES, GatewayFront, replica, route_item

ROUTE = route_item("s", "/s/", execution="event_stream", service="model", affinity=True)
FIRST, SECOND, UNIQUE = PrefixBlock("a", 300), PrefixBlock("b", 500), PrefixBlock("c", 100)


class Prefixes(unittest.TestCase):
    def test_a_block_counts_as_cached_only_after_all_blocks_before_it(self):
        table = PrefixCacheTable()
        table.record_use("r", (FIRST, SECOND), 10_000, 0.0)
        self.assertEqual(table.missing_tokens("r", (FIRST, SECOND, UNIQUE), 1.0), 100)
        self.assertEqual(table.missing_tokens("r", (UNIQUE, FIRST, SECOND), 1.0), 900)
        self.assertEqual(table.missing_tokens("other", (FIRST,), 1.0), 300)

    def test_blocks_expire_and_are_evicted_when_memory_is_full(self):
        table = PrefixCacheTable()
        table.record_use("r", (FIRST,), 10_000, 0.0)
        self.assertEqual(table.missing_tokens("r", (FIRST,), CACHE_TTL_S + 0.1), 300)
        table.record_use("r", (SECOND,), 900, 1.0)
        self.assertEqual(table.missing_tokens("r", (FIRST,), 1.0), 300)
        self.assertEqual(table.missing_tokens("r", (SECOND,), 1.0), 0)

    def test_blocks_of_removed_replicas_are_dropped(self):
        table = PrefixCacheTable()
        table.record_use("r", (FIRST,), 10_000, 0.0)
        table.forget_except({"other"})
        self.assertEqual(table.missing_tokens("r", (FIRST,), 0.0), 300)


class Loads(unittest.TestCase):
    def test_only_a_replica_with_calls_in_flight_can_be_unresponsive(self):
        load = ReplicaLoad()
        self.assertFalse(load.is_unresponsive(100.0))
        load.record_send(1, 50, 100.0)
        self.assertFalse(load.is_unresponsive(99.9 + RESPONSE_TIMEOUT_S))
        self.assertTrue(load.is_unresponsive(100.1 + RESPONSE_TIMEOUT_S))
        load.record_response(1, 101.5)
        self.assertFalse(load.is_unresponsive(101.6))
        load.record_end(1, 101.7)
        self.assertFalse(load.is_unresponsive(200.0))
        load.record_send(2, 50, 200.0)
        self.assertFalse(load.is_unresponsive(200.1))

    def test_a_prompt_is_queued_until_its_first_response_byte(self):
        load = ReplicaLoad()
        load.record_send(1, 50, 0.0)
        load.record_send(2, 70, 0.0)
        self.assertEqual(load.queued_prefill_tokens, 120)
        load.record_response(1, 0.1)
        self.assertEqual(load.queued_prefill_tokens, 70)
        load.record_end(2, 0.2)
        self.assertEqual(load.queued_prefill_tokens, 0)


class Choice(unittest.TestCase):
    def setUp(self):
        self.front = GatewayFront([ROUTE], [replica(n, "model") for n in range(1, 5)])

    def send(self, prefix_blocks: str):
        (call,) = self.front.request("/s/1", headers={NAMES.prompt_parts: prefix_blocks})
        return call

    def test_requests_that_share_blocks_go_to_one_replica(self):
        calls = [self.send(f"aa:3000,bb:5000,{n:x}:10") for n in range(4)]
        self.assertEqual(len({call.address for call in calls}), 1)

    def test_fronts_choose_the_same_replica_without_communicating(self):
        other = GatewayFront([ROUTE], [replica(n, "model") for n in range(1, 5)])
        (call,) = other.request("/s/1", headers={NAMES.prompt_parts: "aa:3000,bb:5000,cc:10"})
        self.assertEqual(self.send("aa:3000,bb:5000,dd:10").address, call.address)

    def test_a_hot_prompt_is_spread_over_several_replicas(self):
        calls = [self.send("aa:100,bb:100,cc:4000") for _ in range(8)]
        self.assertGreater(len({call.address for call in calls}), 2)

    def test_the_planned_region_is_preferred(self):
        far = replica(9, "model", region="south", zone="south-a")
        front = GatewayFront([ROUTE], [replica(1, "model"), far])
        matrix = {("model", "north", ()): (RegionShare("south", 0, 1.0),)}
        front.decision.apply_view(_with(front.view, matrix=matrix))
        (call,) = front.request("/s/1")
        self.assertEqual(call.address, far.address)

    def test_replicas_that_drain_or_lie_outside_allowed_zones_and_regions_get_nothing(self):
        home = {**ROUTE, "home_regions": ["north"]}
        replicas = [
            replica(1, "model", zone="emptied"),
            replica(2, "model", draining=True),
            replica(3, "model", region="south", zone="south-a"),
        ]
        front = GatewayFront([home], replicas)
        front.decision.apply_view(_with(front.view, drained_zones=frozenset({"emptied"})))
        (answer,) = front.request("/s/1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)

    def test_retry_after_is_at_most_a_third_of_the_clients_deadline(self):
        front = GatewayFront([ROUTE], [])
        (answer,) = front.request("/s/1", headers={NAMES.deadline_ms: "600"})
        self.assertLessEqual(float(answer.headers["retry-after"]), 0.2)

    def test_a_replica_that_resets_a_connection_is_ejected_for_a_while(self):
        first = self.send("aa:3000,bb:5000,cc:10")
        self.front.handle(ev.HttpFailed(first.call_id, "reset", ev.SendState.MAYBE_SENT))
        self.assertNotEqual(self.send("aa:3000,bb:5000,dd:10").address, first.address)
        self.front.now += 2.0
        self.assertEqual(self.send("aa:3000,bb:5000,ee:10").address, first.address)

    def test_an_unresponsive_replica_is_avoided(self):
        first = self.send("aa:3000,bb:5000,cc:10")
        self.front.now += RESPONSE_TIMEOUT_S + 0.1
        self.assertNotEqual(self.send("aa:3000,bb:5000,dd:10").address, first.address)


def _with(view: GatewayView, **fields) -> GatewayView:
    return attrs.evolve(view, **fields)


class Rates(unittest.TestCase):
    def test_the_rate_converges_to_the_observed_rate(self):
        rate = PrefillRate()
        for number in range(200):
            rate.record_send(number, 10_000, float(number))
            rate.record_response(number, number + 1.0)
        self.assertAlmostEqual(rate.tokens_per_s, 10_000, delta=500)

    def test_short_prefills_and_lost_requests_are_ignored(self):
        rate = PrefillRate()
        rate.record_send(1, 10, 0.0)
        rate.record_response(1, 9.0)
        rate.record_send(2, 10_000, 0.0)
        rate.record_end(2)
        rate.record_response(2, 9.0)
        self.assertEqual(rate.tokens_per_s, PrefillRate().tokens_per_s)
