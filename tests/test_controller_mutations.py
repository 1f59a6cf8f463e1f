"""Each guard is needed: a property holds with it, and the same check fails without it."""

import unittest
from collections import Counter
from unittest.mock import patch

from rooklug.controller.probe_schedule import FLEET_PROBE_BUDGET_PER_S
from rooklug.model import topics
from rooklug.wire.generated.control.ttypes import ProbeReport, ProbeResult, RoleGrant, VersionMark
from tests.controller_placing import calls_after, failure_observations, settled_world
from tests.controller_stand_ins import FakeReplica
from tests.controller_world import World, document, fleet
from tests.test_controller_prober import ProberWorld


def frozen_process_sends_no_orders():
    world = settled_world()
    for replica in world.replicas.values():
        replica.restart()
    froze = world.now
    world.freeze(20.0)
    world.run(40.0)
    late = [p for p in world.link.publications if p.at > froze]
    return not calls_after(world, froze) and not late


def order_is_not_sent_after_its_lease():
    world = settled_world()
    world.replicas["v0"].restart()
    world.run(6.0)
    return all(call.not_after is not None for _, call in world.http if call.method == "POST")


def stale_placer_stops():
    world = settled_world()
    for replica in world.replicas.values():
        replica.highest_token = (7, 7)
        replica.restart()
    world.run(8.0, until=lambda: any(o[5] == (1, 1) for o in world.orders() if o[0] > 120.0))
    world.run(0.5)
    stopped = world.now
    world.run(4.0)
    return not [call for call in calls_after(world, stopped) if call.method == "POST"]


def sudden_empty_list_is_delayed():
    world = settled_world()
    world.platform.unlisted = set(world.replicas)
    world.platform.version += 1
    world.run(5.0)
    return len(world.published(topics.REPLICAS)[-1].body.replicas) == 9


def disconnected_prober_reports_no_failures():
    world = ProberWorld(fleet())
    world.run(10.0)
    world.unreachable_addresses = set(world.by_address)
    begun = world.now
    world.run(20.0)
    return not [r for r in world.results(begun) if r.consecutive_failures >= 2]


def one_front_makes_no_replica_dead():
    """This holds even while no prober can contradict the front."""
    world = settled_world()
    for shard in range(4):
        world.link.grants.pop(f"prober/{shard}")
    for second in range(1, 8):
        world.report_demand("f1", 100.0, second, failure_observations(world.replicas))
        world.run(1.0)
    return not world.decisions("replica_lost")


def busy_replica_is_not_declared_dead():
    """Fronts count busy answers as failures, which a probe can contradict."""
    world = settled_world()
    for episode in range(10):
        for front in ("f1", "f2"):
            world.report_demand(front, 100.0, 2 * episode + 1, failure_observations(["v0"]))
        world.run(0.3)
        for front in ("f1", "f2"):
            seen = failure_observations(["v0"], successes=3, failures=0)
            world.report_demand(front, 100.0, 2 * episode + 2, seen)
        world.run(8.3)
    return not world.decisions("replica_lost")


def prober_partitioned_from_a_region_makes_no_replica_dead():
    world = settled_world()
    far = [r.replica_id for r in world.replicas.values() if r.region == "austland"]
    world.unreachable_addresses = {world.replicas[replica_id].address for replica_id in far}
    for second in range(1, 20):
        world.report_demand("f1", 100.0, second, failure_observations(far, successes=5, failures=0))
        world.run(1.0)
    return not world.decisions("replica_lost")


def new_placer_keeps_serving_models():
    """A new placer waits for the fronts' demand reports before it decides."""
    world = settled_world()
    world.add_fronts(1)
    for second in range(1, 25):
        world.report_demand("f0", 1500.0, second, route="dispute")
        world.run(1.0)
    before = world.serving()
    world.grant_role(topics.ROLE_PLACER, 2, until=world.now + 3.0)
    kept = []
    for second in range(25, 40):
        world.run(0.9)
        world.report_demand("f0", 1500.0, second, route="dispute")
        kept.append(world.serving() >= before)
    return all(kept) and world.published(topics.PLAN)[-1].token == (1, 2)


def partial_knowledge_withdraws_nothing():
    """The new placer gets no demand report, so that there seems to be no demand."""
    world = settled_world()
    world.add_fronts(4)
    for second in range(1, 25):
        world.report_demand("f0", 1500.0, second, route="dispute")
        world.run(1.0)
    before = world.serving()
    world.grant_role(topics.ROLE_PLACER, 2, until=world.now + 3.0)
    world.run(9.0)
    return world.serving() == before and world.published(topics.PLAN)[-1].token == (1, 2)


def unprobed_replicas_stay_in_the_plan():
    world = settled_world()
    before = world.serving()
    for shard in range(4):
        world.link.grants.pop(f"prober/{shard}")
    world.run(0.6)
    world.grant_role(topics.ROLE_PLACER, 2, until=world.now + 3.0)
    world.run(20.0)
    return world.serving() == before


def dead_replica_is_recorded_once():
    world = settled_world()
    world.replicas["v0"].unresponsive = True
    for second in range(1, 4):
        for front in ("f1", "f2"):
            world.report_demand(front, 100.0, second, failure_observations(["v0"]))
        world.run(1.0)
    world.run(30.0)
    return len(world.decisions("replica_lost")) == 1


def configuration_storm_causes_few_solves():
    world = settled_world()
    solves = world.component("placer").term.solving.solves
    for version in range(2, 102):
        priority = 10 + version
        models = {"large": large_model(priority)}
        world.configure(document(models=models, routes=only_large_routes()), version)
        world.run(0.02)
    return world.component("placer").term.solving.solves - solves <= 4


def large_model(priority):
    return {
        "latency_classes": {"interactive": "continental"},
        "resources": {"gpu-large": {"units": 0.6, "tokens_per_s": 600.0}},
        "priority": priority,
    }


def only_large_routes():
    return {"dispute": {"kind": "model", "model": "large", "latency_class": "interactive"}}


def probes_stay_within_the_budget():
    replicas = [
        FakeReplica(f"r{n}", f"127.{1 + n // 200}.1.{n % 200 + 1}:80", "vestland", "z")
        for n in range(830)
    ]
    for replica in replicas:
        replica.models["m"] = float("inf")
    world = ProberWorld(replicas)
    world.run(4.0)
    return max(Counter(int(at) for at, _ in world.http).values()) <= 1.5 * FLEET_PROBE_BUDGET_PER_S


def report_of_another_replica_is_rejected():
    world = settled_world()
    victim, other, *_ = sorted({replica for replica, _ in world.serving()})
    world.replicas[victim].invalid_answer = world.replicas[other].report(world.now)
    world.run(25.0)
    return victim not in {replica for replica, _ in world.serving()} and all(
        result.report is None or result.report.replica_id == replica_id
        for replica_id, result in world.component("placer").term.fleet.replicas.items()
    )


def report_under_an_old_token_is_rejected():
    world = settled_world()
    for role in range(4):
        world.grant_role(f"prober/{role}", 5, until=world.now + 3.0)
    world.run(3.0)
    old = RoleGrant(role_key="prober/0", token=VersionMark(epoch=1, counter=4), lease_ms=3000)
    result = ProbeResult(
        replica_id="v0", answered=False, age_ms=0, report_json="", consecutive_failures=9
    )
    return not world.call(ProbeReport(node_id="old", grant=old, results=[result])).accepted


def full_replica_gets_few_orders():
    replicas = fleet()
    for replica in replicas:
        replica.rejects_loads = True
    world = World(replicas, document())
    world.run(12.0)
    return max(len(replica.orders) for replica in replicas) <= 2


def ignore_lease_expiry(self, now):
    return self.link.grants.get(self.role_key)


class ImmediateTakeover:
    """A takeover that decides at once, and never counts its knowledge as partial."""

    def __init__(self, now):
        pass

    def may_decide(self, fleet, expected, seen, now):
        return fleet.has_listing

    def is_partial(self, now):
        return False


ROLE = "rooklug.controller.role.RoleFollower"
MUTATIONS = (
    (frozen_process_sends_no_orders, f"{ROLE}._usable_grant", ignore_lease_expiry),
    (stale_placer_stops, f"{ROLE}.fence", lambda self: None),
    (
        sudden_empty_list_is_delayed,
        "rooklug.controller.listing_guard.SUSPICIOUS_SHARE",
        2.0,
    ),
    (
        disconnected_prober_reports_no_failures,
        "rooklug.controller.self_check.SUSPECT_AFTER_FAILURES",
        10**9,
    ),
    (one_front_makes_no_replica_dead, "rooklug.controller.health.OBSERVERS_FOR_DEAD", 1),
    (busy_replica_is_not_declared_dead, "rooklug.controller.health.PROBE_CONTRADICTION_S", 0.0),
    (
        prober_partitioned_from_a_region_makes_no_replica_dead,
        "rooklug.controller.health.HEALTHY_VETO_S",
        0.0,
    ),
    (
        new_placer_keeps_serving_models,
        "rooklug.controller.placer_term.Takeover",
        ImmediateTakeover,
    ),
    (
        partial_knowledge_withdraws_nothing,
        "rooklug.controller.placer_term.without_withdrawals",
        lambda plan, moves, last_plan: plan,
    ),
    (
        unprobed_replicas_stay_in_the_plan,
        "rooklug.controller.fleet_state.FleetState.remember_plan",
        lambda self, last_plan: None,
    ),
    (
        dead_replica_is_recorded_once,
        "rooklug.controller.fleet_state.Replica.evaluate",
        lambda self, now: self.health.verdict(now),
    ),
    (configuration_storm_causes_few_solves, "rooklug.controller.solve_trigger.SPACING_S", 0.0),
    (
        probes_stay_within_the_budget,
        "rooklug.controller.probe_schedule.ProbeBudget.try_consume",
        lambda self, now: True,
    ),
    (
        report_under_an_old_token_is_rejected,
        "rooklug.controller.placer.version_key",
        lambda mark: (0, 0),
    ),
    (full_replica_gets_few_orders, "rooklug.controller.placer_term.AVOID_S", 0.0),
)


class Guards(unittest.TestCase):
    def test_a_report_of_another_replica_is_rejected(self):
        self.assertTrue(report_of_another_replica_is_rejected())

    def test_orders_end_with_the_lease(self):
        self.assertTrue(order_is_not_sent_after_its_lease())


def _holding(scenario):
    def test(self):
        self.assertTrue(scenario())

    return test


def _breaking(scenario, target, replacement):
    def test(self):
        with patch(target, replacement):
            self.assertFalse(scenario())

    return test


for _scenario, _target, _replacement in MUTATIONS:
    _name = _scenario.__name__
    setattr(Guards, f"test_{_name}", _holding(_scenario))
    setattr(Guards, f"test_without_guard_not_{_name}", _breaking(_scenario, _target, _replacement))
