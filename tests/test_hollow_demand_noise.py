"""Steady demand of many small cells must not ask for a solve each second; a real step must."""

import unittest
from random import Random

import attrs

from rooklug.config.document_reader import read_configuration
from rooklug.controller.demand_forecast import has_stepped_up
from rooklug.controller.demand_watch import DemandWatch
from rooklug.wire.generated.control.ttypes import DemandReport
from rooklug_lab.hollow.demand import SyntheticDemand, route_table
from rooklug_lab.hollow.site import build_site
from rooklug_lab.hollow.size import HollowSize

WARM_UP_S = 30
WATCHED_S = 40


class NoView:
    """A front that knows no replicas."""

    def serving(self, model):
        return ()


@attrs.define
class Keeper:
    view: NoView = attrs.field(factory=NoView)


def whole_region(site, region):
    """Return the demand of a region as one front would report it."""
    fronts = sum(front.region == region for front in site.fronts)
    rate = site.front_rate_per_s(region) * fronts
    table = route_table(site.routes, region)
    tokens = site.size.answer_tokens
    return SyntheticDemand(Keeper(), table, region, rate, tokens, Random(region))


class DemandNoiseTest(unittest.TestCase):
    def run_site(self, size, surge=1.0):
        """Return in which seconds after the warm-up demand asked for a solve at once."""
        site = build_site(size, 20)
        configuration = read_configuration(site.document).ok
        regions = {region: whole_region(site, region) for region in site.regions}
        watch = DemandWatch()
        solved_for = {}
        asked = []
        for second in range(WARM_UP_S + WATCHED_S):
            if second == WARM_UP_S:
                regions["isle"].rate_per_s *= surge
            for region, demand in regions.items():
                entries = demand.take_entries(1.0)
                demand.take_observations()
                watch.table.record(DemandReport(region, "1", second + 1, entries, []), second)
            steps = watch.sample_if_due(configuration, solved_for, float(second))
            if steps and second >= WARM_UP_S:
                asked.append(second - WARM_UP_S)
            if steps or second % 5 == 0:
                solved_for = watch.planned()
        return asked

    def test_steady_demand_asks_seldom_at_any_size(self):
        for size in (HollowSize(), HollowSize(50, 100)):
            asked = self.run_site(size)
            self.assertLessEqual(len(asked), WATCHED_S // 10, (size, asked))

    def test_a_surge_of_the_smallest_region_asks_at_once(self):
        for size in (HollowSize(), HollowSize(50, 100)):
            asked = self.run_site(size, surge=4.0)
            self.assertTrue(any(second <= 4 for second in asked), (size, asked))

    def test_small_sites_notice_the_same_steps_as_before(self):
        self.assertTrue(has_stepped_up(100.0, 49.0, total=2000.0))
        self.assertTrue(has_stepped_up(400.0, 300.0, total=2000.0))
        self.assertFalse(has_stepped_up(100.0, 51.0, total=2000.0))
        self.assertFalse(has_stepped_up(400.0, 310.0, total=2000.0))
