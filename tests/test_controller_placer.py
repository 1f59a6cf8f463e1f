"""The placer in virtual time: orders, tokens, freezes, takeovers, losses."""

import json
import unittest

from rooklug.controller.takeover import GATHER_LIMIT_S
from rooklug.model import topics
from rooklug.placement.orders import MoveSettings
from tests.controller_placing import calls_after, served_models, settled_world
from tests.controller_world import World, document, fleet


class Orders(unittest.TestCase):
    def test_orders_carry_token_id_and_end(self):
        world = settled_world()
        orders = [call for _, call in world.http if call.method == "POST"]
        self.assertTrue(orders)
        for call in orders:
            body = json.loads(call.body)
            self.assertEqual(sorted(body), ["model", "order_id", "token"])
            self.assertEqual(body["token"], [1, 1])
            self.assertIsNotNone(call.not_after)
        self.assertEqual(served_models(world), {"small", "large"})

    def test_a_lost_answer_repeats_the_same_order(self):
        replicas = fleet()
        for replica in replicas:
            replica.lost_answers = 2
        world = World(replicas, document())
        world.run(20.0)
        by_id = {}
        for _, replica_id, path, model, order_id, _ in world.orders():
            by_id.setdefault(order_id, set()).add((replica_id, path, model))
        self.assertTrue(all(len(orders) == 1 for orders in by_id.values()))
        self.assertGreater(len(world.orders()), len(by_id))
        self.assertEqual(served_models(world), {"small", "large"})

    def test_a_stale_token_stops_the_placer(self):
        world = settled_world()
        for replica in world.replicas.values():
            replica.highest = (7, 7)
            replica.restart()
        world.run(8.0, until=lambda: world.component("placer").term is None)
        self.assertIsNone(world.component("placer").term)
        stopped = world.now
        world.run(4.0)
        self.assertFalse([c for c in calls_after(world, stopped) if c.method == "POST"])
        self.assertFalse([p for p in world.published(topics.PLAN) if p.at > stopped])

    def test_a_grant_that_goes_on_being_renewed_ends_the_standby(self):
        world = settled_world()
        world.run(15.0)
        for replica in world.replicas.values():
            replica.highest = (7, 7)
            replica.restart()
        world.run(8.0, until=lambda: world.component("placer").term is None)
        stopped = world.now
        back = world.run(20.0, until=lambda: world.component("placer").term is not None)
        self.assertTrue(back)
        self.assertGreaterEqual(world.now - stopped, 5.9)

    def test_a_newer_token_lets_it_act_again(self):
        world = settled_world()
        for replica in world.replicas.values():
            replica.highest = (1, 5)
            replica.restart()
        world.run(8.0, until=lambda: world.component("placer").term is None)
        world.take_role(topics.ROLE_PLACER, 6, until=world.now + 3.0)
        world.run(15.0)
        self.assertEqual(served_models(world), {"small", "large"})
        self.assertEqual(world.published(topics.PLAN)[-1].token, (1, 6))

    def test_no_room_is_tried_elsewhere(self):
        replicas = fleet()
        replicas[0].no_room = True
        replicas[5].no_room = True
        world = World(replicas, document())
        world.run(25.0)
        self.assertEqual(served_models(world), {"small", "large"})


class Freeze(unittest.TestCase):
    def test_a_process_frozen_for_20_s_orders_nothing_when_it_wakes(self):
        world = settled_world()
        for replica in world.replicas.values():
            replica.restart()
        world.run(0.4)
        froze = world.now
        world.freeze(20.0)
        world.run(40.0)
        self.assertEqual(calls_after(world, froze), [])
        self.assertFalse([p for p in world.link.publications if p.at > froze])

    def test_after_a_freeze_and_a_new_lease_it_gathers_anew(self):
        world = settled_world()
        world.freeze(20.0)
        world.run(20.5)
        world.renewing = True
        awake = world.now
        world.run(10.0)
        first = next(p for p in world.published(topics.PLAN) if p.at > awake)
        self.assertGreater(first.at, awake + 0.5)
        self.assertEqual(served_models(world), {"small", "large"})

    def test_a_plan_solved_before_the_freeze_is_not_carried_out_in_a_new_term(self):
        world = settled_world()
        world.compute_s = 5.0
        for replica in world.replicas.values():
            replica.restart()
        world.run(7.0)
        orders = len(world.orders())
        world.take_role(topics.ROLE_PLACER, 2, until=world.now + 3.0)
        world.compute_s = 1000.0
        world.run(10.0)
        self.assertEqual(len(world.orders()), orders)


class Takeover(unittest.TestCase):
    def test_a_new_placer_starts_from_reports_and_moves_nothing(self):
        world = settled_world()
        before, orders = world.serving(), len(world.orders())
        world.take_role(topics.ROLE_PLACER, 2, until=world.now + 3.0)
        world.run(30.0)
        self.assertEqual(world.published(topics.PLAN)[-1].token, (1, 2))
        self.assertEqual(world.serving(), before)
        self.assertEqual(len(world.orders()), orders)

    def test_the_last_plan_stands_until_the_fleet_is_known(self):
        world = settled_world()
        world.cut_off = {r.address for r in world.replicas.values() if r.region == "austland"}
        taken = world.now
        world.link.owners.clear()
        for role_key in [topics.ROLE_PLACER, *(f"prober/{n}" for n in range(4))]:
            world.take_role(role_key, 2, until=world.now + 3.0)
        world.run(30.0)
        first = next(p for p in world.published(topics.PLAN) if p.token == (1, 2))
        self.assertGreater(first.at - taken, 0.9)
        self.assertLess(first.at - taken, GATHER_LIMIT_S + 1.0)

    def test_what_no_prober_can_tell_stays_as_in_the_last_plan(self):
        world = settled_world()
        before = world.serving()
        for shard in range(4):
            world.link.grants.pop(f"prober/{shard}")
        world.run(0.6)
        world.take_role(topics.ROLE_PLACER, 2, until=world.now + 3.0)
        world.run(60.0)
        self.assertEqual(world.published(topics.PLAN)[-1].token, (1, 2))
        self.assertEqual(world.serving(), before)

    def test_a_placer_without_any_report_orders_nothing(self):
        world = World(fleet(), document())
        world.cut_off = set(world.by_address)
        world.run(30.0)
        self.assertEqual(world.orders(), [])


class Moving(unittest.TestCase):
    def demand(self, world, tokens, seconds, first):
        for second in range(first, first + seconds):
            world.report_demand("f1", tokens, second, route="dispute")
            world.run(1.0)

    def test_a_stalled_load_is_given_up_and_placed_elsewhere(self):
        replicas = fleet()
        for replica in replicas[:3]:
            replica.stalled = True
        world = World(replicas, document())
        world.run(90.0)
        self.assertEqual(served_models(world), {"small", "large"})
        self.assertTrue(world.decisions("give_up"))

    def test_unloads_come_after_the_published_withdrawal(self):
        world = settled_world()
        self.demand(world, 1500.0, 25, 1)
        self.demand(world, 0.0, 400, 26)
        unloads = [order for order in world.orders() if order[2] == "/api/unload"]
        self.assertTrue(unloads)
        for at, replica_id, _, model, _, _ in unloads:
            plan = [p for p in world.published(topics.PLAN) if p.at <= at - 3.0][-1].body
            entry = next(r for r in plan.replicas if r.replica_id == replica_id)
            self.assertNotIn(model, entry.intended_models)
        self.assertEqual(served_models(world), {"small", "large"})

    def test_unloads_wait_until_the_core_has_accepted_the_withdrawal(self):
        world = settled_world()
        world.link.accept_delay_s = 10.0
        self.demand(world, 9000.0, 30, 0)
        self.demand(world, 10.0, 120, 100)
        unloads = [order for order in world.orders() if order[2] == "/api/unload"]
        self.assertTrue(unloads)
        for at, replica_id, _, model, _, _ in unloads:
            accepted = self.withdrawn_at(world, replica_id, model, at) + 10.0
            self.assertGreaterEqual(at, accepted + MoveSettings().drain_s, replica_id)

    def withdrawn_at(self, world, replica_id, model, before):
        """Return when the newest run of plans that don't offer the model there began."""
        began = float("inf")
        for publication in reversed([p for p in world.published(topics.PLAN) if p.at <= before]):
            entries = [r for r in publication.body.replicas if r.replica_id == replica_id]
            if any(model in entry.intended_models for entry in entries):
                break
            began = publication.at
        return began

    def test_every_published_cell_leads_to_a_region_that_serves(self):
        world = settled_world()
        self.demand(world, 1500.0, 25, 1)
        world.replicas["v0"].dark = True
        self.demand(world, 1500.0, 40, 26)
        for publication in world.published(topics.PLAN):
            hosts = {
                (model, world.replicas[replica.replica_id].region)
                for replica in publication.body.replicas
                for model in set(replica.loaded_models) & set(replica.intended_models)
            }
            for cell in publication.body.matrix:
                self.assertIn((cell.model, cell.destination_region), hosts)

    def test_a_placer_that_knows_a_part_takes_nothing_away(self):
        world = settled_world()
        self.demand(world, 1500.0, 25, 1)
        world.add_fronts(4)
        before, orders = world.serving(), len(world.orders())
        world.take_role(topics.ROLE_PLACER, 2, until=world.now + 3.0)
        world.run(9.0)
        self.assertEqual(world.published(topics.PLAN)[-1].token, (1, 2))
        self.assertEqual(world.serving(), before)
        self.assertEqual(len(world.orders()), orders)


class Events(unittest.TestCase):
    def test_a_storm_of_configurations_is_debounced(self):
        world = settled_world()
        begun = len(world.published(topics.PLAN))
        solves = world.component("placer").term.solving.solves
        for version in range(2, 302):
            changed = document(limits={"queue_length": version})
            world.configure(changed, version)
            world.run(0.02)
        world.run(2.0)
        self.assertLessEqual(world.component("placer").term.solving.solves - solves, 9)
        self.assertEqual(world.plan().configuration_version, 301)
        self.assertLessEqual(len(world.published(topics.PLAN)) - begun, 70)

    def test_a_planner_that_raises_is_stood_in_for(self):
        def failing(problem):
            raise RuntimeError("no plan")

        world = World(fleet(), document(), solve=failing)
        world.run(20.0)
        self.assertEqual(served_models(world), {"small", "large"})
        self.assertTrue(
            [
                log
                for _, log in world.logs
                if log.message == "solve failed; spreading the models evenly instead"
            ]
        )

    def test_an_unreadable_configuration_changes_nothing(self):
        world = settled_world()
        world.configure(b'{"models": 3}', 2)
        world.run(5.0)
        self.assertEqual(world.plan().configuration_version, 1)
        self.assertEqual(served_models(world), {"small", "large"})
        world.configure(document(), 3)
        world.run(2.0)
        self.assertEqual(world.plan().configuration_version, 3)

    def test_a_step_in_demand_loads_more_and_names_itself(self):
        world = settled_world()
        before = len({r for r, m in world.serving() if m == "large"})
        for second in range(1, 25):
            world.report_demand("f1", 1500.0, second, route="dispute")
            world.run(1.0)
        after = len({r for r, m in world.serving() if m == "large"})
        self.assertGreater(after, before)
        self.assertTrue(any("demand" in d.cause for d in world.decisions("load")))

    def test_only_the_placer_accepts_reports(self):
        world = World(fleet(), document(), roles=())
        self.assertFalse(world.report_demand("f1", 1.0, 1).accepted)

    def test_nothing_is_published_while_nothing_changes(self):
        world = settled_world()
        world.run(30.0)
        before = len(world.published(topics.PLAN))
        world.run(120.0)
        self.assertEqual(len(world.published(topics.PLAN)), before)

    def test_same_seed_same_bytes(self):
        runs = []
        for _ in range(2):
            world = settled_world(seed=7)
            runs.append(
                [(p.at, p.topic, repr(p.body), repr(p.decisions)) for p in world.link.publications]
            )
        self.assertEqual(runs[0], runs[1])

    def test_decisions_are_numbered_under_the_token(self):
        world = settled_world()
        numbers = [d.sequence for p in world.published(topics.PLAN) for d in p.decisions]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        self.assertTrue(all(d.cause for p in world.published(topics.PLAN) for d in p.decisions))
