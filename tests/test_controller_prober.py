"""Prober shards: their schedule and budget, failure reporting, and parsing of reports."""

import json
import unittest
from collections import Counter

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from rooklug.controller.probe_schedule import FLEET_PROBE_BUDGET_PER_S
from rooklug.controller.replica_report import read_report
from rooklug.controller.sharding import shard_of
from rooklug.engine import events as ev
from rooklug.model import topics
from rooklug.wire.generated.control.ttypes import (
    ProbeReport,
    ProbeReportAnswer,
    RoleOwner,
    VersionMark,
)
from tests.controller_stand_ins import ALL_ROLES, FakeReplica
from tests.controller_world import World, fleet
from tests.test_controller_watcher import JSON

PROBERS = tuple(role for role in ALL_ROLES if role.startswith(topics.ROLE_PROBER_PREFIX))
REMOTE = "127.0.9.9:7000"


class ProberWorld(World):
    """Runs the probers only; the test answers their reports in place of a remote placer."""

    def __init__(self, replicas, accept=True, **options):
        super().__init__(replicas, roles=PROBERS, **options)
        self.accept = accept
        self.urgency_lists = ([], [])
        self.remote_placer(1)
        self.list_replicas()

    def remote_placer(self, counter):
        token = VersionMark(epoch=1, counter=counter)
        self.link.owners[topics.ROLE_PLACER] = RoleOwner(
            role_key=topics.ROLE_PLACER, node_id="p", internal_address=REMOTE, token=token
        )

    def apply_effect(self, effect):
        super().apply_effect(effect)
        if self.calls and self.calls[-1][1] is effect:
            soon, steady = self.urgency_lists
            answer = ProbeReportAnswer(accepted=self.accept, probe_soon=soon, steady=steady)
            self.schedule(self.now + 0.01, ev.CallAnswered(effect.call_id, answer))

    def results(self, since=0.0):
        reports = [call.request for at, call in self.calls if at >= since]
        return [result for report in reports for result in report.results]

    def probes(self, since):
        return [(at, call) for at, call in self.http if at >= since]


class ProbeSchedule(unittest.TestCase):
    def test_each_replica_is_probed_by_one_shard(self):
        world = ProberWorld(fleet())
        world.run(0.5)
        self.assertEqual(set(Counter(c.address for _, c in world.http).values()), {1})
        self.assertEqual(len(world.http), 9)

    def test_steady_replicas_are_probed_seldom(self):
        world = ProberWorld(fleet())
        world.run(20.0)
        begun = world.now
        world.run(100.0)
        self.assertLess(len(world.probes(begun)), 9 * 100 / 4)
        self.assertGreater(len(world.probes(begun)), 9 * 100 / 6)

    def test_replicas_known_to_serve_are_probed_less(self):
        world = ProberWorld(fleet())
        world.urgency_lists = ([], sorted(world.replicas))
        world.run(20.0)
        begun = world.now
        world.run(100.0)
        self.assertLess(len(world.probes(begun)), 9 * 100 / 8)

    def test_a_loading_replica_is_probed_often(self):
        world = ProberWorld(fleet(1, 0))
        world.run(20.0)
        world.replicas["v0"].models["m"] = world.now + 1000.0
        world.run(10.0)
        begun = world.now
        world.run(10.0)
        self.assertGreaterEqual(len(world.probes(begun)), 16)

    def test_a_requested_probe_is_sent_at_once(self):
        world = ProberWorld(fleet())
        world.run(20.0)
        world.urgency_lists = (["v0"], [])
        world.run(0.6)
        world.urgency_lists = ([], [])
        begun = world.now - 0.6
        address = world.replicas["v0"].address
        self.assertIn(address, [call.address for _, call in world.probes(begun)])

    def test_leaving_replicas_are_not_probed(self):
        world = ProberWorld(fleet(2, 0))
        world.link.bodies[topics.REPLICAS].replicas[0].leaving = True
        world.list_after = world.link.set_body(topics.REPLICAS, world.link.bodies[topics.REPLICAS])
        world.flush_soon()
        world.run(0.1)
        begun = world.now
        world.run(30.0)
        self.assertEqual(len({call.address for _, call in world.probes(begun)}), 1)

    def test_the_budget_holds_for_a_large_cold_fleet(self):
        replicas = [
            FakeReplica(f"r{n}", f"127.{1 + n // 200}.1.{n % 200 + 1}:80", "vestland", "z")
            for n in range(830)
        ]
        for replica in replicas:
            replica.models["m"] = float("inf")
        world = ProberWorld(replicas)
        world.run(10.0)
        worst = max(Counter(int(at) for at, _ in world.http).values())
        self.assertLessEqual(worst, FLEET_PROBE_BUDGET_PER_S * 1.5)
        self.assertLessEqual(len(world.http), FLEET_PROBE_BUDGET_PER_S * 10.5)
        self.assertEqual(len({call.address for _, call in world.http}), 830)

    def test_every_probe_ends_with_the_lease(self):
        world = ProberWorld(fleet())
        role = PROBERS[shard_of("v0")]
        world.link.until[role] = world.now + 5.0
        end = world.now + 5.0
        world.run(30.0)
        address = world.replicas["v0"].address
        self.assertFalse([at for at, c in world.http if c.address == address and at > end])
        self.assertTrue(all(c.not_after is not None for _, c in world.http))


class FailureReporting(unittest.TestCase):
    def test_one_unresponsive_replica_is_reported_as_failing(self):
        world = ProberWorld(fleet())
        world.run(10.0)
        world.replicas["v0"].unresponsive = True
        world.run(15.0)
        last = [r for r in world.results() if r.replica_id == "v0"][-1]
        self.assertGreaterEqual(last.consecutive_failures, 3)

    def test_a_prober_that_reaches_no_replica_reports_no_failures(self):
        world = ProberWorld(fleet())
        world.run(10.0)
        world.unreachable_addresses = set(world.by_address)
        begun = world.now
        world.run(20.0)
        blamed = [r for r in world.results(begun) if r.consecutive_failures >= 2]
        self.assertEqual(blamed, [])

    def test_failures_are_reported_once_a_replica_answers_again(self):
        world = ProberWorld(fleet())
        world.run(10.0)
        world.unreachable_addresses = set(world.by_address)
        world.run(20.0)
        world.unreachable_addresses = {world.replicas["v0"].address}
        begun = world.now
        world.run(10.0)
        failing = {r.replica_id for r in world.results(begun) if r.consecutive_failures >= 2}
        self.assertIn("v0", failing)

    def test_a_shard_with_only_dead_replicas_reports_them(self):
        world = ProberWorld(fleet(5, 0))
        shard = shard_of("v0")
        for replica in world.replicas.values():
            replica.unresponsive = shard_of(replica.replica_id) == shard
        world.run(20.0)
        failing = {r.replica_id for r in world.results() if r.consecutive_failures >= 3}
        unresponsive = {r.replica_id for r in world.replicas.values() if r.unresponsive}
        self.assertEqual(failing, unresponsive)


class ProbeReports(unittest.TestCase):
    def test_rejected_results_are_sent_again(self):
        world = ProberWorld(fleet(), accept=False)
        world.run(3.0)
        world.accept = True
        begun = world.now
        world.run(1.2)
        self.assertEqual(len({r.replica_id for r in world.results(begun)}), 9)

    def test_a_new_placer_gets_all_results(self):
        world = ProberWorld(fleet())
        world.run(8.0)
        world.remote_placer(2)
        begun = world.now
        world.run(1.0)
        results = world.results(begun)
        self.assertEqual(len({r.replica_id for r in results}), 9)
        self.assertTrue(all(r.age_ms >= 0 for r in results))

    def test_reports_carry_the_grant_and_its_expiry(self):
        world = ProberWorld(fleet())
        world.run(1.0)
        for _, call in world.calls:
            self.assertIsInstance(call.request, ProbeReport)
            self.assertIn(call.request.grant.role_key, PROBERS)
            self.assertIsNotNone(call.not_after)


class ReportCodec(unittest.TestCase):
    def good(self):
        replica = FakeReplica("r", "127.0.0.1:1", "x", "z", models={"m": 0.0})
        return json.loads(replica.report(1.0))

    @seed(2)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.binary(max_size=64) | JSON.map(lambda value: json.dumps(value).encode()))
    def test_any_bytes_give_a_result(self, body):
        outcome = read_report(body, "r")
        self.assertTrue(outcome.is_ok() or outcome.error.message is not None)

    @seed(2)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.data())
    def test_a_field_of_another_type_is_rejected(self, data):
        document = self.good()
        names = ["incarnation", "models", "concurrency", "cold", "highest_token", "tokens_per_s"]
        field = data.draw(st.sampled_from(names))
        value = data.draw(JSON)
        expected = type(document[field])
        document[field] = value
        outcome = read_report(json.dumps(document), "r")
        if outcome.is_ok():
            allowed = (int, float) if expected is float else (expected,)
            self.assertIn(type(value), allowed)

    def test_a_report_of_another_replica_is_rejected(self):
        self.assertTrue(read_report(json.dumps(self.good()), "other").is_error())

    def test_a_replica_with_invalid_reports_counts_as_failing(self):
        world = ProberWorld(fleet(2, 0))
        world.run(5.0)
        world.replicas["v0"].invalid_answer = b'{"replica_id":"v0"}'
        world.run(15.0)
        last = [r for r in world.results() if r.replica_id == "v0"][-1]
        self.assertFalse(last.answered)
        self.assertGreaterEqual(last.consecutive_failures, 2)
