"""Explanations of plans, and simulated changes with their violations."""

import json
import unittest

import attrs

from rooklug.config.document import Readiness
from rooklug.placement.cases import random_case
from rooklug.placement.documents import problem_from_json, problem_to_json
from rooklug.placement.explain import explain
from rooklug.placement.planner import solve
from rooklug.placement.whatif import (
    CapacityChange,
    parse_capacity,
    simulate,
    with_capacity,
    without,
)
from tests.test_placement_planner import small_problem


class WhatIfTest(unittest.TestCase):
    def test_the_loss_of_a_home_region_is_a_violation(self) -> None:
        problem = small_problem()
        outcome = simulate(problem, without(problem, "alexandria"), "without alexandria")
        self.assertEqual(outcome.before.served_share, 1.0)
        self.assertLess(outcome.replanned.served_share, 1.0)
        self.assertIn("demand", {entry.intent for entry in outcome.new_violations})
        self.assertIn("would violate demand", outcome.to_text())

    def test_at_once_serves_no_more_than_replanned(self) -> None:
        problem = small_problem(readiness=Readiness.ZONE)
        outcome = simulate(problem, without(problem, "cairo-z0"), "without cairo-z0")
        self.assertLessEqual(outcome.at_once.served_share, outcome.replanned.served_share)
        self.assertEqual(outcome.at_once.loads, 0)

    def test_more_capacity_adds_no_violations(self) -> None:
        problem = small_problem()
        larger = with_capacity(problem, CapacityChange("cairo", 6))
        self.assertEqual(sum(slot.region == "cairo" for slot in larger.slots), 6)
        outcome = simulate(problem, larger, "cairo with 6 replicas")
        self.assertEqual(outcome.new_violations, ())

    def test_invalid_capacity_flags_are_rejected(self) -> None:
        self.assertEqual(parse_capacity("cairo=4"), CapacityChange("cairo", 4))
        for text in ("cairo", "=4", "cairo=-1", "cairo=four", ""):
            with self.assertRaises(ValueError):
                parse_capacity(text)

    def test_explanations_can_be_printed_as_text_and_json(self) -> None:
        problem = small_problem()
        explanation = explain(problem, solve(problem))
        self.assertIn("clerk", explanation.to_text())
        json.dumps(explanation.to_json())

    def test_problems_round_trip_through_json(self) -> None:
        for seed in range(3):
            problem = attrs.evolve(random_case(seed), avoid_slots=frozenset({"slot-001"}))
            document = json.loads(json.dumps(problem_to_json(problem)))
            self.assertEqual(problem_from_json(document), problem)
