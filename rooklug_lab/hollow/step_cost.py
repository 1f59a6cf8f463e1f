"""What the executor's steps cost the placer's event loop while a plan is carried out.

Run ``python -m rooklug_lab.hollow.step_cost [--sizes 50x100 390x830]``. Replicas obey at
once; a step is one ``MoveExecutor.step`` with its ``observe``, four a second in a placer.
"""

import argparse
import json
import time
from statistics import median

import attrs

from rooklug.placement.moves import MoveExecutor
from rooklug.placement.orders import Load, MoveSettings, PublishWeights, SlotReport, Unload
from rooklug.placement.planner import solve
from rooklug.placement.problem import PlacementPlan
from rooklug_lab.hollow.site import build_site
from rooklug_lab.hollow.size import HollowSize
from rooklug_lab.hollow.solve_cost import problem_of

STEPS = 24
TICK_S = 0.25
MAX_LOADING = 8
MOVED_EVERY = 10


def obeyed(report: SlotReport, order: Load | Unload) -> SlotReport:
    """Return a replica's report after an order."""
    models = [model for model in report.loaded if model != order.model]
    if isinstance(order, Load):
        models.append(order.model)
    return attrs.evolve(report, loaded=tuple(models))


def with_moves(plan: PlacementPlan) -> PlacementPlan:
    """Exchange the models of every tenth replica with those of the next such one."""
    slots = sorted(plan.assignments)[::MOVED_EVERY]
    turned = slots[1:] + slots[:1]
    models = {slot: plan.assignments[other] for slot, other in zip(slots, turned, strict=True)}
    return attrs.evolve(plan, assignments={**plan.assignments, **models})


def measure(size: HollowSize) -> dict:
    """Carry a plan out; return the processor time of its steps."""
    problem = problem_of(build_site(size, 20))
    plan = with_moves(solve(problem))
    executor = MoveExecutor(problem.models, MoveSettings(max_loading=MAX_LOADING))
    reports = {
        slot.replica_id: SlotReport(
            replica_id=slot.replica_id,
            incarnation="1",
            region=slot.region,
            resource=slot.resource,
            resource_units=slot.resource_units,
            loaded=slot.loaded_models,
        )
        for slot in problem.slots
    }
    executor.observe(reports, 0.0)
    executor.adopt(plan, 0.0, "measured")
    times, orders = [], 0
    for number in range(STEPS):
        now = TICK_S * number
        begun = time.thread_time()
        executor.observe(reports, now)
        given = executor.step(now)
        times.append(time.thread_time() - begun)
        for order in given:
            if isinstance(order, PublishWeights):
                executor.weights_published(order.sequence, now)
                continue
            orders += 1
            reports = {**reports, order.slot: obeyed(reports[order.slot], order)}
    return {
        "fronts": size.fronts,
        "replicas": size.replicas,
        "orders": orders,
        "step_ms_median": round(median(times) * 1e3, 2),
        "step_ms_max": round(max(times) * 1e3, 2),
        "processor_share": round(sum(times) / (STEPS * TICK_S), 3),
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
