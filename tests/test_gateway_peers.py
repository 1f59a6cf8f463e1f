"""Fronts of a region report their calls in flight to each other and use the reports."""

import unittest
from random import Random

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.gateway.gateway_events import ViewChanged
from rooklug.gateway.peer_exchange import MAX_DIRECT_PEERS, PeerExchange
from rooklug.gateway.requests import PrefixBlock
from rooklug.model.settings import NodeSettings
from rooklug.routing.peer_loads import NO_USAGE, REPORT_TTL_S, PeerLoads, ReplicaUsage
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.peers.ttypes import FrontUse, FrontUseTaken, ReplicaUse
from tests.gateway_support import NAMES, GatewayFront, replica, route_item

ROUTE = route_item(
    "s",
    "/s/",
    execution="event_stream",
    service="model",
    affinity=True,
    latency_objective_ms=1000,
    gap_objective_ms=600,
)
LONG = {NAMES.prompt_parts: "shared:3000,own:9000"}
SHORT = {NAMES.prompt_parts: "hello:100,mine:100"}


def exchange_of(gateway: GatewayFront, number: int = 1) -> PeerExchange:
    name = f"front-{number}"
    address = f"10.1.0.{number}:7000"
    settings = NodeSettings(
        node_id=name,
        role="front",
        zone="north-a",
        region="north",
        listen_internal=address,
        listen_http=address,
        internal_address=address,
        http_address=address,
        seeds=(),
    )
    context = ProcessContext(name, f"{name}-1", Random(1), Identifiers())
    exchange = PeerExchange(settings, context, gateway.decision)
    exchange.handle(ViewChanged(gateway.view), gateway.now)
    return exchange


def calls_of(effects: list[fx.Effect]) -> list[fx.Call]:
    return [effect for effect in effects if isinstance(effect, fx.Call)]


class Exchange(unittest.TestCase):
    def setUp(self):
        replicas = [replica(1, "model"), replica(2, "model")]
        self.one = GatewayFront([ROUTE], replicas)
        self.two = GatewayFront([ROUTE], replicas)
        self.sender = exchange_of(self.one, 1)
        self.receiver = exchange_of(self.two, 2)

    def send_report(self) -> list[fx.Call]:
        return calls_of(self.sender.handle(ev.TimerFired("tell"), self.one.now))

    def deliver(self, call: fx.Call) -> list[fx.Effect]:
        """Deliver a report to the other front, encoded and decoded as on the wire."""
        message = decode(FrontUse, encode(call.request)).ok
        return self.receiver.handle(ev.CallArrived(1, "front-1", message), self.two.now)

    def test_an_idle_front_sends_no_report(self):
        self.assertEqual(self.send_report(), [])

    def test_a_short_prompt_avoids_a_replica_that_prefills_a_peers_long_prompt(self):
        (busy,) = self.one.request("/s/1", headers=LONG)
        (call,) = self.send_report()
        (answer,) = self.deliver(call)
        self.assertIsInstance(answer.answer, FrontUseTaken)
        for _ in range(5):
            (sent,) = self.two.request("/s/2", headers=SHORT)
            self.assertNotEqual(sent.address, busy.address)

    def test_a_prompt_goes_where_a_peer_has_just_sent_its_shared_blocks(self):
        (busy,) = self.one.request("/s/1", headers={NAMES.prompt_parts: "shared:3000,own:10"})
        (call,) = self.send_report()
        self.deliver(call)
        self.sender.handle(ev.CallAnswered(call.call_id, None), self.one.now)
        self.one.handle(ev.HttpFailed(busy.call_id, "x", ev.SendState.MAYBE_SENT))
        self.deliver(self.send_report()[0])
        (sent,) = self.two.request("/s/1", headers={NAMES.prompt_parts: "shared:3000,other:10"})
        self.assertEqual(sent.address, busy.address)

    def test_becoming_idle_is_reported_once(self):
        (call,) = self.one.request("/s/1", headers=LONG)
        self.sender.handle(ev.CallAnswered(self.send_report()[0].call_id, None), self.one.now)
        self.one.handle(ev.HttpFailed(call.call_id, "x", ev.SendState.MAYBE_SENT))
        (last,) = self.send_report()
        self.assertEqual(last.request.uses, [])
        self.sender.handle(ev.CallAnswered(last.call_id, None), self.one.now)
        self.assertEqual(self.send_report(), [])

    def test_a_peer_that_does_not_answer_gets_one_report_at_a_time(self):
        self.one.request("/s/1", headers=LONG)
        (call,) = self.send_report()
        self.assertEqual(self.send_report(), [])
        self.sender.handle(ev.CallFailed(call.call_id, "deadline", True), self.one.now)
        self.assertEqual(len(self.send_report()), 1)

    def test_only_serving_fronts_of_the_own_region_get_reports(self):
        gateway = GatewayFront([ROUTE], [replica(1, "model")], fronts=30)
        exchange = exchange_of(gateway)
        gateway.request("/s/1", headers=LONG)
        calls = calls_of(exchange.handle(ev.TimerFired("tell"), gateway.now))
        serving = gateway.view.send_shares.serving["north"]
        self.assertLessEqual(len(calls), min(len(serving), MAX_DIRECT_PEERS))
        self.assertGreater(len(calls), 0)

    def test_unreported_prompts_are_bounded(self):
        for _ in range(600):
            self.one.request("/s/1", headers=SHORT)
        self.assertLessEqual(len(self.one.decision.traffic.take_unreported_prompts()), 256)


class Loads(unittest.TestCase):
    def test_reports_of_all_peers_are_summed(self):
        loads = PeerLoads()
        loads.record_report("a", "1", 1, {"r": ReplicaUsage(2, 100)}, 0.0)
        loads.record_report("b", "1", 1, {"r": ReplicaUsage(3, 50)}, 0.0)
        self.assertEqual(loads.usage_at("r", 0.1), ReplicaUsage(5, 150))
        self.assertEqual(loads.usage_at("other", 0.1), NO_USAGE)

    def test_the_report_of_a_silent_peer_expires(self):
        loads = PeerLoads()
        loads.record_report("a", "1", 1, {"r": ReplicaUsage(2, 100)}, 0.0)
        self.assertEqual(loads.usage_at("r", REPORT_TTL_S + 0.1), NO_USAGE)

    def test_an_older_report_is_ignored_and_a_restarted_peer_replaces_its_report(self):
        loads = PeerLoads()
        self.assertTrue(loads.record_report("a", "1", 7, {"r": ReplicaUsage(2, 100)}, 0.0))
        self.assertFalse(loads.record_report("a", "1", 6, {}, 0.0))
        self.assertEqual(loads.usage_at("r", 0.1).running, 2)
        self.assertTrue(loads.record_report("a", "2", 1, {}, 0.2))
        self.assertEqual(loads.usage_at("r", 0.3), NO_USAGE)

    def test_reports_of_removed_fronts_are_dropped(self):
        loads = PeerLoads()
        loads.record_report("a", "1", 1, {"r": ReplicaUsage(2, 100)}, 0.0)
        loads.forget_except(frozenset({"b"}))
        self.assertEqual(loads.usage_at("r", 0.1), NO_USAGE)


class Wire(unittest.TestCase):
    def test_parts_and_tokens_of_different_number_are_cut_to_the_shorter(self):
        gateway = GatewayFront([ROUTE], [replica(1, "model")])
        exchange = exchange_of(gateway)
        message = FrontUse("front-2", "1", 1, [ReplicaUse("model-1", 1, 10)], [])
        exchange.handle(ev.CallArrived(1, "front-2", message), gateway.now)
        self.assertEqual(gateway.decision.traffic.peers.usage_at("model-1", gateway.now).running, 1)
        blocks = (PrefixBlock("shared", 10),)
        self.assertEqual(
            gateway.decision.traffic.prefixes.missing_tokens("model-1", blocks, gateway.now), 10
        )
