"""A step of the move executor grows with the fleet, not with its square."""

import sys
import unittest
from random import Random

import attrs

from rooklug.placement.fleet_state import FleetView, Withdrawal
from rooklug.placement.load_tracking import LoadTracker
from rooklug.placement.moves import MoveExecutor
from rooklug.placement.orders import MoveSettings, SlotReport
from rooklug.placement.problem import PlacementPlan
from rooklug_lab.hollow.site import build_site
from rooklug_lab.hollow.size import HollowSize
from rooklug_lab.hollow.solve_cost import problem_of
from rooklug_lab.hollow.step_cost import with_moves


def reports_of(site):
    return {
        entry.replica_id: SlotReport(
            entry.replica_id,
            "1",
            entry.region,
            entry.resource,
            entry.resource_units,
            entry.initial_models,
        )
        for entry in site.replicas
    }


def plan_of(site):
    assignments = {entry.replica_id: entry.initial_models for entry in site.replicas}
    required = {}
    for entry in site.replicas:
        for model in entry.initial_models:
            counts = required.setdefault(model, {})
            counts[entry.region] = counts.get(entry.region, 0) + 1
    return with_moves(PlacementPlan(assignments, (), {}, (), 0.0, "test", required=required))


def calls_of_a_step(size):
    """Return how many functions one step with many blocked moves calls."""
    site = build_site(size, 20)
    executor = MoveExecutor(problem_of(site).models, MoveSettings(max_loading=8))
    executor.observe(reports_of(site), 0.0)
    executor.adopt(plan_of(site), 0.0, "test")
    executor.step(0.0)
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        executor.step(0.25)
    finally:
        sys.setprofile(None)
    return calls


class StepCostTest(unittest.TestCase):
    def test_four_times_the_fleet_costs_less_than_eight_times(self):
        small = calls_of_a_step(HollowSize(50, 200))
        large = calls_of_a_step(HollowSize(200, 800))
        self.assertLess(large, 8 * small)


class ServingIndexTest(unittest.TestCase):
    def test_serving_is_what_the_reports_say_without_the_withdrawn(self):
        random = Random(5)
        models = [f"m{number}" for number in range(4)]
        fleet = FleetView({}, LoadTracker(MoveSettings()))
        for _ in range(40):
            names = random.sample([f"r{number}" for number in range(12)], 9)
            fleet.observe({name: self.report(name, models, random) for name in names})
            for name in random.sample(sorted(fleet.reports), 3):
                fleet.withdrawn[name, random.choice(models)] = Withdrawal(1, None)
            for model in models:
                for region in ("", "a", "b"):
                    self.assertEqual(
                        fleet.serving(model, region), self.searched(fleet, model, region)
                    )
            withdrawn = {slot: fleet.withdrawn_on(slot) for slot, _ in fleet.withdrawn}
            self.assertEqual(fleet.withdrawn_by_slot(), withdrawn)

    def report(self, name, models, random):
        loaded = tuple(random.sample(models, random.randrange(4)))
        report = SlotReport(name, random.choice("12"), random.choice("ab"), "gpu", 4.0, loaded)
        return attrs.evolve(report, serving=random.random() < 0.8)

    def searched(self, fleet, model, region):
        """The definition, by a search through all reports."""
        return [
            slot
            for slot, report in fleet.reports.items()
            if report.serving
            and region in ("", report.region)
            and model in report.loaded
            and (slot, model) not in fleet.withdrawn
        ]
