"""Serving fronts report their calls in flight to a collector and get the others' sums."""

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


def report(node: str, sequence: int, running: int = 1, seen: int = 0, **fields) -> FrontUse:
    uses = [ReplicaUse("model-1", running, 100 * running)] if running else []
    return FrontUse(node, f"{node}-1", sequence, uses, fields.get("prompts", []), prompts_seen=seen)


def prompt(name: str) -> SentPrompt:
    return SentPrompt("model-1", [name], [10], 1_000)


class Collecting(unittest.TestCase):
    def test_each_front_gets_the_sum_of_the_others(self):
        collector = LoadCollector()
        collector.record_report(report("a", 1, running=2), 0.0)
        collector.record_report(report("b", 1, running=3), 0.0)
        answer = collector.record_report(report("c", 1, running=7), 0.1)
        self.assertEqual([ReplicaUse("model-1", 5, 500)], answer.others)

    def test_a_front_that_stopped_reporting_is_left_out(self):
        collector = LoadCollector()
        collector.record_report(report("a", 1, running=2), 0.0)
        self.assertEqual([], collector.record_report(report("b", 1), REPORT_TTL_S + 0.1).others)

    def test_prompts_are_returned_once_and_never_to_their_sender(self):
        collector = LoadCollector()
        collector.record_report(report("a", 1, prompts=[prompt("x"), prompt("y")]), 0.0)
        first = collector.record_report(report("b", 1), 0.0)
        self.assertEqual([["x"], ["y"]], [sent.part_ids for sent in first.prompts])
        self.assertEqual(
            [], collector.record_report(report("b", 2, seen=first.prompts_seen), 0.0).prompts
        )
        self.assertEqual([], collector.record_report(report("a", 2), 0.0).prompts)

    def test_an_outdated_report_is_ignored(self):
        collector = LoadCollector()
        collector.record_report(report("a", 5, running=2), 0.0)
        collector.record_report(report("a", 4, running=9, prompts=[prompt("x")]), 0.0)
        answer = collector.record_report(report("b", 1), 0.0)
        self.assertEqual([ReplicaUse("model-1", 2, 200)], answer.others)
        self.assertEqual([], answer.prompts)

    def test_an_unassigned_prompt_number_counts_as_zero(self):
        collector = LoadCollector()
        collector.record_report(report("a", 1, prompts=[prompt("x")]), 0.0)
        for seen in (-1, 10**12):
            self.assertEqual(
                1, len(collector.record_report(report("b", 1, seen=seen), 0.0).prompts)
            )

    def test_stored_and_returned_prompts_are_bounded(self):
        collector = LoadCollector()
        many = [prompt(str(number)) for number in range(3 * MAX_STORED_PROMPTS)]
        collector.record_report(report("a", 1, prompts=many), 0.0)
        answer = collector.record_report(report("b", 1), 0.0)
        self.assertEqual(MAX_ANSWERED_PROMPTS, len(answer.prompts))
        self.assertEqual(["1535"], answer.prompts[-1].part_ids)
        self.assertEqual(MAX_STORED_PROMPTS, len(collector._prompts))


class CallingTheCollector(unittest.TestCase):
    """Eighty fronts in one region: ten serve, and those ranked next are collectors."""

    def setUp(self):
        self.gateway = GatewayFront([ROUTE], [replica(1, "model"), replica(2, "model")], FRONTS)
        view = self.gateway.view
        self.serving = view.send_shares.serving["north"]
        self.collectors = [node.node_id for node in view.load_collectors("north")]
        self.exchange = self.exchange_named(self.serving[0])

    def exchange_named(self, name: str) -> PeerExchange:
        return exchange_of(self.gateway, int(name.rpartition("-")[2]))

    def send_report(self) -> list[fx.Call]:
        return calls_of(self.exchange.handle(ev.TimerFired("tell"), self.gateway.now))

    def test_collectors_are_standby_fronts(self):
        self.assertEqual(3, len(self.collectors))
        self.assertFalse(set(self.collectors) & set(self.serving))

    def test_one_collector_is_called_instead_of_all_peers(self):
        self.gateway.request("/s/1", headers=LONG)
        (call,) = self.send_report()
        self.assertEqual(self.address_of(self.collectors[0]), call.address)
        self.assertEqual(0, call.request.prompts_seen)

    def address_of(self, name: str) -> str:
        nodes = {node.node_id: node.internal_address for node in self.gateway.view.fronts}
        return nodes[name]

    def test_the_collectors_answer_affects_the_next_choice(self):
        self.gateway.decision.traffic.rate_limiter.bound = SlowStartBound(slack=1e6)
        (busy,) = self.gateway.request("/s/1", headers=LONG)
        (call,) = self.send_report()
        idle = "model-2" if busy.address == replica(1, "model").address else "model-1"
        answer = FrontUseTaken([ReplicaUse(idle, 40, 500_000)], [], 0)
        answer = decode(FrontUseTaken, encode(answer)).ok
        self.exchange.handle(ev.CallAnswered(call.call_id, answer), self.gateway.now)
        (sent,) = self.gateway.request("/s/2", headers=SHORT)
        self.assertEqual(busy.address, sent.address)

    def test_a_newer_answer_replaces_the_older_one(self):
        for running in (5, 2):
            self.gateway.request("/s/1", headers=SHORT)
            (call,) = self.send_report()
            answer = FrontUseTaken([ReplicaUse("model-1", running, 0)], [], 0)
            self.exchange.handle(ev.CallAnswered(call.call_id, answer), self.gateway.now)
        peers = self.gateway.decision.traffic.peers
        self.assertEqual(ReplicaUsage(2, 0), peers.usage_at("model-1", self.gateway.now))

    def test_a_collector_that_fails_is_skipped_and_called_again_later(self):
        self.gateway.request("/s/1", headers=LONG)
        for name in self.collectors:
            (call,) = self.send_report()
            self.assertEqual(self.address_of(name), call.address)
            self.exchange.handle(ev.CallFailed(call.call_id, "deadline", True), self.gateway.now)
        directly = self.send_report()
        self.assertEqual(MAX_DIRECT_PEERS, len(directly))
        self.assertTrue(all(call.request.prompts_seen is None for call in directly))
        for call in directly:
            self.exchange.handle(ev.CallAnswered(call.call_id, FrontUseTaken()), self.gateway.now)
        self.gateway.now += COLLECTOR_RETRY_S + 0.1
        (call,) = self.send_report()
        self.assertEqual(self.address_of(self.collectors[0]), call.address)

    def test_a_failing_peer_does_not_count_as_a_failed_collector(self):
        self.gateway.request("/s/1", headers=LONG)
        self.exchange._retry_at = dict.fromkeys(self.collectors, self.gateway.now + 1)
        for call in self.send_report():
            self.exchange.handle(ev.CallFailed(call.call_id, "deadline", True), self.gateway.now)
        self.assertEqual(set(self.collectors), set(self.exchange._retry_at))

    def test_the_collector_returns_the_reports_of_others(self):
        collector = self.exchange_named(self.collectors[0])
        for name in self.serving[1:4]:
            message = decode(FrontUse, encode(report(name, 1, running=2))).ok
            collector.handle(ev.CallArrived(1, name, message), self.gateway.now)
        (answer,) = collector.handle(ev.CallArrived(2, "x", report("x", 1)), self.gateway.now)
        self.assertEqual([ReplicaUse("model-1", 6, 600)], answer.answer.others)
        peers = self.gateway.decision.traffic.peers
        self.assertEqual(NO_USAGE, peers.usage_at("model-1", self.gateway.now))

    def test_a_standby_front_checks_rarely(self):
        standby = self.exchange_named(self.collectors[0])
        (timer,) = standby.handle(ev.TimerFired("tell"), self.gateway.now)
        self.assertEqual(STANDBY_INTERVAL_S, timer.delay_s)

    def test_calls_grow_linearly_with_the_number_of_fronts(self):
        calls = {}
        for fronts in (80, 320):
            gateway = GatewayFront([ROUTE], [replica(1, "model")], fronts)
            gateway.request("/s/1", headers=LONG)
            serving = gateway.view.send_shares.serving["north"]
            calls[fronts] = 0
            for name in serving:
                exchange = exchange_of(gateway, int(name.rpartition("-")[2]))
                effects = exchange.handle(ev.TimerFired("tell"), gateway.now)
                interval_s = next(e.delay_s for e in effects if isinstance(e, fx.StartTimer))
                calls[fronts] += len(calls_of(effects)) / interval_s
        self.assertLess(calls[320], 4 * calls[80])


class Ranking(unittest.TestCase):
    def test_collectors_are_ranked_after_the_serving_fronts(self):
        gateway = GatewayFront([ROUTE], [replica(1, "model")], FRONTS)
        fronts = list(gateway.view.ready_fronts)
        serving = serving_fronts(fronts, frozenset())
        collecting = load_collectors(fronts, frozenset())
        names = [node.node_id for node in [*serving, *collecting]]
        self.assertEqual(len(names), len(set(names)))

    def test_a_small_region_may_have_no_collectors(self):
        gateway = GatewayFront([ROUTE], [replica(1, "model")], 2)
        self.assertEqual([], load_collectors(list(gateway.view.ready_fronts), frozenset()))


if __name__ == "__main__":
    unittest.main()
