"""What cores and fronts log about state on its way: who confirmed it, who applied it, from whom."""

import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.view_builder import GatewayViewBuilder
from rooklug.membership.propagation import BEHIND_AFTER_S, PropagationWatch
from rooklug.membership.timing import TICK_S
from rooklug.model.internal_events import TopicChanged
from rooklug.model.topics import CONFIGURATION, ZONES
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    TopicMark,
    VersionMark,
    ZonesBody,
)
from tests.membership_world import CORES, World
from tests.test_distribution_core_link import CoreLinkTestCase

OLD, NEW = VersionMark(3, 1), VersionMark(3, 2)
LIVE = ("front-1", "front-2")
LATE = 10.0 + BEHIND_AFTER_S


def marks(version: VersionMark) -> list[TopicMark]:
    return [TopicMark(CONFIGURATION, version), TopicMark(ZONES, version)]


class Watch(unittest.TestCase):
    def setUp(self) -> None:
        self.watch = PropagationWatch()
        self.watch.start(0.0)
        self.watch.record_version(ZONES, NEW, 10.0)
        self.watch.record_poll("front-1", marks(NEW))
        self.watch.record_poll("front-2", marks(OLD))

    def logs(self, now: float, live: tuple[str, ...] = LIVE) -> list[fx.Log]:
        return [effect for effect in self.watch.check(live, now) if isinstance(effect, fx.Log)]

    def test_a_live_node_whose_last_poll_is_older_is_named_once(self) -> None:
        self.assertEqual(self.logs(LATE - 0.1), [])
        (line,) = self.logs(LATE)
        self.assertEqual((line.level, line.fields["nodes"]), ("warning", ["front-2"]))
        self.assertEqual((line.fields["topic"], line.fields["counter"]), (ZONES, 2))
        self.assertEqual(self.logs(LATE + 1.0), [])

    def test_its_next_poll_ends_it(self) -> None:
        self.logs(LATE)
        self.watch.record_poll("front-2", marks(NEW))
        (line,) = self.logs(LATE + 1.0)
        self.assertEqual((line.level, line.fields["nodes"]), ("info", []))

    def test_a_live_node_that_never_polled_this_primary_is_behind(self) -> None:
        self.watch.start(20.0)
        self.watch.record_poll("front-1", marks(NEW))
        (line,) = self.logs(20.0 + BEHIND_AFTER_S)
        self.assertEqual(line.fields["nodes"], ["front-2"])

    def test_nodes_without_a_lease_are_not_named(self) -> None:
        self.assertEqual(self.logs(LATE, live=("front-1",)), [])


class CoreLog(unittest.TestCase):
    """A core's account of its commits, and of the nodes that don't confirm them."""

    def test_the_primary_logs_a_commit_and_the_live_nodes_that_are_behind(self) -> None:
        world = World(1)
        world.add_fleet()
        world.run(8.0)
        world.drain_zones("zone-a")
        world.partitioned = {"front-0"}
        world.run(BEHIND_AFTER_S + TICK_S)
        lines = world.logs[world.primary]
        committed = [line.fields for line in lines if line.message == "drained zones committed"]
        self.assertEqual(committed, [{"zones": ["zone-a"], "epoch": world.epoch, "counter": 1}])
        behind = [line.fields["nodes"] for line in lines if line.level == "warning"]
        self.assertEqual(behind, [["front-0"]])
        self.assertEqual(self.nodes_behind(world), 1.0)

    def test_a_configuration_is_watched_as_well(self) -> None:
        world = World(1)
        world.add_fleet()
        world.run(8.0)
        world.commit(b"{}")
        world.partitioned = {"front-0"}
        world.run(BEHIND_AFTER_S + TICK_S)
        behind = [line.fields for line in world.logs[world.primary] if line.level == "warning"]
        self.assertEqual([line["topic"] for line in behind], [CONFIGURATION])

    def test_a_backup_that_becomes_the_primary_gives_the_nodes_time_to_poll(self) -> None:
        world = World(1)
        world.add_fleet()
        world.run(8.0)
        world.commit(b"{}")
        for name in CORES:
            world.emit(name, world.committed)
        world.run(BEHIND_AFTER_S + 1.0)
        world.max_delay_s = 0.2  # a tick comes between a node's first renewal and its poll
        world.hand_over()
        world.run(BEHIND_AFTER_S - TICK_S)
        lines = [line for lines in world.logs.values() for line in lines]
        self.assertEqual([line for line in lines if "newest state" in line.message], [])

    def nodes_behind(self, world: World) -> float:
        process = world.processes[world.primary]
        samples = process.reducer.metrics(world.now(process))
        return next(s.value for s in samples if s.name == "rooklug_nodes_behind")


class FrontLog(unittest.TestCase):
    def test_applied_zones_are_logged_with_their_version(self) -> None:
        effects = GatewayViewBuilder().handle(TopicChanged(ZONES, NEW, ZonesBody(["north-a"])), 1.0)
        lines = [effect for effect in effects if isinstance(effect, fx.Log)]
        self.assertEqual(
            [(line.message, line.fields) for line in lines],
            [("drained zones applied", {"zones": ["north-a"], "epoch": 3, "counter": 2})],
        )

    def test_an_applied_configuration_is_logged_with_its_version(self) -> None:
        body = ConfigurationBody(2, "", b'{"version":2,"routes":[],"services":[]}')
        effects = GatewayViewBuilder().handle(TopicChanged(CONFIGURATION, NEW, body), 1.0)
        lines = [effect for effect in effects if isinstance(effect, fx.Log)]
        self.assertEqual(
            [(line.level, line.message, line.fields) for line in lines],
            [("info", "configuration applied", {"version": 2, "epoch": 3})],
        )


class LinkLog(CoreLinkTestCase):
    """A node's own account of its link to the core."""

    def messages(self, effects: list[fx.Effect]) -> list[str]:
        return [effect.message for effect in effects if isinstance(effect, fx.Log)]

    def test_a_node_names_its_primary_and_the_lapse_of_its_lease(self) -> None:
        call = self.renew(10.0)
        effects = self.grant(call, 10.1)
        self.assertEqual(self.messages(effects), ["following the primary", "node lease granted"])
        line = next(effect for effect in effects if isinstance(effect, fx.Log))
        self.assertEqual((line.fields["address"], line.fields["epoch"]), (call.address, 3))
        self.assertEqual(self.messages(self.link.handle(ev.TimerFired("poll"), 12.9)), [])
        (lapsed,) = self.messages(self.link.handle(ev.TimerFired("poll"), 13.0))
        self.assertIn("lapsed", lapsed)
        self.assertEqual(self.messages(self.link.handle(ev.TimerFired("poll"), 14.0)), [])
