"""Health verdicts, the demand table and its forecast, the demand floor, the solve trigger."""

import unittest
from random import Random

from rooklug.config.document_reader import read_configuration
from rooklug.controller.demand_forecast import DemandForecast
from rooklug.controller.demand_table import DemandTable
from rooklug.controller.fleet_state import FleetState
from rooklug.controller.health import ReplicaHealth, Verdict
from rooklug.controller.problem_builder import build_problem
from rooklug.controller.solve_trigger import SolveTrigger
from rooklug.placement.problem import DemandKey
from rooklug.wire.generated.control.ttypes import DemandEntry, DemandReport
from tests.controller_world import document

KEY = DemandKey("small", "interactive", "vestland")


class Verdicts(unittest.TestCase):
    def setUp(self):
        self.health = ReplicaHealth()

    def test_unknown_without_observations(self):
        self.assertIs(self.health.verdict(0.0), Verdict.UNKNOWN)

    def test_one_failed_probe_is_ignored(self):
        self.health.record_probe_success("p", 0.0)
        self.health.record_probe_failure("p", 1, 1.0)
        self.assertIs(self.health.verdict(1.0), Verdict.HEALTHY)

    def test_a_single_observer_makes_a_replica_suspect_not_dead(self):
        self.health.record_probe_failure("p", 3, 5.0)
        self.assertIs(self.health.verdict(5.0), Verdict.SUSPECT)
        self.assertIs(self.health.verdict(14.0), Verdict.SUSPECT)

    def test_several_fronts_make_a_replica_dead_after_the_contradiction_period(self):
        self.health.record_traffic("f1", 0, 5, 5.0)
        self.health.record_traffic("f2", 0, 5, 5.2)
        self.assertIs(self.health.verdict(5.3), Verdict.SUSPECT)
        self.assertIs(self.health.verdict(8.1), Verdict.DEAD)

    def test_a_prober_and_a_front_make_a_replica_dead(self):
        self.health.record_probe_failure("p", 2, 5.0)
        self.health.record_traffic("f1", 0, 5, 5.2)
        self.assertIs(self.health.verdict(5.3), Verdict.DEAD)

    def test_a_front_with_successes_vetoes_dead(self):
        self.health.record_probe_failure("p", 9, 5.0)
        self.health.record_traffic("f1", 0, 5, 5.0)
        self.health.record_traffic("f2", 3, 2, 5.0)
        self.assertIs(self.health.verdict(5.5), Verdict.SUSPECT)

    def test_a_sole_observer_makes_a_replica_dead_after_its_timeout(self):
        for second in range(12):
            self.health.record_probe_failure("p", 2 + second, float(second))
        self.assertIs(self.health.verdict(9.0), Verdict.SUSPECT)
        self.assertIs(self.health.verdict(11.0), Verdict.DEAD)

    def test_an_answered_probe_discards_older_failures(self):
        self.health.record_traffic("f1", 0, 5, 5.0)
        self.health.record_traffic("f2", 0, 5, 5.0)
        self.health.record_probe_success("p", 5.5)
        self.assertIs(self.health.verdict(5.6), Verdict.HEALTHY)

    def test_observations_expire(self):
        self.health.record_probe_success("p", 0.0)
        self.assertIs(self.health.verdict(20.0), Verdict.SUSPECT)

    def test_late_observations_do_not_replace_newer_ones(self):
        self.health.record_probe_success("p", 5.0)
        self.health.record_probe_failure("p", 3, 4.0)
        self.assertIs(self.health.verdict(5.0), Verdict.HEALTHY)


def entry(tokens, route="banter", model="small", refused=0.0, region="vestland"):
    return DemandEntry(
        route=route,
        model=model,
        latency_class="interactive",
        source_region=region,
        requests_per_s=10.0,
        prompt_tokens_per_s=0.0,
        answer_tokens_per_s=tokens,
        refused_per_s=refused,
    )


def report(node, sequence, *entries, incarnation="i"):
    return DemandReport(
        node_id=node,
        node_incarnation=incarnation,
        sequence=sequence,
        entries=list(entries),
        observations=[],
    )


class Demand(unittest.TestCase):
    def setUp(self):
        self.table = DemandTable()
        self.configuration = read_configuration(document()).ok

    def totals(self):
        return self.table.totals(self.configuration)

    def test_newest_report_of_each_front_counts(self):
        self.table.record(report("f1", 1, entry(100.0)), 0.0)
        self.table.record(report("f1", 2, entry(50.0)), 1.0)
        self.table.record(report("f2", 1, entry(30.0)), 1.0)
        self.assertFalse(self.table.record(report("f1", 1, entry(999.0)), 1.5))
        self.assertEqual(self.totals(), {KEY: 80.0})

    def test_a_new_incarnation_of_a_front_replaces_its_report(self):
        self.table.record(report("f1", 9, entry(100.0)), 0.0)
        self.assertTrue(self.table.record(report("f1", 1, entry(5.0), incarnation="j"), 1.0))
        self.assertEqual(self.totals(), {KEY: 5.0})

    def test_reports_expire(self):
        self.table.record(report("f1", 1, entry(100.0)), 0.0)
        self.table.expire(6.0)
        self.assertEqual(self.totals(), {})

    def test_bad_entries_are_dropped_and_counted(self):
        bad = [entry(float("nan")), entry(-1.0), entry(float("inf")), entry(1e12)]
        self.table.record(report("f1", 1, entry(10.0), *bad), 0.0)
        self.assertEqual((self.totals(), self.table.bad_entries), ({KEY: 10.0}, 4))

    def test_entries_with_unknown_names_are_ignored(self):
        unknown = [entry(1.0, route="x"), entry(1.0, model="x"), entry(1.0, region="x")]
        self.table.record(report("f1", 1, *unknown), 0.0)
        self.assertEqual(self.totals(), {})

    def test_rejected_requests_are_not_counted_twice(self):
        self.table.record(report("f1", 1, entry(100.0, refused=5.0)), 0.0)
        self.assertEqual(self.totals(), {KEY: 100.0})

    def test_noise_does_not_inflate_the_planned_demand(self):
        random = Random(3)
        forecast = DemandForecast()
        planned = []
        for second in range(600):
            arrivals = sum(random.random() < 0.1 for _ in range(50))
            forecast.sample({KEY: 100.0 * arrivals}, float(second))
            planned.append(forecast.planned().get(KEY, 0.0))
        self.assertLess(max(planned[30:]), 2.2 * 500.0)

    def test_rising_demand_is_extrapolated_and_decays_slowly(self):
        forecast = DemandForecast()
        for second in range(20):
            forecast.sample({KEY: 100.0 + 20.0 * second}, float(second))
        ahead = forecast.planned()[KEY]
        self.assertGreater(ahead, 550.0)
        self.assertLess(ahead, 1.3 * 2 * 480.0)
        for second in range(20, 30):
            forecast.sample({}, float(second))
        self.assertGreater(forecast.planned()[KEY], 0.7 * ahead)
        for second in range(30, 1500, 10):
            forecast.sample({}, float(second))
        self.assertEqual(forecast.planned(), {})


class Floor(unittest.TestCase):
    def demand(self, demand):
        configuration = read_configuration(document()).ok
        fleet = FleetState()
        return build_problem(configuration, fleet, demand, lambda _: (), frozenset()).demand

    def test_each_configured_key_has_its_share_of_half_a_replica(self):
        planned = self.demand({})
        self.assertEqual(planned[KEY], 0.5 * 1200.0)
        large = [load for key, load in planned.items() if key.model == "large"]
        self.assertEqual(large, [0.5 * 600.0 / 2] * 4)

    def test_the_floor_is_a_minimum_not_an_addition(self):
        self.assertEqual(self.demand({KEY: 5000.0})[KEY], 5000.0)
        self.assertEqual(self.demand({KEY: 10.0})[KEY], 600.0)


class Trigger(unittest.TestCase):
    def test_many_events_cause_at_most_one_solve_per_second(self):
        trigger = SolveTrigger()
        solves = 0
        for step in range(1000):
            now = step * 0.01
            trigger.add_cause(f"configuration {step}", now)
            if trigger.is_due(now, 5.0):
                cause = trigger.begin(now)
                trigger.end()
                solves += 1
                self.assertIn(f"configuration {step}", cause)
        self.assertLessEqual(solves, 10)
        self.assertGreaterEqual(solves, 8)

    def test_one_solve_at_a_time(self):
        trigger = SolveTrigger()
        trigger.add_cause("a", 0.0)
        self.assertTrue(trigger.is_due(0.3, 5.0))
        trigger.begin(0.3)
        trigger.add_cause("b", 0.4)
        self.assertFalse(trigger.is_due(100.0, 5.0))
        trigger.end()
        self.assertTrue(trigger.is_due(100.0, 5.0))
