"""The entry point of the planner: turns a placement problem into a plan."""

import attrs

from rooklug.placement.assembly import assemble
from rooklug.placement.capacity_tracker import CapacityTracker
from rooklug.placement.greedy import place_greedily, plan_greedily
from rooklug.placement.guardrail import allowed_loads
from rooklug.placement.linear import highs_available
from rooklug.placement.problem import PlacementPlan, PlacementProblem
from rooklug.placement.program import Candidate, PlacementProgram, ProgramAnswer
from rooklug.placement.slotting import assign_slots

SOLVER_NAME = "highs"
SLOTTING_ROUNDS = 2
"""Maximum number of solves.

Each further solve limits the replica counts that didn't fit the slots in the previous one.
"""
LAST_SOLVE_SHARE = 0.4
"""No further solve starts after this share of the time limit."""
ROUTE_SHARE = 0.15
"""Share of the time limit that is reserved for routing after the slots are assigned."""

NO_SOLVER = "the integer solver isn't installed"
SOLVER_TIMED_OUT = "the integer solver found nothing in time"
ENDED_BY_TIME = "the time guard ended the solve; another one may have another result"
GREEDY_BETTER = "the greedy plan was better than what the solver found in time"


def solve(problem: PlacementProblem) -> PlacementPlan:
    """Return a plan for ``problem``; never raises for a valid one.

    Falls back to the greedy plan if the integer program has no better answer in time. It is a
    module-level function, so that it can run as a ``Compute`` effect in a thread.
    """
    capacity = place_greedily(problem, allowed_loads(problem))
    if not highs_available():
        return _greedy(problem, capacity, NO_SOLVER)
    plan = plan_by_program(problem)
    if plan is None:
        return _greedy(problem, capacity, SOLVER_TIMED_OUT)
    greedy = _greedy(problem, capacity, GREEDY_BETTER)
    if greedy.objective >= plan.objective - 1e-6:
        return plan
    bound = plan.objective * (1.0 - plan.gap)
    return attrs.evolve(greedy, gap=_gap(greedy.objective, bound))


def plan_by_program(problem: PlacementProblem) -> PlacementPlan | None:
    """Return the best plan of the integer program, or None if it found none in time."""
    program = PlacementProgram(problem)
    if not program.groups:
        return None
    best = None
    for _ in range(SLOTTING_ROUNDS):
        answer = program.solve(problem.solve_limit_s * (1.0 - ROUTE_SHARE))
        if answer is None:
            break
        plan, left_out = _plan_of_answer(problem, program, answer)
        if plan is not None and (best is None or plan.objective < best.objective):
            best = plan
        if not left_out or program.spent_s > problem.solve_limit_s * LAST_SOLVE_SHARE:
            break
        for candidate, count in left_out.items():
            program.limit(candidate, count)
    return best


def _plan_of_answer(
    problem: PlacementProblem, program: PlacementProgram, answer: ProgramAnswer
) -> tuple[PlacementPlan | None, dict[Candidate, int]]:
    """Return the plan of an answer, and the counts that fitted where not all replicas did."""
    assignments = assign_slots(program.groups, answer.counts, program.units, allowed_loads(problem))
    counts = _counts(program, assignments)
    left_out = {
        candidate: counts[candidate]
        for candidate, count in answer.counts.items()
        if counts[candidate] < count
    }
    flows = program.route(counts, problem.solve_limit_s * ROUTE_SHARE)
    if flows is None:
        return None, left_out
    notes = (ENDED_BY_TIME,) if answer.ended_by_time else ()
    plan = assemble(problem, assignments, flows, SOLVER_NAME, notes=notes)
    bound = answer.objective * (1.0 - answer.gap)
    return attrs.evolve(plan, gap=_gap(plan.objective, bound)), left_out


def _gap(objective: float, bound: float) -> float:
    """Return the relative gap of an objective to a proven lower bound."""
    return max(0.0, objective - bound) / max(1e-9, abs(objective))


def _counts(program: PlacementProgram, assignments: dict[str, list[str]]) -> dict[Candidate, int]:
    counts = dict.fromkeys(program.replicas, 0)
    for index, group in enumerate(program.groups):
        for slot in group.slots:
            for model in assignments.get(slot.replica_id, ()):
                counts[Candidate(model, index)] += 1
    return counts


def _greedy(problem: PlacementProblem, capacity: CapacityTracker, note: str) -> PlacementPlan:
    if not problem.slots:
        return plan_greedily(problem)
    return assemble(problem, capacity.assignments, capacity.flow_list(), "greedy", notes=(note,))
