"""Measures the planner: ``python -m rooklug.placement.measure oracle|gap|scale``."""

import argparse
import json
import sys
import time
from collections.abc import Callable
from typing import Any

import attrs

from rooklug.placement.cases import drifted, large_case, random_case, tiny_case, with_nothing_loaded
from rooklug.placement.exhaustive import best_objective
from rooklug.placement.greedy import plan_greedily
from rooklug.placement.planner import plan_by_program, solve
from rooklug.placement.problem import PlacementProblem

TOLERANCE = 0.005
SCALE_LOADS = (0.4, 0.7, 1.1)


@attrs.frozen
class GapFigures:
    """Relative gaps of a solver to the best known objective over many cases.

    ``best_found`` counts the cases with a gap of at most ``TOLERANCE``.
    """

    cases: int
    best_found: int
    mean: float
    p95: float
    worst: float


def relative_gap(objective: float, best: float) -> float:
    """Return how far ``objective`` is above ``best``, relative to ``best`` or to 1 if larger."""
    return (objective - best) / max(1.0, abs(best))


def gap_figures(gaps: list[float]) -> GapFigures:
    """Summarise relative gaps; there must be at least one."""
    return GapFigures(
        len(gaps),
        sum(gap <= TOLERANCE for gap in gaps),
        round(sum(gaps) / len(gaps), 5),
        round(percentile(gaps, 0.95), 5),
        round(max(gaps), 5),
    )


def percentile(values: list[float], share: float) -> float:
    """Return the value that a ``share`` of ``values`` don't exceed (nearest rank)."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, -(-int(share * 1000) * len(ordered) // 1000) - 1))]


def measure_oracle(seeds: range) -> dict[str, GapFigures]:
    """Compare the planner and the greedy solver with an exhaustive search, on tiny problems."""
    program, greedy = [], []
    for seed in seeds:
        problem = tiny_case(seed)
        best = best_objective(problem)
        program.append(relative_gap(solve(problem).objective, best))
        greedy.append(relative_gap(plan_greedily(problem).objective, best))
    return {"solve": gap_figures(program), "greedy": gap_figures(greedy)}


def measure_gap(seeds: range) -> dict[str, GapFigures]:
    """Compare the greedy solver with the integer program on small problems.

    Both the objective and the filled units are compared, the latter only if all demand is placed.
    """
    objective, capacity = [], []
    for seed in seeds:
        problem = random_case(seed)
        program = plan_by_program(problem)
        if program is None:
            continue
        greedy = plan_greedily(problem)
        objective.append(relative_gap(greedy.objective, program.objective))
        if not greedy.unplaced and not program.unplaced:
            used = filled_units(problem, program.assignments)
            capacity.append(relative_gap(filled_units(problem, greedy.assignments), used))
    return {"greedy objective": gap_figures(objective), "greedy units": gap_figures(capacity)}


def filled_units(problem: PlacementProblem, assignments: dict[str, tuple[str, ...]]) -> float:
    """Return the resource units that the models of a placement fill."""
    return sum(
        problem.models[model].resources[slot.resource].units
        for slot in problem.slots
        for model in assignments.get(slot.replica_id, ())
    )


def measure_scale(seeds: range) -> dict[str, Any]:
    """Time complete solves of the planned size from three starting points.

    ``mismatched``: models are loaded at random. ``cold``: none are loaded. ``drifted``: a plan is
    loaded, demand has changed by up to a fifth, and a zone is lost for every second seed.
    """
    figures: dict[str, Any] = {}
    for start in ("mismatched", "cold", "drifted"):
        times, processor, gaps = [], [], []
        solvers: dict[str, int] = {}
        for seed in seeds:
            problem = _started(start, seed)
            started = time.perf_counter()
            started_cpu = time.process_time()
            plan = solve(problem)
            times.append(time.perf_counter() - started)
            processor.append(time.process_time() - started_cpu)
            gaps.append(plan.gap)
            solvers[plan.solver] = solvers.get(plan.solver, 0) + 1
        figures[start] = {
            "p50_s": round(percentile(times, 0.5), 3),
            "p99_s": round(percentile(times, 0.99), 3),
            "max_s": round(max(times), 3),
            "processor_p99_s": round(percentile(processor, 0.99), 3),
            "gap_p50": round(percentile(gaps, 0.5), 4),
            "gap_p95": round(percentile(gaps, 0.95), 4),
            "solvers": solvers,
        }
    return figures


def _started(start: str, seed: int) -> PlacementProblem:
    problem = large_case(seed, SCALE_LOADS[seed % len(SCALE_LOADS)])
    if start == "mismatched":
        return problem
    if start == "cold":
        return with_nothing_loaded(problem)
    plan = solve(with_nothing_loaded(problem))
    return drifted(problem, plan.assignments, seed, zone_lost=seed % 2 == 1)


def main(arguments: list[str] | None = None) -> int:
    """Run the measurement that the arguments name and print its figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=("oracle", "gap", "scale"))
    parser.add_argument("--seeds", type=int, default=100)
    options = parser.parse_args(arguments)
    measures: dict[str, Callable[[range], dict[str, Any]]] = {
        "oracle": measure_oracle,
        "gap": measure_gap,
        "scale": measure_scale,
    }
    figures = measures[options.what](range(options.seeds))
    shown = {
        name: attrs.asdict(value) if attrs.has(type(value)) else value
        for name, value in figures.items()
    }
    print(json.dumps({"measure": options.what, "seeds": options.seeds, **shown}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
