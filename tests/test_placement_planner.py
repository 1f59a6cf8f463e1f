"""Plans of either solver respect capacity, homes, weights and the guardrail on moves."""

import time
import unittest
from unittest import mock

import attrs

from rooklug.config.document import Model, Readiness, RegionWeights, ResourceNeed, RoundTrip
from rooklug.placement import linear, planner
from rooklug.placement.cases import large_case, random_case, tiny_case, with_nothing_loaded
from rooklug.placement.exhaustive import best_objective
from rooklug.placement.greedy import plan_greedily
from rooklug.placement.guardrail import allowed_loads
from rooklug.placement.measure import relative_gap
from rooklug.placement.planner import solve
from rooklug.placement.problem import (
    DemandKey,
    PlacementPlan,
    PlacementProblem,
    RegionFacts,
    ReplicaSlot,
)

ORACLE_SEEDS = (*range(12), 136, 140, 177, 191, 194, 207)
"""The seeds from 136 on gave wrong plans when HiGHS got the greedy placement as a start."""
RANDOM_SEEDS = range(6)
ORACLE_TOLERANCE = 0.005


def small_problem(**changes: object) -> PlacementProblem:
    """Return a problem with two regions 40 ms apart, five slots and two models."""
    clerk = Model({"answer": RoundTrip.CONTINENTAL}, {"gpu": ResourceNeed(4, 100.0)}, priority=2)
    notes = Model({"stream": RoundTrip.REGIONAL}, {"gpu": ResourceNeed(4, 100.0)}, priority=1)
    values = {
        "models": {"clerk": clerk, "notes": notes},
        "regions": {
            "cairo": RegionFacts(RegionWeights(), {"alexandria": 40.0}),
            "alexandria": RegionFacts(RegionWeights(), {"cairo": 40.0}),
        },
        "slots": tuple(
            ReplicaSlot(f"{region}-{index}", region, f"{region}-z{index % 2}", "gpu", 8.0)
            for region, count in (("cairo", 3), ("alexandria", 2))
            for index in range(count)
        ),
        "demand": {
            DemandKey("clerk", "answer", "cairo"): 120.0,
            DemandKey("clerk", "answer", "alexandria", ("alexandria",)): 30.0,
            DemandKey("notes", "stream", "cairo"): 20.0,
            DemandKey("notes", "stream", "alexandria"): 20.0,
        },
        "max_moves": 20,
        "solve_limit_s": 1.0,
    }
    return PlacementProblem(**{**values, **changes})


def loads_of(problem: PlacementProblem, plan: PlacementPlan) -> int:
    """Return the number of loads that a plan needs."""
    return sum(
        len(set(plan.assignments[slot.replica_id]) - set(slot.loaded_models))
        for slot in problem.slots
    )


class PlannerTest(unittest.TestCase):
    def test_all_demand_is_placed_if_it_fits(self) -> None:
        plan = solve(small_problem())
        self.assertEqual(plan.unplaced, {})
        hosts = {name.split("-")[0] for name, held in plan.assignments.items() if "notes" in held}
        self.assertEqual(hosts, {"cairo", "alexandria"})

    def test_empty_problem_has_an_empty_plan(self) -> None:
        plan = solve(small_problem(slots=(), demand={}))
        self.assertEqual(plan.matrix, ())
        self.assertEqual(plan.evicted_models, ("clerk", "notes"))

    def test_unusual_but_valid_problems_have_a_plan(self) -> None:
        unknown = DemandKey("nobody", "none", "nowhere")
        odd = {**small_problem().demand, unknown: 5.0, DemandKey("clerk", "none", "nowhere"): 1.0}
        solve(small_problem(demand=odd))
        solve(small_problem(regions={}))
        solve(small_problem(models={}))
        solve(small_problem(models={"clerk": Model({}, {})}))

    def test_the_model_of_lower_priority_is_evicted(self) -> None:
        only = small_problem().slots[:1]
        small = (attrs.evolve(only[0], resource_units=4.0),)
        plan = solve(small_problem(slots=small))
        self.assertEqual(plan.assignments, {"cairo-0": ("clerk",)})
        self.assertEqual(plan.evicted_models, ("notes",))
        self.assertIn("demand", {violation.intent for violation in plan.violations})

    def test_no_spill_without_spill_weight(self) -> None:
        regions = {
            name: attrs.evolve(facts, weights=RegionWeights(spill=0.0))
            for name, facts in small_problem().regions.items()
        }
        for cell in solve(small_problem(regions=regions)).matrix:
            self.assertEqual(cell.demand_key.source_region, cell.destination_region)

    def test_no_new_model_on_an_avoided_slot(self) -> None:
        plan = solve(small_problem(avoid_slots=frozenset({"cairo-0", "alexandria-1"})))
        self.assertEqual(plan.assignments["cairo-0"], ())
        self.assertEqual(plan.assignments["alexandria-1"], ())

    def test_readiness_for_the_loss_of_a_zone(self) -> None:
        problem = small_problem(readiness=Readiness.ZONE)
        self.assertNotIn("readiness", {entry.intent for entry in solve(problem).violations})
        one_slot = attrs.evolve(problem, slots=(problem.slots[0], problem.slots[1]))
        low = {DemandKey("clerk", "answer", "cairo"): 120.0}
        violations = solve(attrs.evolve(one_slot, demand=low)).violations
        self.assertIn("readiness", {entry.intent for entry in violations})

    def test_an_unchanged_problem_causes_no_moves(self) -> None:
        problem = small_problem()
        plan = solve(problem)
        slots = tuple(
            attrs.evolve(slot, loaded_models=plan.assignments[slot.replica_id])
            for slot in problem.slots
        )
        again = solve(attrs.evolve(problem, slots=slots))
        self.assertEqual(again.assignments, plan.assignments)

    def test_greedy_plan_without_the_integer_solver(self) -> None:
        with mock.patch.object(planner, "highs_available", lambda: False):
            plan = solve(small_problem())
        self.assertEqual(plan.solver, "greedy")
        self.assertEqual(plan.notes, (planner.NO_SOLVER,))
        self.assertEqual(plan.unplaced, {})

    def test_equal_problems_get_equal_plans(self) -> None:
        self.assertEqual(solve(random_case(3)), solve(random_case(3)))

    def test_a_plan_does_not_depend_on_the_processor_time_that_its_solve_gets(self) -> None:
        # A solve that got little of a busy processor stopped at its limit of one second with
        # another plan; the work limit ends it at the same point however long that takes.
        problem = random_case(4, limit_s=0.4)
        plan = solve(problem)
        self.assertGreater(plan.gap, linear.RELATIVE_GAP)
        with mock.patch.object(linear, "TIME_GUARD_FACTOR", 100.0):
            self.assertEqual(solve(problem), plan)

    def test_a_solve_that_the_time_guard_ends_says_so(self) -> None:
        self.assertNotIn(planner.ENDED_BY_TIME, solve(random_case(4)).notes)
        with mock.patch.object(linear, "TIME_GUARD_FACTOR", 0.2):
            self.assertIn(planner.ENDED_BY_TIME, solve(random_case(4, limit_s=1.5)).notes)


class PlanPropertiesTest(unittest.TestCase):
    """Properties of every plan, on random problems, for both solvers."""

    def plans(self):
        for seed in RANDOM_SEEDS:
            for problem in (
                random_case(seed, limit_s=0.5),
                with_nothing_loaded(random_case(seed, limit_s=0.5)),
            ):
                for solver in (solve, plan_greedily):
                    with self.subTest(seed=seed, solver=solver.__name__):
                        yield problem, solver(problem)

    def test_capacity_homes_weights_and_guardrail(self) -> None:
        for problem, plan in self.plans():
            self.check_slots(problem, plan)
            self.check_matrix(problem, plan)
            self.assertLessEqual(loads_of(problem, plan), allowed_loads(problem))

    def check_slots(self, problem: PlacementProblem, plan: PlacementPlan) -> None:
        for slot in problem.slots:
            held = plan.assignments[slot.replica_id]
            units = [problem.models[name].resources[slot.resource].units for name in held]
            self.assertLessEqual(sum(units), slot.resource_units)
            self.assertEqual(len(held), len(set(held)))

    def check_matrix(self, problem: PlacementProblem, plan: PlacementPlan) -> None:
        hosts = {
            (name, slot.region)
            for slot in problem.slots
            for name in plan.assignments[slot.replica_id]
        }
        totals: dict = {}
        for cell in plan.matrix:
            key = cell.demand_key
            self.assertTrue(not key.home_regions or cell.destination_region in key.home_regions)
            self.assertIn((key.model, cell.destination_region), hosts)
            totals[key, cell.preference] = totals.get((key, cell.preference), 0.0) + cell.weight
        self.assertTrue(totals)
        for total in totals.values():
            self.assertAlmostEqual(total, 1.0)


SOLVER = planner.SOLVER_NAME
FULL_SHARE = 0.9
MAX_DOUBLINGS = 5


def solve_measured(problem: PlacementProblem, limit_s: float) -> tuple[PlacementPlan, float]:
    """Return a plan, and the share of one processor that the solve got."""
    began_s, began_cpu_s = time.monotonic(), time.process_time()
    plan = solve(attrs.evolve(problem, solve_limit_s=limit_s))
    spent_s = time.process_time() - began_cpu_s
    return plan, spent_s / (time.monotonic() - began_s)


class SolverQualityTest(unittest.TestCase):
    def test_the_program_finds_the_optimum_of_tiny_problems(self) -> None:
        for seed in ORACLE_SEEDS:
            with self.subTest(seed=seed):
                problem = tiny_case(seed)
                gap = relative_gap(solve(problem).objective, best_objective(problem))
                self.assertLessEqual(abs(gap), ORACLE_TOLERANCE)

    def test_the_greedy_solver_is_never_better_than_the_optimum(self) -> None:
        for seed in ORACLE_SEEDS:
            problem = tiny_case(seed)
            gap = relative_gap(plan_greedily(problem).objective, best_objective(problem))
            self.assertGreaterEqual(gap, -1e-9)

    def test_the_planned_size_is_solved_by_the_program(self) -> None:
        """The program answers within its time limit on an otherwise idle machine.

        The limit is in wall-clock time, which passes while a busy machine runs other processes.
        So a failed solve that got less than ``FULL_SHARE`` of a processor is repeated with twice
        the limit; only a failed solve that got that share fails the test.
        """
        problem = with_nothing_loaded(large_case(0, 0.4))
        for doublings in range(MAX_DOUBLINGS):
            plan, share = solve_measured(problem, problem.solve_limit_s * 2**doublings)
            if share >= FULL_SHARE or (plan.solver == SOLVER and not plan.unplaced):
                break
        self.assertEqual(plan.solver, SOLVER)
        self.assertEqual(plan.unplaced, {})
