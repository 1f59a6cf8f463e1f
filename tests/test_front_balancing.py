"""Where requests go: matrix, spill, health, affinity, retries and the queue, in virtual time."""

import unittest
from collections import Counter

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front.affinity import AffinityTable
from rooklug.front.regions import region_order
from rooklug.front.routing_view import Destination, ServingReplica
from tests.front_support import (
    FrontHarness,
    answer_of,
    cell,
    document_of,
    kinds,
    listed,
    loaded,
    node,
)


class BalancingCase(unittest.TestCase):
    def setUp(self) -> None:
        self.front = FrontHarness()
        self.front.usual()

    def serve(self, count: int, route: str = "banter", gap_s: float = 0.05, **body) -> Counter:
        """Send requests one after another; return how many each replica got."""
        served: Counter = Counter()
        for _ in range(count):
            self.front.generate(route, **body)
            if "HttpCall" in kinds(self.front.last):
                call = self.front.call()
                served[self.front.replica_of(call)] += 1
                self.front.advance(gap_s)
                self.front.complete(call, "x")
            else:
                self.front.advance(gap_s)
        return served


class MatrixTest(BalancingCase):
    def test_weights_are_kept(self) -> None:
        self.front.plan(
            [loaded(name) for name in "abc"], [cell("north", "north", 0, 3), cell("north", "south")]
        )
        served = self.serve(400)
        self.assertAlmostEqual(served["c"] / 400, 0.25, delta=0.06)

    def test_spill_stays_within_the_weights(self) -> None:
        for _ in range(12):
            self.front.generate()
        spilled = [call for call in self.front.calls.values() if self.front.replica_of(call) == "c"]
        own = len(self.front.calls) - len(spilled)
        self.assertEqual((own, len(spilled)), (6, 1))
        regions = {
            "north": {"zones": ["n1", "n2"]},
            "south": {"zones": ["s1"], "weights": {"spill": 0}},
        }
        self.front = FrontHarness()
        self.front.usual()
        self.front.configure(regions=regions)
        for _ in range(12):
            self.front.generate()
        replicas = {self.front.replica_of(call) for call in self.front.calls.values()}
        self.assertEqual(replicas, {"a", "b"})

    def test_loaded_and_intended_and_not_leaving(self) -> None:
        self.front.plan(
            [
                loaded("a", intended_models=[]),
                loaded("b"),
                loaded("c", loaded_models=[]),
            ]
        )
        self.assertEqual(set(self.serve(9)), {"b"})
        self.front.replicas(listed("a", "n1", "north"), listed("b", "n2", "north", leaving=True))
        self.front.generate()
        self.assertEqual(document_of(self.front.last)["error"]["code"], "no_replica")

    def test_cold_regions_lose_nothing_to_one_another(self) -> None:
        levels = ((Destination("x", 1.0),), (Destination("y", 1.0),))
        for draw in (0.0, 0.5, 0.99):
            steps = region_order(levels, {"x": 0.05, "y": 0.05}, "x", draw)
            self.assertEqual([step.region for step in steps], ["x", "y"])
        shares = {"x": 0.05, "y": 1.0}
        steps = region_order(levels, shares, "x", 0.5)
        self.assertEqual([(step.region, step.spilled) for step in steps],
                         [("y", True)])  # fmt: skip


class AffinityTest(BalancingCase):
    def test_same_parts_go_to_the_same_replica_at_every_front(self) -> None:
        served = self.serve(1, prompt_parts=["s", "archive"])
        (first,) = served
        other = FrontHarness(seed=7)
        other.usual()
        other.generate(prompt_parts=["s", "archive"])
        self.assertEqual(other.replica_of(other.call()), first)

    def test_hot_parts_stay_below_the_bounded_share(self) -> None:
        served = self.serve(300, prompt_parts=["hot"])
        self.assertLess(max(served.values()) / 300, 1.25 / 2 + 0.06)
        self.assertGreater(max(served.values()) / 300, 0.55)

    def test_table_is_bounded_and_forgets_incarnations(self) -> None:
        table = AffinityTable(max_blocks=10)
        replica = ServingReplica("a", "x:1", "north", "n1", "1", 4, False)
        for part in range(50):
            table.record((), (part,), replica)
            table.record(("north",), (part,), replica)
        self.assertLessEqual(len(table), 10)
        self.assertEqual(table.cached_blocks(("north",), (49,), replica), 1)
        replaced = ServingReplica("a", "x:1", "north", "n1", "2", 4, True)
        self.assertEqual(table.cached_blocks(("north",), (49,), replaced), 0)

    def test_bound_parts_are_dropped_when_the_home_moves(self) -> None:
        self.serve(5, "home", prompt_parts=["secret"])
        table = self.front.by_name["generate"]._decision._balancer.affinity
        self.assertEqual(len(table), 1)
        home = {"kind": "model", "model": "talk", "latency_class": "fast"}
        self.front.configure(routes={"home": {**home, "home_regions": ["south"]}})
        self.assertEqual(len(table), 0)


class RetryTest(BalancingCase):
    def test_refused_connection_is_tried_elsewhere_and_ejects(self) -> None:
        self.front.generate()
        first = self.front.call()
        second = self.front.call(self.front.fail(first))
        self.assertNotEqual(first.address, second.address)
        self.front.complete(second, "x")
        lost = self.front.replica_of(first)
        self.assertNotIn(lost, self.serve(8, gap_s=0.01))
        self.front.advance(2)
        self.assertIn(lost, self.serve(8))

    def test_not_run_needs_certainty(self) -> None:
        for state, outcome in (
            (ev.SendState.NOT_SENT, "not_run"),
            (ev.SendState.MAYBE_SENT, "unknown"),
        ):
            self.setUp()
            self.front.generate()
            effects = self.front.last
            while "HttpCall" in kinds(effects):
                effects = self.front.fail(self.front.call(effects), state)
            self.assertEqual(document_of(effects)["outcome"], outcome)

    def test_busy_everywhere_is_not_run(self) -> None:
        self.front.generate()
        effects = self.front.last
        while "HttpCall" in kinds(effects):
            effects = self.front.refuse(self.front.call(effects))
        self.assertEqual((answer_of(effects).status, document_of(effects)["outcome"]),
                         (503, "not_run"))  # fmt: skip

    def test_an_unloaded_model_says_nothing_of_the_others(self) -> None:
        both = ["small", "talk"]
        self.front = FrontHarness()
        self.front.configure()
        self.front.replicas(listed("a", "n1", "north"))
        self.front.plan(
            [loaded("a", loaded_models=both, intended_models=both)], [cell("north", "north")]
        )
        self.front.generate()
        effects = self.front.refuse(self.front.call(), "not_loaded")
        self.assertEqual(document_of(effects)["outcome"], "not_run")
        for _ in range(3):
            self.front.generate("chat")
            self.assertIn("HttpCall", kinds(self.front.last))
        self.front.generate()
        self.assertNotIn("HttpCall", kinds(self.front.last))
        self.front.advance(1.9)
        self.front.generate()
        self.assertIn("HttpCall", kinds([*self.front.last, *self.front.advance(1.9)]))

    def test_budget_ends_a_retry_storm(self) -> None:
        tries = 0
        for _ in range(200):
            self.front.generate()
            effects = self.front.last
            while "HttpCall" in kinds(effects):
                tries += 1
                effects = self.front.refuse(self.front.call(effects))
        self.assertLess(tries, 200 * 1.15 + 6)

    def test_one_failing_front_keeps_trying(self) -> None:
        for _ in range(6):
            self.front.generate()
            effects = self.front.last
            while "HttpCall" in kinds(effects):
                effects = self.front.fail(self.front.call(effects))
        self.front.generate()
        self.assertIn("HttpCall", kinds(self.front.last))

    def test_silent_replica_is_left_before_its_first_piece(self) -> None:
        self.front.generate()
        first = self.front.call()
        self.front.begin(first)
        effects = self.front.advance(6)
        self.assertIn(fx.CancelHttpCall(first.call_id), effects)
        self.assertNotEqual(self.front.call(effects).address, first.address)

    def test_stalled_stream_is_broken(self) -> None:
        self.front.generate(stream=True)
        call = self.front.call()
        self.front.begin(call)
        self.front.lines(call, "x")
        self.assertIn("HttpStreamAbort", kinds(self.front.advance(11)))


class QueueTest(BalancingCase):
    def fill(self) -> None:
        while "HttpCall" in kinds(self.front.last):
            self.front.generate()

    def test_waits_for_a_slot_by_priority(self) -> None:
        self.front.generate()
        first = self.front.call()
        self.fill()
        urgent = self.front.generate("urgent")
        effects = self.front.complete(first, "x")
        self.assertIn(f'"r{urgent}"', self.front.call(effects).body.decode())

    def test_refused_at_the_wait_bound_and_when_full(self) -> None:
        self.front.generate()
        self.fill()
        refusals = [e for e in self.front.advance(2.1) if isinstance(e, fx.HttpRespond)]
        self.assertEqual([answer.status for answer in refusals], [503])
        for _ in range(64):
            self.front.generate()
        self.front.generate()
        self.assertEqual(document_of(self.front.last)["error"]["code"], "overloaded")
        self.front.generate("urgent")
        self.assertEqual(document_of(self.front.last)["error"]["message"], "the queue is full")

    def test_queued_request_obeys_the_newest_home(self) -> None:
        self.front.generate()
        self.fill()
        self.front.generate("home")
        home = {"kind": "model", "model": "talk", "latency_class": "fast"}
        effects = self.front.configure(
            routes={"home": {**home, "home_regions": ["south"]}, "banter": home}
        )
        self.assertEqual(answer_of(effects).status, 307)


class SlowStartTest(BalancingCase):
    def share_of_b(self, seconds: int) -> float:
        served = self.serve(seconds * 20)
        return served["b"] / max(1, sum(served.values()))

    def replace_b(self, incarnation: str, cold: bool = True, room: int = 4) -> None:
        replicas = [
            loaded("a", concurrency=room),
            loaded("b", cold, incarnation, concurrency=room),
            loaded("c"),
        ]
        self.front.plan(replicas, [cell("north", "north")])

    def test_a_cold_replica_gets_a_trickle_then_its_share(self) -> None:
        self.replace_b("2")
        early = self.share_of_b(2)
        self.serve(160)
        late = self.share_of_b(5)
        self.assertLess(early, 0.12)
        self.assertGreater(late, 0.4)

    def test_much_room_does_not_lift_the_trickle(self) -> None:
        self.replace_b("2", room=64)
        self.assertLess(self.share_of_b(2), 0.12)

    def test_a_second_loss_begins_at_the_bottom(self) -> None:
        self.replace_b("2")
        self.serve(160)
        self.replace_b("3")
        self.assertLess(self.share_of_b(2), 0.12)

    def test_lost_for_a_moment_is_cold_too(self) -> None:
        self.front.plan([loaded("a"), loaded("c")], [cell("north", "north")])
        self.replace_b("1", cold=False)
        self.assertLess(self.share_of_b(2), 0.12)

    def test_affinity_and_overflow_do_not_lift_the_trickle(self) -> None:
        self.replace_b("2")
        for number in range(40):
            self.front.generate(prompt_parts=[str(number)])
        to_b = [c for c in self.front.calls.values() if self.front.replica_of(c) == "b"]
        self.assertLessEqual(len(to_b), 2)

    def test_a_repaired_region_gets_a_trickle(self) -> None:
        matrix = [cell("north", "north"), cell("north", "south", 1)]
        self.front.plan([loaded("c")], matrix)
        self.serve(20)
        self.front.plan([loaded("a", True), loaded("b", True), loaded("c")], matrix)
        served = self.serve(60)
        self.assertLess((served["a"] + served["b"]) / 60, 0.25)

    def test_cold_fleet_serves_a_quarter_in_time(self) -> None:
        self.front = FrontHarness()
        self.front.usual(cold=True)
        self.front.members(node("f1", "n1", "north"))
        began: dict[int, float] = {}
        early = late = 0
        for tick in range(12 * 50):
            self.front.generate()
            self.front.advance(0.02)
            for call_id in self.front.calls:
                began.setdefault(call_id, self.front.now)
            early = len(began) if tick < 25 else early
            for call_id, since in sorted(began.items()):
                if call_id in self.front.calls and self.front.now - since >= 0.5:
                    self.front.complete(self.front.calls.pop(call_id), "x")
                    late += tick >= 6 * 50
        self.assertLess(early, 6)
        self.assertGreater(late, 6 * 50 / 4)
