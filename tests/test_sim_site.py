"""Tests of ``rooklug_lab.sim.site``: which core it reports as the primary."""

import unittest

from rooklug_lab.deployment import build_deployment
from rooklug_lab.sim.site import CORES, Site


class SiteTest(unittest.TestCase):
    def test_primary_is_the_core_that_serves(self) -> None:
        site = Site(build_deployment("payroll"), seed=3)
        site.add_operator(())
        site.start_all()
        site.world.run_for(5.0)
        first = site.primary()
        site.kill([first], for_s=20.0)
        site.world.run_for(8.0)
        second = site.primary()
        self.assertNotEqual(first, second)
        serving = [
            sample.value
            for name in site.groups[CORES]
            if site.process(name).running
            for sample in site.process(name).reducer.metrics(site.process(name).local_now())
            if sample.name == "core_primary"
        ]
        self.assertEqual(sorted(serving), [0.0, 1.0])
