"""Randomly drawn deployments and fault sequences for the gateway's simulated scenarios."""

import unittest
from random import Random

from rooklug_lab.gateway.random_day import RandomDay
from rooklug_lab.gateway.shape import FIXED_SHAPE, drawn_shape
from rooklug_lab.gateway.site import SEEDS, GatewaySite

SHAPES = [drawn_shape(Random(seed)) for seed in range(200)]


class Drawn(unittest.TestCase):
    def test_every_kind_of_deployment_is_drawn(self):
        self.assertEqual({len(shape.regions) for shape in SHAPES}, {1, 2, 3})
        self.assertEqual({len(shape.core_zones) for shape in SHAPES}, {3, 5, 6, 7})
        self.assertEqual({shape.tolerance for shape in SHAPES}, {1, 2})

    def test_the_tolerated_loss_leaves_a_majority(self):
        for shape in SHAPES:
            self.assertGreater(len(shape.core_zones) - shape.tolerance, len(shape.core_zones) / 2)

    def test_seed_nodes_are_in_several_zones(self):
        for shape in SHAPES:
            self.assertGreater(len(set(shape.core_zones[:SEEDS])), 1)
            self.assertLessEqual(set(shape.core_zones), set(shape.zones))

    def test_a_seed_draws_the_same_deployment_again(self):
        self.assertEqual(drawn_shape(Random(7)), SHAPES[7])


class Days(unittest.TestCase):
    def test_no_more_disks_are_lost_than_the_deployment_tolerates(self):
        site = GatewaySite(1, FIXED_SHAPE)
        site.start()
        wiped = []
        site.kill = lambda names, for_s, power=False, wipe=False: wiped.append(wipe)
        day = RandomDay(site, Random(1), disks_left=FIXED_SHAPE.tolerance)
        for _ in range(50):
            day.kill_primary()
        self.assertEqual(sum(wiped), FIXED_SHAPE.tolerance)

    def test_a_route_is_used_only_once_its_change_is_acknowledged(self):
        site = GatewaySite(1, FIXED_SHAPE)
        site.start()
        site.world.run_for(3.0)
        day = RandomDay(site, Random(1))
        used = []
        site.add_path = used.append
        site.kill(site.cores, 15.0)
        day.change()
        site.world.run_for(14.0)
        self.assertEqual(used, [])
        site.world.run_for(16.0)
        self.assertEqual(used, ["/drawn1/1"])

    def test_later_changes_are_not_based_on_a_rejected_one(self):
        site = GatewaySite(1, FIXED_SHAPE)
        site.start()
        site.world.run_for(3.0)
        first = site.change(["a"])
        site.world.run_for(3.0)
        rival = site.rival()
        site.world.run_for(3.0)
        self.assertTrue(rival.refused and first.acknowledged_at)
        refused = site.change(["b"], version_step=1)
        refused.refused = True
        self.assertEqual(site.change(["c"]).version, first.version + 1)


if __name__ == "__main__":
    unittest.main()
