"""Cores and nodes together in virtual time: leases, roles, topics, and single faults."""

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


def started(seed: int, loss_rate: float = 0.0) -> World:
    world = World(seed, loss_rate)
    world.add_fleet()
    world.run(8.0)
    return world


def all_have_version(world: World, version: int) -> bool:
    return all(link.version(CONFIGURATION).counter == version for link in world.links.values())


class ProtocolTest(unittest.TestCase):
    def check_invariants(self, world: World) -> None:
        self.assertEqual(world.violations, [])
        self.assertEqual(world.version_regressions(), [])

    def test_commit_reaches_every_node(self) -> None:
        world = started(1)
        world.commit(b"{}")
        self.assertLess(world.run_until(lambda: all_have_version(world, 1), 5.0), 0.5)
        self.check_invariants(world)

    def test_every_role_has_one_owner_and_the_placer_publishes(self) -> None:
        world = started(2)
        for key in (ROLE_PLACER, "platform-watcher", "prober/3", "claims/0", "claims/15"):
            self.assertEqual(len(world.owners(key)), 1, key)
        self.assertTrue(all(link.body(PLAN) for link in world.links.values()))
        request = ttypes.ReadDecisionsRequest(ttypes.VersionMark(0, 0), 0, 0)
        answer = world.request_answers(world.primary, request)[0]
        self.assertEqual(answer.decisions[0].summary, "plan 1")
        self.check_invariants(world)

    def test_role_owners_survive_hand_over_and_view_change(self) -> None:
        for change_primary in (World.hand_over, World.change_view):
            world = started(3)
            before = {key: world.owners(key) for key in [ROLE_PLACER, *CLAIMS]}
            change_primary(world)
            for _ in range(60):
                world.run(0.1)
                self.assertEqual({key: world.owners(key) for key in before}, before)
            self.check_invariants(world)

    def test_failover_removes_no_live_node(self) -> None:
        world = started(4)
        nodes = [record.node_id for record in world.links["front-0"].members()]
        self.assertEqual(len(nodes), 9)
        world.kill(world.primary)
        for _ in range(100):
            world.run(0.1)
            node_ids = [record.node_id for record in world.links["front-0"].members()]
            self.assertEqual(node_ids, nodes)
        self.check_invariants(world)

    def test_new_primary_recovers_plan_and_decisions(self) -> None:
        world = started(5)
        placer = world.observers[next(iter(world.owners(ROLE_PLACER)))]
        world.hand_over()
        world.run(2.0)
        request = ttypes.ReadDecisionsRequest(ttypes.VersionMark(0, 0), 0, 0)
        answer = world.request_answers(world.primary, request)[0]
        summaries = [record.summary for record in answer.decisions]
        self.assertEqual(summaries, [f"plan {n}" for n in range(1, placer.plans + 1)])
        late = world.add_node("late", "front", "zone-a")
        self.assertLess(world.run_until(lambda: late.body(PLAN) is not None, 5.0), 1.0)

    def test_stopped_placer_is_replaced_promptly(self) -> None:
        world = started(6)
        (placer,) = world.owners(ROLE_PLACER)
        world.deliver(world.processes[placer], StopRequested())
        took_s = world.run_until(lambda: bool(world.owners(ROLE_PLACER)), 5.0)
        self.assertLess(took_s, 1.5)
        self.assertIn(LeaseReleased(True), world.observers[placer].internal_events)
        self.check_invariants(world)

    def test_drained_zone_is_published_and_loses_its_roles(self) -> None:
        world = started(7)
        world.drain_zones("zone-b")

        def known() -> bool:
            return all(link.body(ZONES) is not None for link in world.links.values())

        self.assertLess(world.run_until(known, 5.0), 0.5)
        drained_nodes = {name for name, p in world.processes.items() if p.name[-1] in "14"}

        def moved() -> bool:
            return all(set(world.owners(key)) - drained_nodes for key in CLAIMS)

        self.assertLess(world.run_until(moved, 10.0), 1.0)
        self.check_invariants(world)

    def test_dead_node_is_removed_when_its_lease_expires(self) -> None:
        world = started(8)
        world.kill("front-3")
        del world.links["front-3"]
        link = world.links["front-0"]
        took_s = world.run_until(
            lambda: "front-3" not in [record.node_id for record in link.members()], 10.0
        )
        self.assertTrue(2.0 < took_s < 4.0, took_s)
        self.check_invariants(world)

    def test_all_roles_are_granted_after_full_restart(self) -> None:
        world = started(9)
        for name in sorted(world.processes):
            world.kill(name)
        world.links.clear()
        world.restart_cores()
        world.add_fleet("2")
        took_s = world.run_until(
            lambda: all(world.owners(key) for key in [ROLE_PLACER, *CLAIMS]), 20.0
        )
        self.assertLess(took_s, 6.0)

    def test_large_configuration_is_sent_as_a_delta(self) -> None:
        world = started(10)
        incompressible = Random(10).randbytes(6000).hex()  # doesn't compress below 6000 bytes
        document = {"filling": incompressible, "n": 0}
        bytes_per_commit = []
        for version in (1, 2, 3):
            document["n"] = version
            data = canonical_bytes(document)
            before = world.bytes_answered
            world.commit(data, digest(data))
            self.assertLess(world.run_until(lambda v=version: all_have_version(world, v), 5.0), 1.0)
            bytes_per_commit.append(world.bytes_answered - before)
            for link in world.links.values():
                self.assertEqual(link.body(CONFIGURATION).document, data)
        self.assertGreater(bytes_per_commit[0], 9 * 6000)
        self.assertLess(bytes_per_commit[2], 9 * 6000)

    def test_unchanged_renewals_publish_nothing(self) -> None:
        world = started(11)
        version = world.links["front-0"].version(MEMBERS)
        world.run(5.0)
        self.assertEqual(world.links["front-0"].version(MEMBERS), version)

    def test_without_cores_grants_expire_and_topics_remain(self) -> None:
        world = started(12)
        world.commit(b"{}")
        world.run(1.0)
        for name in CORES:
            world.kill(name)
        world.run(3.1)
        self.assertEqual([key for key in [ROLE_PLACER, *CLAIMS] if world.owners(key)], [])
        self.assertTrue(all_have_version(world, 1))
        self.assertFalse(any(link.connected for link in world.links.values()))

    def test_primary_with_expired_lease_ends_its_polls(self) -> None:
        world = started(13)
        world.partitioned.add(world.primary)
        core = world.processes[world.primary]
        component = core.reducer.components["membership"]
        self.assertEqual(len(component.state.polls), 9)
        took_s = world.run_until(lambda: len(component.state.polls) == 0, 5.0)
        self.assertLess(took_s, 2.0)
        request = ttypes.PollRequest("x", [], 10_000)
        (answer,) = world.request_answers(core.name, request)
        self.assertFalse(answer.primary_reachable)
