"""Solves of the deployments' own size over a day: time and proven gap.

``python -m rooklug_lab.placement.solves --deployment payroll``: every twentieth minute, from
nothing loaded, with headroom for a zone.
"""

import argparse
import json
import sys
import time

from rooklug.config.document import Readiness
from rooklug.placement.measure import percentile
from rooklug.placement.planner import solve
from rooklug_lab.placement.day import problem_of
from rooklug_lab.placement.demand import MINUTES, demand_of_day
from rooklug_lab.placement.deployments import DEPLOYMENTS

STEP_MINUTES = 20


def main(arguments: list[str] | None = None) -> int:
    """Solve a day's problems and print the figures as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), required=True)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args(arguments)
    demand = demand_of_day(options.deployment, options.seed)
    times, gaps = [], []
    solvers: dict[str, int] = {}
    for minute in range(0, MINUTES, STEP_MINUTES):
        deployment = DEPLOYMENTS[options.deployment]
        problem = problem_of(deployment, demand[minute], {}, Readiness.ZONE)
        started = time.perf_counter()
        plan = solve(problem)
        times.append(time.perf_counter() - started)
        gaps.append(plan.gap)
        solvers[plan.solver] = solvers.get(plan.solver, 0) + 1
    figures = {
        "deployment": options.deployment,
        "solves": len(times),
        "p50_s": round(percentile(times, 0.5), 4),
        "max_s": round(max(times), 4),
        "gap_p50": round(percentile(gaps, 0.5), 4),
        "gap_p95": round(percentile(gaps, 0.95), 4),
        "solvers": solvers,
    }
    print(json.dumps(figures))
    return 0


if __name__ == "__main__":
    sys.exit(main())
