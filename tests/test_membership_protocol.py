"""Cores and nodes together in virtual time: leases, roles, topics, faults."""

import unittest
from random import Random

from rooklug.config.json_text import canonical_bytes
from rooklug.config.patching import digest
from rooklug.distribution.link_events import LeaseReleased
from rooklug.engine.events import StopRequested
from rooklug.model.topics import CONFIGURATION, MEMBERS, PLAN, ROLE_PLACER, ZONES
from rooklug.wire.generated.control import ttypes
from tests.membership_world import CORES, World

CLAIMS = [f"claims/{shard}" for shard in range(16)]


def started(seed: int, loss: float = 0.0) -> World:
    world = World(seed, loss)
    world.add_fleet()
    world.run(8.0)
    return world


def all_hold(world: World, version: int) -> bool:
    return all(link.version(CONFIGURATION).counter == version for link in world.links.values())


class ProtocolTest(unittest.TestCase):
    def check_promises(self, world: World) -> None:
        self.assertEqual(world.violations, [])
        self.assertEqual(world.slid_back(), [])

    def test_a_commit_reaches_every_node(self) -> None:
        world = started(1)
        world.commit(b"{}")
        self.assertLess(world.run_until(lambda: all_hold(world, 1), 5.0), 0.5)
        self.check_promises(world)

    def test_every_role_has_a_holder_and_the_placer_publishes(self) -> None:
        world = started(2)
        for key in (ROLE_PLACER, "platform-watcher", "prober/3", "claims/0", "claims/15"):
            self.assertEqual(len(world.holders(key)), 1, key)
        self.assertTrue(all(link.body(PLAN) for link in world.links.values()))
        request = ttypes.ReadDecisionsRequest(ttypes.VersionMark(0, 0), 0, 0)
        answer = world.ask(world.primary, request)[0]
        self.assertEqual(answer.decisions[0].summary, "plan 1")
        self.check_promises(world)

    def test_roles_outlast_a_hand_over_and_a_view_change(self) -> None:
        for act in (World.hand_over, World.change_view):
            world = started(3)
            before = {key: world.holders(key) for key in [ROLE_PLACER, *CLAIMS]}
            act(world)
            for _ in range(60):
                world.run(0.1)
                self.assertEqual({key: world.holders(key) for key in before}, before)
            self.check_promises(world)

    def test_no_node_is_declared_dead_by_a_failover(self) -> None:
        world = started(4)
        nodes = [record.node_id for record in world.links["front-0"].members()]
        self.assertEqual(len(nodes), 9)
        world.kill(world.primary)
        for _ in range(100):
            world.run(0.1)
            held = [record.node_id for record in world.links["front-0"].members()]
            self.assertEqual(held, nodes)
        self.check_promises(world)

    def test_a_new_primary_has_plan_and_decisions_again(self) -> None:
        world = started(5)
        placer = world.observers[next(iter(world.holders(ROLE_PLACER)))]
        world.hand_over()
        world.run(2.0)
        request = ttypes.ReadDecisionsRequest(ttypes.VersionMark(0, 0), 0, 0)
        answer = world.ask(world.primary, request)[0]
        summaries = [record.summary for record in answer.decisions]
        self.assertEqual(summaries, [f"plan {n}" for n in range(1, placer.plans + 1)])
        late = world.add_node("late", "front", "zone-a")
        self.assertLess(world.run_until(lambda: late.body(PLAN) is not None, 5.0), 1.0)

    def test_a_leaving_placer_is_followed_at_once(self) -> None:
        world = started(6)
        (placer,) = world.holders(ROLE_PLACER)
        world.deliver(world.processes[placer], StopRequested())
        took = world.run_until(lambda: bool(world.holders(ROLE_PLACER)), 5.0)
        self.assertLess(took, 1.5)
        self.assertIn(LeaseReleased(True), world.observers[placer].heard)
        self.check_promises(world)

    def test_an_emptied_zone_is_known_soon_and_loses_its_roles(self) -> None:
        world = started(7)
        world.empty_zones("zone-b")

        def known() -> bool:
            return all(link.body(ZONES) is not None for link in world.links.values())

        self.assertLess(world.run_until(known, 5.0), 0.5)
        inside = {name for name, p in world.processes.items() if p.name[-1] in "14"}

        def moved() -> bool:
            return all(set(world.holders(key)) - inside for key in CLAIMS)

        self.assertLess(world.run_until(moved, 10.0), 1.0)
        self.check_promises(world)

    def test_a_dead_node_is_gone_from_the_members_after_its_lease(self) -> None:
        world = started(8)
        world.kill("front-3")
        del world.links["front-3"]
        link = world.links["front-0"]
        took = world.run_until(
            lambda: "front-3" not in [record.node_id for record in link.members()], 10.0
        )
        self.assertTrue(2.0 < took < 4.0, took)
        self.check_promises(world)

    def test_after_everything_was_down_all_roles_are_held_again(self) -> None:
        world = started(9)
        for name in sorted(world.processes):
            world.kill(name)
        world.links.clear()
        world.restart_cores()
        world.add_fleet("2")
        took = world.run_until(
            lambda: all(world.holders(key) for key in [ROLE_PLACER, *CLAIMS]), 20.0
        )
        self.assertLess(took, 6.0)

    def test_a_large_configuration_goes_out_as_a_delta(self) -> None:
        world = started(10)
        filling = Random(10).randbytes(6000).hex()  # packing can't make it smaller than 6000
        document = {"filling": filling, "n": 0}
        sizes = []
        for version in (1, 2, 3):
            document["n"] = version
            data = canonical_bytes(document)
            before = world.bytes_answered
            world.commit(data, digest(data))
            self.assertLess(world.run_until(lambda v=version: all_hold(world, v), 5.0), 1.0)
            sizes.append(world.bytes_answered - before)
            for link in world.links.values():
                self.assertEqual(link.body(CONFIGURATION).document, data)
        self.assertGreater(sizes[0], 9 * 6000)
        self.assertLess(sizes[2], 9 * 6000)

    def test_quiet_nodes_are_not_woken_by_renewals(self) -> None:
        world = started(11)
        mark = world.links["front-0"].version(MEMBERS)
        world.run(5.0)
        self.assertEqual(world.links["front-0"].version(MEMBERS), mark)

    def test_without_any_core_roles_end_and_topics_stay(self) -> None:
        world = started(12)
        world.commit(b"{}")
        world.run(1.0)
        for name in CORES:
            world.kill(name)
        world.run(3.1)
        self.assertEqual([key for key in [ROLE_PLACER, *CLAIMS] if world.holders(key)], [])
        self.assertTrue(all_hold(world, 1))
        self.assertFalse(any(link.connected for link in world.links.values()))

    def test_a_primary_whose_lease_has_ended_sends_its_polls_away(self) -> None:
        world = started(13)
        world.cut.add(world.primary)
        core = world.processes[world.primary]
        component = core.reducer.components["membership"]
        self.assertEqual(len(component.state.polls), 9)
        took = world.run_until(lambda: len(component.state.polls) == 0, 5.0)
        self.assertLess(took, 2.0)
        request = ttypes.PollRequest("x", [], 10_000)
        (answer,) = world.ask(core.name, request)
        self.assertFalse(answer.primary_reachable)
