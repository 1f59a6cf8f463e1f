import unittest

import attrs

from rooklug.engine import events as ev
from rooklug.gateway.prefix_table import HELD_S, PrefixTable
from rooklug.gateway.read_rate import ReadRate
from rooklug.gateway.replica_load import SILENCE_S, ReplicaLoad
from rooklug.gateway.requests import PromptPart
from rooklug.gateway.view import GatewayView, RegionShare
from tests.gateway_support import NAMES, GatewayFront, replica, route_item

ROUTE = route_item("s", "/s/", execution="event_stream", service="model", affinity=True)
FIRST, SECOND, OWN = PromptPart("a", 300), PromptPart("b", 500), PromptPart("c", 100)


class Prefixes(unittest.TestCase):
    def test_a_part_is_kept_only_after_all_before_it(self):
        table = PrefixTable()
        table.used("r", (FIRST, SECOND), 10_000, 0.0)
        self.assertEqual(table.missing("r", (FIRST, SECOND, OWN), 1.0), 100)
        self.assertEqual(table.missing("r", (OWN, FIRST, SECOND), 1.0), 900)
        self.assertEqual(table.missing("other", (FIRST,), 1.0), 300)

    def test_parts_go_with_time_and_with_memory(self):
        table = PrefixTable()
        table.used("r", (FIRST,), 10_000, 0.0)
        self.assertEqual(table.missing("r", (FIRST,), HELD_S + 0.1), 300)
        table.used("r", (SECOND,), 900, 1.0)
        self.assertEqual(table.missing("r", (FIRST,), 1.0), 300)
        self.assertEqual(table.missing("r", (SECOND,), 1.0), 0)

    def test_a_replica_that_is_gone_holds_nothing(self):
        table = PrefixTable()
        table.used("r", (FIRST,), 10_000, 0.0)
        table.forget_except({"other"})
        self.assertEqual(table.missing("r", (FIRST,), 0.0), 300)


class Loads(unittest.TestCase):
    def test_only_a_replica_that_owes_answers_is_silent(self):
        load = ReplicaLoad()
        self.assertFalse(load.is_silent(100.0))
        load.sent(1, 50, 100.0)
        self.assertFalse(load.is_silent(99.9 + SILENCE_S))
        self.assertTrue(load.is_silent(100.1 + SILENCE_S))
        load.heard(1, 101.5)
        self.assertFalse(load.is_silent(101.6))
        load.ended(1, 101.7)
        self.assertFalse(load.is_silent(200.0))
        load.sent(2, 50, 200.0)
        self.assertFalse(load.is_silent(200.1))

    def test_prompts_wait_until_their_first_byte(self):
        load = ReplicaLoad()
        load.sent(1, 50, 0.0)
        load.sent(2, 70, 0.0)
        self.assertEqual(load.waiting_tokens, 120)
        load.heard(1, 0.1)
        self.assertEqual(load.waiting_tokens, 70)
        load.ended(2, 0.2)
        self.assertEqual(load.waiting_tokens, 0)


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
            replica(2, "model", leaving=True),
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
        self.front.now += SILENCE_S + 0.1
        self.assertNotEqual(self.send("aa:3000,bb:5000,dd:10").address, first.address)


def _with(view: GatewayView, **fields) -> GatewayView:
    return attrs.evolve(view, **fields)


class Rates(unittest.TestCase):
    def test_the_rate_follows_what_is_seen(self):
        rate = ReadRate()
        for number in range(200):
            rate.sent(number, 10_000, float(number))
            rate.heard(number, number + 1.0)
        self.assertAlmostEqual(rate.tokens_per_s, 10_000, delta=500)

    def test_short_reads_and_lost_requests_teach_nothing(self):
        rate = ReadRate()
        rate.sent(1, 10, 0.0)
        rate.heard(1, 9.0)
        rate.sent(2, 10_000, 0.0)
        rate.ended(2)
        rate.heard(2, 9.0)
        self.assertEqual(rate.tokens_per_s, ReadRate().tokens_per_s)
