"""What one solve costs the placer, and how long it keeps the rest of the process waiting.

Run ``python -m rooklug_lab.hollow.solve_cost [--sizes 50x100 390x830]``; one JSON line a size.
The solve runs in a thread, as in a controller, while the main thread ticks as an event loop
would; ``largest_stall_s`` is the longest time between two ticks.
"""

import argparse
import json
import os
import resource
import time
from threading import Thread

from rooklug.config.document_reader import read_configuration
from rooklug.placement.planner import solve
from rooklug.placement.problem import (
    DemandKey,
    PlacementProblem,
    RegionFacts,
    ReplicaSlot,
)
from rooklug_lab.hollow.site import HollowSite, build_site, region_share
from rooklug_lab.hollow.size import PROMPT_TOKENS, HollowSize

TICK_S = 0.002
PROMPT_COST = 1.0 / 8.0


def demand_of(site: HollowSite) -> dict[DemandKey, float]:
    """Return the expected demand in load tokens/s by key."""
    tokens = PROMPT_TOKENS * PROMPT_COST + site.size.answer_tokens
    demand: dict[DemandKey, float] = {}
    for region in site.regions:
        offered = [r for r in site.routes if not r.home_regions or region in r.home_regions]
        total = sum(route.weight for route in offered)
        load = site.size.requests_per_s * region_share(region) * tokens / total
        for route in offered:
            key = DemandKey(route.model, "interactive", region, tuple(sorted(route.home_regions)))
            demand[key] = demand.get(key, 0.0) + load * route.weight
    return demand


def problem_of(site: HollowSite) -> PlacementProblem:
    """Return the placer's problem in steady state: the first models are loaded."""
    configuration = read_configuration(site.document).ok
    slots = tuple(
        ReplicaSlot(
            replica_id=entry.replica_id,
            region=entry.region,
            zone=entry.zone,
            resource=entry.resource,
            resource_units=entry.resource_units,
            loaded_models=tuple(sorted(entry.initial_models)),
        )
        for entry in site.replicas
    )
    return PlacementProblem(
        models=configuration.models,
        regions={
            name: RegionFacts(region.weights, region.round_trip_ms)
            for name, region in sorted(configuration.regions.items())
        },
        slots=slots,
        demand=demand_of(site),
        max_moves=configuration.placement.max_moves,
        solve_limit_s=configuration.placement.solve_limit_s,
        avoid_slots=frozenset(),
        readiness=configuration.placement.readiness,
    )


def measure(size: HollowSize) -> dict:
    """Solve once in a thread; return what it took."""
    problem = problem_of(build_site(size, 20))
    solve(problem_of(build_site(HollowSize(10, 40), 20)))  # imports the solver
    result = {}

    def run() -> None:
        begun = time.thread_time()
        result["plan"] = solve(problem)
        result["thread_s"] = time.thread_time() - begun

    thread = Thread(target=run)
    begun = last = time.monotonic()
    thread.start()
    largest = 0.0
    while thread.is_alive():
        time.sleep(TICK_S)
        now = time.monotonic()
        largest, last = max(largest, now - last), now
    plan = result["plan"]
    return {
        "fronts": size.fronts,
        "replicas": size.replicas,
        "models": size.models,
        "demand_keys": len(problem.demand),
        "solve_s": round(time.monotonic() - begun, 2),
        "thread_s": round(result["thread_s"], 2),
        "largest_stall_s": round(largest, 3),
        "solver": plan.solver,
        "gap": round(plan.gap, 4),
        "resident_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1000,
        "load_average": round(os.getloadavg()[0], 1),
    }


def main() -> None:
    """Measure the sizes that are asked for."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", nargs="+", default=["50x100", "100x210", "200x420", "390x830"])
    for size in parser.parse_args().sizes:
        fronts, _, replicas = size.partition("x")
        print(json.dumps(measure(HollowSize(int(fronts), int(replicas)))), flush=True)


if __name__ == "__main__":
    main()
