"""The shortest complete path: from the platform's list to a plan with all models loaded."""

import unittest

from rooklug.controller.spread_plan import spread
from rooklug.model import topics
from tests.controller_world import World, document, fleet


class FreshFleet(unittest.TestCase):
    def test_a_fresh_fleet_is_listed_loaded_and_published(self):
        world = World(fleet(), document(), solve=spread)
        served = world.run(12.0, until=lambda: self.all_models_serve_in_both_regions(world))
        self.assertTrue(served, world.logs)

    @staticmethod
    def all_models_serve_in_both_regions(world):
        if not world.published(topics.PLAN):
            return False
        plan = world.plan()
        serving = {
            (model, replica.replica_id[0])
            for replica in plan.replicas
            for model in set(replica.loaded_models) & set(replica.intended_models)
        }
        return {("small", "v"), ("large", "v"), ("small", "a"), ("large", "a")} <= serving

    def test_nothing_happens_without_roles(self):
        world = World(fleet(), document(), roles=())
        world.run(10.0)
        self.assertEqual((world.http, world.link.publications), ([], []))


if __name__ == "__main__":
    unittest.main()
