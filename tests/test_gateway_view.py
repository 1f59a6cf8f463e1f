"""The view builder's slow-start times, from listed entries and zones returning to service."""

import unittest

from rooklug.gateway.view_builder import RESTORED_SLOW_START_S, GatewayViewBuilder
from rooklug.model.internal_events import TopicChanged
from rooklug.model.topics import REPLICAS, ZONES
from rooklug.wire.generated.control.ttypes import ReplicasBody, VersionMark, ZonesBody
from tests.gateway_control_support import listed

MARK = VersionMark(3, 1)


class SlowStart(unittest.TestCase):
    def setUp(self):
        self.view_builder = GatewayViewBuilder()
        self.list(0.0, listed(1), listed(2, zone="north-b"))

    def list(self, now, *replicas):
        self.view_builder.handle(TopicChanged(REPLICAS, MARK, ReplicasBody(list(replicas))), now)

    def drain(self, now, *zones):
        self.view_builder.handle(TopicChanged(ZONES, MARK, ZonesBody(list(zones))), now)

    def in_slow_start(self, now) -> dict[str, bool]:
        return {
            r.replica_id: r.is_in_slow_start(now) for r in self.view_builder.view.replicas["model"]
        }

    def test_a_restored_zone_counts_as_in_slow_start_until_the_list_is_current(self):
        self.drain(1.0, "north-a")
        self.drain(9.0)
        self.assertEqual(self.in_slow_start(9.1), {"r-1": True, "r-2": False})
        self.list(9.5, listed(1), listed(2, zone="north-b"), listed(3))
        self.assertTrue(self.in_slow_start(9.6)["r-1"])
        self.assertFalse(self.in_slow_start(9.1 + RESTORED_SLOW_START_S)["r-1"])

    def test_a_restored_zone_does_not_shorten_a_listed_slow_start(self):
        self.drain(1.0, "north-a")
        self.drain(9.0)
        self.list(10.0, listed(1, cold_ms=3000), listed(2, zone="north-b"))
        self.assertTrue(self.in_slow_start(12.9)["r-1"])
        self.assertFalse(self.in_slow_start(13.1)["r-1"])

    def test_a_repeated_entry_does_not_extend_a_slow_start(self):
        self.list(10.0, listed(1, cold_ms=3000))
        self.list(12.0, listed(1, cold_ms=1000), listed(2))
        self.assertFalse(self.in_slow_start(13.1)["r-1"])
        self.list(20.0, listed(1, cold_ms=2000))
        self.assertTrue(self.in_slow_start(21.9)["r-1"])
