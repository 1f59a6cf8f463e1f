"""Many serving fronts tell a collector what they have under way, and hear the others' sums."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.load_collector import (
    MAX_ANSWERED_PROMPTS,
    MAX_STORED_PROMPTS,
    LoadCollector,
)
from rooklug.gateway.peer_exchange import (
    COLLECTOR_RETRY_S,
    MAX_DIRECT_PEERS,
    STANDBY_INTERVAL_S,
    PeerExchange,
)
from rooklug.gateway.replica_rate_limiter import SlowStartBound
from rooklug.gateway.serving_fronts import load_collectors, serving_fronts
from rooklug.routing.peer_loads import NO_USAGE, REPORT_TTL_S, ReplicaUsage
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.peers.ttypes import FrontUse, FrontUseTaken, ReplicaUse, SentPrompt
from tests.gateway_support import GatewayFront, replica
from tests.test_gateway_peers import LONG, ROUTE, SHORT, calls_of, exchange_of

FRONTS = 80


def word(node: str, sequence: int, running: int = 1, seen: int = 0, **fields) -> FrontUse:
    uses = [ReplicaUse("model-1", running, 100 * running)] if running else []
    return FrontUse(node, f"{node}-1", sequence, uses, fields.get("prompts", []), prompts_seen=seen)


def prompt(name: str) -> SentPrompt:
    return SentPrompt("model-1", [name], [10], 1_000)


class Collecting(unittest.TestCase):
    def test_each_front_hears_the_sum_of_the_others(self):
        collector = LoadCollector()
        collector.take(word("a", 1, running=2), 0.0)
        collector.take(word("b", 1, running=3), 0.0)
        told = collector.take(word("c", 1, running=7), 0.1)
        self.assertEqual([ReplicaUse("model-1", 5, 500)], told.others)

    def test_a_front_that_fell_silent_is_left_out(self):
        collector = LoadCollector()
        collector.take(word("a", 1, running=2), 0.0)
        self.assertEqual([], collector.take(word("b", 1), REPORT_TTL_S + 0.1).others)

    def test_prompts_are_told_once_and_never_to_their_sender(self):
        collector = LoadCollector()
        collector.take(word("a", 1, prompts=[prompt("x"), prompt("y")]), 0.0)
        first = collector.take(word("b", 1), 0.0)
        self.assertEqual([["x"], ["y"]], [told.part_ids for told in first.prompts])
        self.assertEqual([], collector.take(word("b", 2, seen=first.prompts_seen), 0.0).prompts)
        self.assertEqual([], collector.take(word("a", 2), 0.0).prompts)

    def test_a_late_message_adds_nothing(self):
        collector = LoadCollector()
        collector.take(word("a", 5, running=2), 0.0)
        collector.take(word("a", 4, running=9, prompts=[prompt("x")]), 0.0)
        told = collector.take(word("b", 1), 0.0)
        self.assertEqual([ReplicaUse("model-1", 2, 200)], told.others)
        self.assertEqual([], told.prompts)

    def test_a_number_that_it_never_gave_counts_as_none(self):
        collector = LoadCollector()
        collector.take(word("a", 1, prompts=[prompt("x")]), 0.0)
        for seen in (-1, 10**12):
            self.assertEqual(1, len(collector.take(word("b", 1, seen=seen), 0.0).prompts))

    def test_what_it_keeps_and_tells_is_bounded(self):
        collector = LoadCollector()
        many = [prompt(str(number)) for number in range(3 * MAX_STORED_PROMPTS)]
        collector.take(word("a", 1, prompts=many), 0.0)
        told = collector.take(word("b", 1), 0.0)
        self.assertEqual(MAX_ANSWERED_PROMPTS, len(told.prompts))
        self.assertEqual(["1535"], told.prompts[-1].part_ids)
        self.assertEqual(MAX_STORED_PROMPTS, len(collector._prompts))


class Asking(unittest.TestCase):
    """Eighty fronts: ten take the traffic of the one region, the next ones collect."""

    def setUp(self):
        self.gateway = GatewayFront([ROUTE], [replica(1, "model"), replica(2, "model")], FRONTS)
        view = self.gateway.view
        self.serving = view.send_shares.serving["north"]
        self.collectors = [node.node_id for node in view.load_collectors("north")]
        self.exchange = self.exchange_named(self.serving[0])

    def exchange_named(self, name: str) -> PeerExchange:
        return exchange_of(self.gateway, int(name.rpartition("-")[2]))

    def tell(self) -> list[fx.Call]:
        return calls_of(self.exchange.handle(ev.TimerFired("tell"), self.gateway.now))

    def test_collectors_stand_by(self):
        self.assertEqual(3, len(self.collectors))
        self.assertFalse(set(self.collectors) & set(self.serving))

    def test_one_collector_is_asked_instead_of_all_peers(self):
        self.gateway.request("/s/1", headers=LONG)
        (call,) = self.tell()
        self.assertEqual(self.address_of(self.collectors[0]), call.address)
        self.assertEqual(0, call.request.prompts_seen)

    def address_of(self, name: str) -> str:
        nodes = {node.node_id: node.internal_address for node in self.gateway.view.fronts}
        return nodes[name]

    def test_its_answer_shapes_the_next_choice(self):
        self.gateway.decision.traffic.rate_limiter.bound = SlowStartBound(slack=1e6)
        (busy,) = self.gateway.request("/s/1", headers=LONG)
        (call,) = self.tell()
        idle = "model-2" if busy.address == replica(1, "model").address else "model-1"
        told = FrontUseTaken([ReplicaUse(idle, 40, 500_000)], [], 0)
        told = decode(FrontUseTaken, encode(told)).ok
        self.exchange.handle(ev.CallAnswered(call.call_id, told), self.gateway.now)
        (sent,) = self.gateway.request("/s/2", headers=SHORT)
        self.assertEqual(busy.address, sent.address)

    def test_a_newer_answer_takes_the_place_of_the_older(self):
        for running in (5, 2):
            self.gateway.request("/s/1", headers=SHORT)
            (call,) = self.tell()
            told = FrontUseTaken([ReplicaUse("model-1", running, 0)], [], 0)
            self.exchange.handle(ev.CallAnswered(call.call_id, told), self.gateway.now)
        peers = self.gateway.decision.traffic.peers
        self.assertEqual(ReplicaUsage(2, 0), peers.usage_at("model-1", self.gateway.now))

    def test_a_silent_collector_is_passed_over_and_later_asked_again(self):
        self.gateway.request("/s/1", headers=LONG)
        for name in self.collectors:
            (call,) = self.tell()
            self.assertEqual(self.address_of(name), call.address)
            self.exchange.handle(ev.CallFailed(call.call_id, "deadline", True), self.gateway.now)
        directly = self.tell()
        self.assertEqual(MAX_DIRECT_PEERS, len(directly))
        self.assertTrue(all(call.request.prompts_seen is None for call in directly))
        for call in directly:
            self.exchange.handle(ev.CallAnswered(call.call_id, FrontUseTaken()), self.gateway.now)
        self.gateway.now += COLLECTOR_RETRY_S + 0.1
        (call,) = self.tell()
        self.assertEqual(self.address_of(self.collectors[0]), call.address)

    def test_a_peer_that_fails_is_no_lost_collector(self):
        self.gateway.request("/s/1", headers=LONG)
        self.exchange._lost_until = dict.fromkeys(self.collectors, self.gateway.now + 1)
        for call in self.tell():
            self.exchange.handle(ev.CallFailed(call.call_id, "deadline", True), self.gateway.now)
        self.assertEqual(set(self.collectors), set(self.exchange._lost_until))

    def test_the_collector_answers_what_others_told_it(self):
        collector = self.exchange_named(self.collectors[0])
        for name in self.serving[1:4]:
            message = decode(FrontUse, encode(word(name, 1, running=2))).ok
            collector.handle(ev.CallArrived(1, name, message), self.gateway.now)
        (answer,) = collector.handle(ev.CallArrived(2, "x", word("x", 1)), self.gateway.now)
        self.assertEqual([ReplicaUse("model-1", 6, 600)], answer.answer.others)
        peers = self.gateway.decision.traffic.peers
        self.assertEqual(NO_USAGE, peers.usage_at("model-1", self.gateway.now))

    def test_a_front_that_stands_by_looks_seldom(self):
        standby = self.exchange_named(self.collectors[0])
        (timer,) = standby.handle(ev.TimerFired("tell"), self.gateway.now)
        self.assertEqual(STANDBY_INTERVAL_S, timer.delay_s)

    def test_messages_grow_with_the_number_of_fronts_and_not_with_its_square(self):
        calls = {}
        for fronts in (80, 320):
            gateway = GatewayFront([ROUTE], [replica(1, "model")], fronts)
            gateway.request("/s/1", headers=LONG)
            serving = gateway.view.send_shares.serving["north"]
            calls[fronts] = 0
            for name in serving:
                exchange = exchange_of(gateway, int(name.rpartition("-")[2]))
                effects = exchange.handle(ev.TimerFired("tell"), gateway.now)
                pause_s = next(e.delay_s for e in effects if isinstance(e, fx.StartTimer))
                calls[fronts] += len(calls_of(effects)) / pause_s
        self.assertLess(calls[320], 4 * calls[80])


class Ranks(unittest.TestCase):
    def test_collectors_follow_the_fronts_that_serve(self):
        gateway = GatewayFront([ROUTE], [replica(1, "model")], FRONTS)
        fronts = list(gateway.view.ready_fronts)
        serving = serving_fronts(fronts, frozenset())
        collecting = load_collectors(fronts, frozenset())
        names = [node.node_id for node in [*serving, *collecting]]
        self.assertEqual(len(names), len(set(names)))

    def test_a_small_region_may_have_none(self):
        gateway = GatewayFront([ROUTE], [replica(1, "model")], 2)
        self.assertEqual([], load_collectors(list(gateway.view.ready_fronts), frozenset()))


if __name__ == "__main__":
    unittest.main()
