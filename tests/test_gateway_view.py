import unittest

from rooklug.gateway.view_builder import RESTORED_SLOW_START_S, GatewayViewBuilder
from rooklug.model.internal_events import TopicChanged
from rooklug.model.topics import REPLICAS, ZONES
from rooklug.wire.generated.control.ttypes import ReplicasBody, VersionMark, ZonesBody
from tests.gateway_control_support import listed

MARK = VersionMark(3, 1)


class ColdReplicas(unittest.TestCase):
    def setUp(self):
        self.keeper = GatewayViewBuilder()
        self.list(0.0, listed(1), listed(2, zone="north-b"))

    def list(self, now, *replicas):
        self.keeper.handle(TopicChanged(REPLICAS, MARK, ReplicasBody(list(replicas))), now)

    def zones(self, now, *emptied):
        self.keeper.handle(TopicChanged(ZONES, MARK, ZonesBody(list(emptied))), now)

    def cold(self, now) -> dict[str, bool]:
        return {r.replica_id: r.is_in_slow_start(now) for r in self.keeper.view.replicas["model"]}

    def test_a_zone_that_is_taken_back_counts_as_cold_until_the_list_can_tell(self):
        self.zones(1.0, "north-a")
        self.zones(9.0)
        self.assertEqual(self.cold(9.1), {"r-1": True, "r-2": False})
        self.list(9.5, listed(1), listed(2, zone="north-b"), listed(3))
        self.assertTrue(self.cold(9.6)["r-1"])
        self.assertFalse(self.cold(9.1 + RESTORED_SLOW_START_S)["r-1"])

    def test_the_listed_slow_start_is_not_cut_short_by_that(self):
        self.zones(1.0, "north-a")
        self.zones(9.0)
        self.list(10.0, listed(1, cold_ms=3000), listed(2, zone="north-b"))
        self.assertTrue(self.cold(12.9)["r-1"])
        self.assertFalse(self.cold(13.1)["r-1"])

    def test_a_repeated_entry_does_not_prolong_a_slow_start(self):
        self.list(10.0, listed(1, cold_ms=3000))
        self.list(12.0, listed(1, cold_ms=1000), listed(2))
        self.assertFalse(self.cold(13.1)["r-1"])
        self.list(20.0, listed(1, cold_ms=2000))
        self.assertTrue(self.cold(21.9)["r-1"])
