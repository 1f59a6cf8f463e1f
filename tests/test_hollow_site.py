"""The generator of hollow deployments, slopes, and the counting wrapper of hollow nodes."""

import unittest
from collections import Counter

import attrs

from rooklug.config.document_reader import read_configuration
from rooklug.config.json_text import canonical_bytes
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug_lab.hollow.document import model_units, zone_regions
from rooklug_lab.hollow.metrics_text import read_metrics
from rooklug_lab.hollow.process import FRONTS, HollowSpec, read_spec
from rooklug_lab.hollow.site import build_site, spread_over_zones
from rooklug_lab.hollow.size import HOME_BOUND_SHARE, HollowSize
from rooklug_lab.hollow.slopes import slopes
from rooklug_lab.hollow.statistics import fit_line, percentile, spread
from rooklug_lab.hollow.timed import SharedComputations, TimedReducer

FULL = build_site(HollowSize(), 20)


class SiteTest(unittest.TestCase):
    def test_the_full_size_is_the_aim(self):
        self.assertEqual(len(FULL.fronts), 390)
        self.assertEqual(len(FULL.replicas), 830)
        self.assertEqual(sum(entry.resource_units for entry in FULL.replicas), 3300)
        self.assertEqual(len(FULL.routes), 2500)
        self.assertEqual(FULL.size.models, 22)
        self.assertEqual(len(zone_regions()), 15)
        self.assertEqual(len(set(zone_regions().values())), 7)

    def test_capacity_differs_tenfold_between_regions(self):
        counts = Counter(entry.region for entry in FULL.replicas)
        self.assertAlmostEqual(counts["north"] / counts["isle"], 10.0, delta=0.5)

    def test_29_percent_of_requests_are_bound_to_a_home(self):
        bound = sum(route.weight for route in FULL.routes if route.home_regions)
        self.assertAlmostEqual(bound, HOME_BOUND_SHARE, delta=0.005)
        homes = {region for route in FULL.routes for region in route.home_regions}
        self.assertEqual(homes, set(FULL.regions))

    def test_all_requests_of_the_peak_reach_some_front(self):
        rates = sum(FULL.front_rate_per_s(front.region) for front in FULL.fronts)
        self.assertAlmostEqual(rates, 7200.0, places=3)

    def test_the_configuration_is_legal_and_canonical(self):
        configuration = read_configuration(FULL.document)
        self.assertTrue(configuration.is_ok(), configuration)
        self.assertEqual(set(configuration.ok.models), set(model_units(FULL.size)))
        self.assertEqual(canonical_bytes(read_document(FULL.document)), FULL.document)

    def test_first_models_fit_and_every_region_has_each(self):
        needs = model_units(FULL.size)
        held = {region: set() for region in FULL.regions}
        for replica in FULL.replicas:
            used = sum(needs[model] for model in replica.initial_models)
            self.assertLessEqual(used, replica.resource_units)
            held[replica.region] |= set(replica.initial_models)
        self.assertEqual(held, {region: set(needs) for region in FULL.regions})

    def test_no_two_nodes_share_an_address(self):
        nodes = [core.node for core in FULL.cores] + [*FULL.controllers, *FULL.fronts]
        addresses = [node.internal_address for node in nodes]
        addresses += [node.http_address for node in nodes]
        addresses += [replica.address for replica in FULL.replicas] + [FULL.platform.address]
        addresses += [FULL.desk_address(number) for number in range(40)]
        self.assertEqual(len(set(addresses)), len(addresses))

    def test_any_number_of_machines_is_spread_whole(self):
        for count in (15, 16, 40, 100, 210, 830):
            zones = spread_over_zones(count)
            self.assertEqual(len(zones), count)
            self.assertEqual(set(zones), set(zone_regions()))

    def test_every_process_builds_the_same_site(self):
        self.assertEqual(build_site(HollowSize(40, 60), 20), build_site(HollowSize(40, 60), 20))

    def test_a_spec_comes_back(self):
        spec = HollowSpec(FRONTS, 40, 60, 21, 1, 20, 3)
        self.assertEqual(read_spec(spec.text()), spec)


def read_document(data):
    import json

    return json.loads(data)


class StatisticsTest(unittest.TestCase):
    def test_a_line_is_found_again(self):
        line = fit_line([(size, 3.0 + 0.5 * size) for size in (50, 100, 200)])
        self.assertAlmostEqual(line.base, 3.0)
        self.assertAlmostEqual(line.at(390), 198.0)

    def test_percentiles_are_values_that_occurred(self):
        values = [float(number) for number in range(1, 101)]
        self.assertEqual([percentile(values, share) for share in (0.5, 0.99, 1.0)], [50, 99, 100])
        self.assertEqual(spread([2.0]).p99_s, 2.0)
        self.assertIsNone(spread([]))

    def test_metrics_are_read_with_their_labels(self):
        text = '# HELP a b\na_total{direction="sent"} 2.5e+03\nb 1.0\n'
        self.assertEqual(read_metrics(text), {'a_total{direction="sent"}': 2500.0, "b": 1.0})

    def test_slopes_compare_the_largest_run_with_the_others(self):
        rows = slopes([run(fronts) for fronts in (390, 50, 100, 200)])
        by_name = {row["figure"]: row for row in rows}
        row = by_name["primary core: core_share"]
        self.assertAlmostEqual(row["from_slope"], row["measured"])
        self.assertAlmostEqual(by_name["front: core_share"]["base"], 0.003)


def run(fronts):
    daemon = dict.fromkeys(
        ("core_share", "resident_mb", "sent_bytes_per_s", "received_bytes_per_s", "events_per_s"),
        fronts * 0.001,
    )
    hollow = {"process_core_share": 0.002, "shared_core_share": 0.001}
    hollow |= {"sent_bytes_per_s": 1.0, "received_bytes_per_s": 2.0}
    use = {
        "daemons": {"core": {**daemon, "primary": 1}, "other": daemon},
        "hollow_fronts": hollow,
        "replicas": {"probes_per_s": 1.0},
    }
    return {"fronts": fronts, "steady": {"use": use}}


@attrs.define
class Computing:
    """A reducer that asks for one computation at each event."""

    head_first_paths: tuple = ()

    def handle(self, event, now):
        return [fx.Compute(7, len, "four"), fx.Log("info", "x")]

    def metrics(self, now):
        return ()


class TimedReducerTest(unittest.TestCase):
    def test_effects_stay_and_equal_computations_are_made_once_but_counted_for_each(self):
        shared = SharedComputations()
        calls = []

        def slow(argument):
            calls.append(argument)
            return len(argument)

        self.assertEqual([shared.run(slow, "four") for _ in range(3)], [4, 4, 4])
        self.assertEqual(calls, ["four"])
        reducer = TimedReducer(Computing(), shared, lambda: 5)
        compute, log = reducer.handle(ev.Started(), 0.0)
        self.assertEqual((compute.ticket, compute.function(compute.argument)), (7, 4))
        self.assertEqual(log, fx.Log("info", "x"))
        self.assertEqual(list(reducer.in_force), [5])
        self.assertEqual(reducer.events, {"Started": 1})
