"""The placer's reaction to dead, leaving and restarted replicas and to drained zones."""

import unittest

from rooklug.wire.generated.control.ttypes import (
    ProbeReport,
    RoleGrant,
    VersionMark,
)
from tests.controller_placing import failure_observations, served_models, settled_world
from tests.controller_world import World, document, fleet


class Losses(unittest.TestCase):
    def serving_replica(self, world, model):
        return sorted(replica for replica, held in world.serving() if held == model)[0]

    def test_a_dead_replica_is_replaced(self):
        world = settled_world()
        victim = self.serving_replica(world, "large")
        world.replicas[victim].unresponsive = True
        world.run(30.0)
        self.assertIn("large", served_models(world))
        self.assertNotIn(victim, {replica for replica, _ in world.serving()})
        self.assertTrue(any("lost" in d.cause for d in world.decisions("load")))

    def test_fronts_and_prober_together_detect_a_dead_replica_within_3_s(self):
        world = settled_world()
        victim = self.serving_replica(world, "large")
        world.replicas[victim].unresponsive = True
        for second in range(1, 6):
            world.report_demand("f1", 100.0, second, failure_observations([victim]))
            world.report_demand("f2", 100.0, second, failure_observations([victim]))
            if world.run(1.0, until=lambda: bool(world.decisions("replica_lost"))):
                break
        self.assertLessEqual(second, 3)

    def test_a_busy_replica_that_answers_probes_is_not_dead(self):
        world = settled_world()
        for second in range(1, 40):
            for front in ("f1", "f2", "f3"):
                world.report_demand(front, 100.0, second, failure_observations(["v0"]))
            world.run(1.0)
        self.assertEqual(world.decisions("replica_lost"), [])

    def test_a_dead_replica_stays_dead_until_it_answers(self):
        world = settled_world()
        victim = self.serving_replica(world, "large")
        world.replicas[victim].unresponsive = True
        for second in range(1, 4):
            world.report_demand("f1", 100.0, second, failure_observations([victim]))
            world.report_demand("f2", 100.0, second, failure_observations([victim]))
            world.run(1.0)
        world.run(60.0)
        self.assertEqual(len(world.decisions("replica_lost")), 1)
        self.assertEqual(world.decisions("replica_back"), [])
        world.replicas[victim].unresponsive = False
        world.run(5.0)
        self.assertEqual(len(world.decisions("replica_back")), 1)

    def test_one_front_alone_makes_no_replica_dead(self):
        world = settled_world()
        for second in range(1, 20):
            world.report_demand("f1", 100.0, second, failure_observations(world.replicas))
            world.run(1.0)
        self.assertEqual(world.decisions("replica_lost"), [])

    def test_a_leaving_replica_is_replaced_and_gets_no_order(self):
        world = settled_world()
        victim = self.serving_replica(world, "large")
        orders = len(world.replicas[victim].orders)
        world.platform.leaving.add(victim)
        world.platform.version += 1
        world.run(20.0)
        others = {(r, m) for r, m in world.serving() if r != victim}
        self.assertEqual({model for _, model in others}, {"small", "large"})
        self.assertEqual(len(world.replicas[victim].orders), orders)

    def test_a_drained_zone_is_evacuated_and_gets_no_orders(self):
        world = settled_world()
        zone = world.replicas[self.serving_replica(world, "large")].zone
        world.drain_zones(zone)
        world.run(20.0)
        outside = {
            model for replica, model in world.serving() if world.replicas[replica].zone != zone
        }
        self.assertEqual(outside, {"small", "large"})
        emptied_at = world.now
        world.run(30.0)
        inside = [
            order
            for order in world.orders()
            if order[0] > emptied_at and world.replicas[order[1]].zone == zone
        ]
        self.assertEqual(inside, [])

    def test_retries_stop_when_the_zone_is_drained(self):
        replicas = fleet()
        for replica in replicas:
            replica.lost_answers = 100
        world = World(replicas, document())
        world.run(5.0, until=lambda: bool(world.orders()))
        world.drain_zones("vestland-a", "vestland-b", "austland-a")
        world.run(0.5)
        orders = len(world.orders())
        world.run(20.0)
        self.assertEqual(len(world.orders()), orders)

    def test_a_restarted_replica_is_cold_and_reloaded(self):
        world = settled_world()
        victim = self.serving_replica(world, "large")
        world.run(15.0)
        warm = next(r for r in world.plan().replicas if r.replica_id == victim)
        self.assertFalse(warm.cold)
        world.replicas[victim].restart()
        seen_cold = world.run(
            8.0,
            until=lambda: next(r for r in world.plan().replicas if r.replica_id == victim).cold,
        )
        self.assertTrue(seen_cold)
        self.assertTrue(world.run(15.0, until=lambda: "large" in served_models(world)))

    def test_a_restarted_fleet_without_models_is_loaded_within_12_s(self):
        world = settled_world()
        for replica in world.replicas.values():
            replica.unresponsive = True
        world.run(40.0)
        for replica in world.replicas.values():
            replica.unresponsive = False
            replica.restart()
        back = world.run(12.0, until=lambda: served_models(world) == {"small", "large"})
        self.assertTrue(back)


class Confirmation(unittest.TestCase):
    def test_every_prober_is_asked_to_probe_a_suspect(self):
        world = settled_world()
        world.unreachable_addresses = {world.replicas["v0"].address}
        world.report_demand("f1", 100.0, 1, failure_observations(["v0"]))
        world.run(0.3)
        answers = []
        for shard in range(4):
            token = VersionMark(epoch=1, counter=9)
            grant = RoleGrant(role_key=f"prober/{shard}", token=token, lease_ms=3000)
            report = ProbeReport(node_id=f"other-{shard}", grant=grant, results=[])
            answers.append(world.call(report))
        self.assertTrue(all(answer.accepted for answer in answers))
        self.assertEqual([answer.probe_soon for answer in answers], [["v0"]] * 4)
