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
FIRST, SECOND, OWN = PrefixBlock("a", 300), PrefixBlock("b", 500), PrefixBlock("c", 100)


class Prefixes(unittest.TestCase):
    def test_a_part_is_kept_only_after_all_before_it(self):
        table = PrefixCacheTable()
        table.record_use("r", (FIRST, SECOND), 10_000, 0.0)
        self.assertEqual(table.missing_tokens("r", (FIRST, SECOND, OWN), 1.0), 100)
        self.assertEqual(table.missing_tokens("r", (OWN, FIRST, SECOND), 1.0), 900)
        self.assertEqual(table.missing_tokens("other", (FIRST,), 1.0), 300)

    def test_parts_go_with_time_and_with_memory(self):
        table = PrefixCacheTable()
        table.record_use("r", (FIRST,), 10_000, 0.0)
        self.assertEqual(table.missing_tokens("r", (FIRST,), CACHE_TTL_S + 0.1), 300)
        table.record_use("r", (SECOND,), 900, 1.0)
        self.assertEqual(table.missing_tokens("r", (FIRST,), 1.0), 300)
        self.assertEqual(table.missing_tokens("r", (SECOND,), 1.0), 0)

    def test_a_replica_that_is_gone_holds_nothing(self):
        table = PrefixCacheTable()
        table.record_use("r", (FIRST,), 10_000, 0.0)
        table.forget_except({"other"})
        self.assertEqual(table.missing_tokens("r", (FIRST,), 0.0), 300)


class Loads(unittest.TestCase):
    def test_only_a_replica_that_owes_answers_is_silent(self):
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

    def test_prompts_wait_until_their_first_byte(self):
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

    def send(self, parts: str):
        (call,) = self.front.request("/s/1", headers={NAMES.prompt_parts: parts})
        return call

    def test_requests_that_share_parts_go_to_one_replica(self):
        calls = [self.send(f"aa:3000,bb:5000,{n:x}:10") for n in range(4)]
        self.assertEqual(len({call.address for call in calls}), 1)

    def test_fronts_that_know_nothing_of_each_other_agree(self):
        other = GatewayFront([ROUTE], [replica(n, "model") for n in range(1, 5)])
        (call,) = other.request("/s/1", headers={NAMES.prompt_parts: "aa:3000,bb:5000,cc:10"})
        self.assertEqual(self.send("aa:3000,bb:5000,dd:10").address, call.address)

    def test_one_hot_prompt_does_not_sink_a_replica(self):
        calls = [self.send("aa:100,bb:100,cc:4000") for _ in range(8)]
        self.assertGreater(len({call.address for call in calls}), 2)

    def test_the_plans_region_is_taken_first(self):
        far = replica(9, "model", region="south", zone="south-a")
        front = GatewayFront([ROUTE], [replica(1, "model"), far])
        cells = {("model", "north", ()): (RegionShare("south", 0, 1.0),)}
        front.decision.take_view(_with(front.view, matrix=cells))
        (call,) = front.request("/s/1")
        self.assertEqual(call.address, far.address)

    def test_emptied_zones_leaving_and_foreign_replicas_get_nothing(self):
        home = {**ROUTE, "home_regions": ["north"]}
        replicas = [
            replica(1, "model", zone="emptied"),
            replica(2, "model", draining=True),
            replica(3, "model", region="south", zone="south-a"),
        ]
        front = GatewayFront([home], replicas)
        front.decision.take_view(_with(front.view, drained_zones=frozenset({"emptied"})))
        (answer,) = front.request("/s/1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)

    def test_a_retry_after_fits_into_a_third_of_the_clients_time(self):
        front = GatewayFront([ROUTE], [])
        (answer,) = front.request("/s/1", headers={NAMES.deadline_ms: "600"})
        self.assertLessEqual(float(answer.headers["retry-after"]), 0.2)

    def test_a_replica_that_resets_a_connection_is_left_alone_for_a_while(self):
        first = self.send("aa:3000,bb:5000,cc:10")
        self.front.handle(ev.HttpFailed(first.call_id, "reset", ev.SendState.MAYBE_SENT))
        self.assertNotEqual(self.send("aa:3000,bb:5000,dd:10").address, first.address)
        self.front.now += 2.0
        self.assertEqual(self.send("aa:3000,bb:5000,ee:10").address, first.address)

    def test_a_silent_replica_is_passed_over(self):
        first = self.send("aa:3000,bb:5000,cc:10")
        self.front.now += RESPONSE_TIMEOUT_S + 0.1
        self.assertNotEqual(self.send("aa:3000,bb:5000,dd:10").address, first.address)


def _with(view: GatewayView, **fields) -> GatewayView:
    return attrs.evolve(view, **fields)


class Rates(unittest.TestCase):
    def test_the_rate_follows_what_is_seen(self):
        rate = PrefillRate()
        for number in range(200):
            rate.record_send(number, 10_000, float(number))
            rate.record_response(number, number + 1.0)
        self.assertAlmostEqual(rate.tokens_per_s, 10_000, delta=500)

    def test_short_reads_and_lost_requests_teach_nothing(self):
        rate = PrefillRate()
        rate.record_send(1, 10, 0.0)
        rate.record_response(1, 9.0)
        rate.record_send(2, 10_000, 0.0)
        rate.record_end(2)
        rate.record_response(2, 9.0)
        self.assertEqual(rate.tokens_per_s, PrefillRate().tokens_per_s)
