"""Placement of requests: matrix, spill, health, affinity, retries, queue and slow start.

All tests run one front in virtual time with scripted replicas.
"""

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
        self.front.set_up_site()

    def serve(self, count: int, route: str = "banter", gap_s: float = 0.05, **body) -> Counter:
        """Send requests one after another; return how many of them each replica got."""
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
    def test_traffic_follows_matrix_weights(self) -> None:
        self.front.plan(
            [loaded(name) for name in "abc"], [cell("north", "north", 0, 3), cell("north", "south")]
        )
        served = self.serve(400)
        self.assertAlmostEqual(served["c"] / 400, 0.25, delta=0.06)

    def test_spill_is_limited_by_spill_weight(self) -> None:
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
        self.front.set_up_site()
        self.front.configure(regions=regions)
        for _ in range(12):
            self.front.generate()
        replicas = {self.front.replica_of(call) for call in self.front.calls.values()}
        self.assertEqual(replicas, {"a", "b"})

    def test_serves_only_where_loaded_intended_and_not_leaving(self) -> None:
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

    def test_regions_all_in_slow_start_keep_their_order(self) -> None:
        levels = ((Destination("x", 1.0),), (Destination("y", 1.0),))
        for draw in (0.0, 0.5, 0.99):
            steps = region_order(levels, {"x": 0.05, "y": 0.05}, "x", draw)
            self.assertEqual([step.region for step in steps], ["x", "y"])
        shares = {"x": 0.05, "y": 1.0}
        steps = region_order(levels, shares, "x", 0.5)
        self.assertEqual([(step.region, step.spilled) for step in steps],
                         [("y", True)])  # fmt: skip


class AffinityTest(BalancingCase):
    def test_same_prefix_goes_to_same_replica_at_every_front(self) -> None:
        served = self.serve(1, prompt_parts=["s", "archive"])
        (first,) = served
        other = FrontHarness(seed=7)
        other.set_up_site()
        other.generate(prompt_parts=["s", "archive"])
        self.assertEqual(other.replica_of(other.call()), first)

    def test_popular_prefix_stays_within_bounded_share(self) -> None:
        served = self.serve(300, prompt_parts=["hot"])
        self.assertLess(max(served.values()) / 300, 1.25 / 2 + 0.06)
        self.assertGreater(max(served.values()) / 300, 0.55)

    def test_table_is_bounded_and_ignores_earlier_incarnations(self) -> None:
        table = AffinityTable(max_blocks=10)
        replica = ServingReplica("a", "x:1", "north", "n1", "1", 4, False)
        for part in range(50):
            table.record((), (part,), replica)
            table.record(("north",), (part,), replica)
        self.assertLessEqual(len(table), 10)
        self.assertEqual(table.cached_blocks(("north",), (49,), replica), 1)
        replaced = ServingReplica("a", "x:1", "north", "n1", "2", 4, True)
        self.assertEqual(table.cached_blocks(("north",), (49,), replaced), 0)

    def test_blocks_of_bound_route_are_dropped_when_home_moves(self) -> None:
        self.serve(5, "home", prompt_parts=["secret"])
        table = self.front.by_name["generate"]._decision._balancer.affinity
        self.assertEqual(len(table), 1)
        home = {"kind": "model", "model": "talk", "latency_class": "fast"}
        self.front.configure(routes={"home": {**home, "home_regions": ["south"]}})
        self.assertEqual(len(table), 0)


class RetryTest(BalancingCase):
    def test_connect_failure_retries_elsewhere_and_ejects(self) -> None:
        self.front.generate()
        first = self.front.call()
        second = self.front.call(self.front.fail(first))
        self.assertNotEqual(first.address, second.address)
        self.front.complete(second, "x")
        lost = self.front.replica_of(first)
        self.assertNotIn(lost, self.serve(8, gap_s=0.01))
        self.front.advance(2)
        self.assertIn(lost, self.serve(8))

    def test_not_run_is_answered_only_if_certain(self) -> None:
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

    def test_a_refusal_without_the_request_id_is_no_promise(self) -> None:
        # A late refusal of an earlier request was taken for this one's, which may have run.
        self.front.generate()
        effects = self.front.last
        while "HttpCall" in kinds(effects):
            effects = self.front.refuse(self.front.call(effects), identified=False)
        self.assertEqual(document_of(effects)["outcome"], "unknown")

    def test_unloaded_model_does_not_affect_other_models(self) -> None:
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

    def test_budget_limits_retry_storm(self) -> None:
        attempts = 0
        for _ in range(200):
            self.front.generate()
            effects = self.front.last
            while "HttpCall" in kinds(effects):
                attempts += 1
                effects = self.front.refuse(self.front.call(effects))
        self.assertLess(attempts, 200 * 1.15 + 6)

    def test_requests_continue_when_all_replicas_are_ejected(self) -> None:
        for _ in range(6):
            self.front.generate()
            effects = self.front.last
            while "HttpCall" in kinds(effects):
                effects = self.front.fail(self.front.call(effects))
        self.front.generate()
        self.assertIn("HttpCall", kinds(self.front.last))

    def test_attempt_without_first_chunk_times_out(self) -> None:
        self.front.generate()
        first = self.front.call()
        self.front.begin(first)
        effects = self.front.advance(6)
        self.assertIn(fx.CancelHttpCall(first.call_id), effects)
        self.assertNotEqual(self.front.call(effects).address, first.address)

    def test_stalled_stream_is_aborted(self) -> None:
        self.front.generate(stream=True)
        call = self.front.call()
        self.front.begin(call)
        self.front.lines(call, "x")
        self.assertIn("HttpStreamAbort", kinds(self.front.advance(11)))


class QueueTest(BalancingCase):
    def fill(self) -> None:
        while "HttpCall" in kinds(self.front.last):
            self.front.generate()

    def test_free_slot_goes_to_highest_priority(self) -> None:
        self.front.generate()
        first = self.front.call()
        self.fill()
        urgent = self.front.generate("urgent")
        effects = self.front.complete(first, "x")
        self.assertIn(f'"r{urgent}"', self.front.call(effects).body.decode())

    def test_refused_after_maximum_wait_and_when_full(self) -> None:
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

    def test_queued_request_follows_newest_home(self) -> None:
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

    def replace_b(self, incarnation: str, cold: bool = True, concurrency: int = 4) -> None:
        replicas = [
            loaded("a", concurrency=concurrency),
            loaded("b", cold, incarnation, concurrency=concurrency),
            loaded("c"),
        ]
        self.front.plan(replicas, [cell("north", "north")])

    def test_replica_in_slow_start_gets_growing_share(self) -> None:
        self.replace_b("2")
        early = self.share_of_b(2)
        self.serve(160)
        late = self.share_of_b(5)
        self.assertLess(early, 0.12)
        self.assertGreater(late, 0.4)

    def test_high_concurrency_does_not_raise_slow_start_share(self) -> None:
        self.replace_b("2", concurrency=64)
        self.assertLess(self.share_of_b(2), 0.12)

    def test_second_loss_restarts_slow_start(self) -> None:
        self.replace_b("2")
        self.serve(160)
        self.replace_b("3")
        self.assertLess(self.share_of_b(2), 0.12)

    def test_replica_missing_from_one_plan_restarts_slow_start(self) -> None:
        self.front.plan([loaded("a"), loaded("c")], [cell("north", "north")])
        self.replace_b("1", cold=False)
        self.assertLess(self.share_of_b(2), 0.12)

    def test_affinity_and_overflow_do_not_raise_slow_start_share(self) -> None:
        self.replace_b("2")
        for number in range(40):
            self.front.generate(prompt_parts=[str(number)])
        to_b = [c for c in self.front.calls.values() if self.front.replica_of(c) == "b"]
        self.assertLessEqual(len(to_b), 2)

    def test_returning_region_gets_slow_start_share(self) -> None:
        matrix = [cell("north", "north"), cell("north", "south", 1)]
        self.front.plan([loaded("c")], matrix)
        self.serve(20)
        self.front.plan([loaded("a", True), loaded("b", True), loaded("c")], matrix)
        served = self.serve(60)
        self.assertLess((served["a"] + served["b"]) / 60, 0.25)

    def test_fleet_entirely_in_slow_start_ramps_up(self) -> None:
        self.front = FrontHarness()
        self.front.set_up_site(cold=True)
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
