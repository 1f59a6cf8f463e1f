"""Assembles a complete plan from assignments and traffic, whichever solver found them."""

import attrs

from rooklug.placement.capacity_tracker import Flow
from rooklug.placement.facts import LOAD_EPSILON, destinations, need_on
from rooklug.placement.guardrail import keep_surplus
from rooklug.placement.matrix import build_matrix
from rooklug.placement.objective import coverage_groups, evaluate, hosting_regions
from rooklug.placement.problem import DemandKey, PlacementPlan, PlacementProblem, Violation
from rooklug.placement.readiness import readiness_violations


def assemble(
    problem: PlacementProblem,
    assignments: dict[str, list[str]],
    flows: list[Flow],
    solver: str,
    notes: tuple[str, ...] = (),
) -> PlacementPlan:
    """Return the plan that loads ``assignments`` and serves ``flows``.

    Loaded models that ``assignments`` lack stay if the guardrail on moves postpones their unload.
    """
    terms = evaluate(problem, assignments, flows)
    assignments, postponed = keep_surplus(problem, assignments)
    if postponed:
        notes = (*notes, f"guardrail: {postponed} unloads left for later solves")
    unplaced = unplaced_demand(problem, flows)
    return PlacementPlan(
        assignments={name: tuple(sorted(models)) for name, models in sorted(assignments.items())},
        matrix=build_matrix(problem, assignments, flows),
        unplaced=unplaced,
        evicted_models=evicted_models(problem, assignments),
        objective=terms.total,
        solver=solver,
        notes=notes,
        required=required_replicas(problem, assignments, flows),
        violations=tuple(violations(problem, assignments, flows, unplaced)),
    )


def unplaced_demand(problem: PlacementProblem, flows: list[Flow]) -> dict[DemandKey, float]:
    """Return the demand (tokens/s) that ``flows`` don't serve, by key."""
    rest = dict(problem.demand)
    for flow in flows:
        rest[flow.key] = rest.get(flow.key, 0.0) - flow.load
    return {key: load for key, load in rest.items() if load > max(LOAD_EPSILON, 1e-6 * load)}


def violations(
    problem: PlacementProblem,
    assignments: dict[str, list[str]],
    flows: list[Flow],
    unplaced: dict[DemandKey, float],
) -> list[Violation]:
    """Return the violations of the intents "demand", "latency", "reach" and "readiness"."""
    found = [
        Violation(
            "demand",
            key.model,
            load,
            f"{load:.1f} tokens/s of {key.model} from {key.source_region} have no replica",
        )
        for key, load in sorted(unplaced.items(), key=lambda entry: attrs.astuple(entry[0]))
    ]
    found += _late_violations(problem, flows)
    hosts = hosting_regions(problem, assignments)
    for model, regions in coverage_groups(problem):
        if not hosts.get(model, set()) & set(regions):
            message = f"{model} has no replica in {', '.join(regions)}"
            found.append(Violation("reach", model, 1.0, message))
    return found + readiness_violations(problem, assignments)


def _late_violations(problem: PlacementProblem, flows: list[Flow]) -> list[Violation]:
    found = []
    for flow in flows:
        for destination in destinations(problem, flow.key):
            if destination.late and destination.region == flow.region:
                message = (
                    f"{flow.load:.1f} tokens/s of {flow.key.model} from "
                    f"{flow.key.source_region} go to {flow.region}, "
                    f"{destination.round_trip_ms:.0f} ms away"
                )
                found.append(Violation("latency", flow.key.model, flow.load, message))
    return found


def evicted_models(problem: PlacementProblem, assignments: dict[str, list[str]]) -> tuple[str, ...]:
    """Return the models that are configured or in demand but get no replica."""
    placed = {model for models in assignments.values() for model in models}
    wanted = {key.model for key in problem.demand} | set(problem.models)
    return tuple(sorted(wanted - placed))


def required_replicas(
    problem: PlacementProblem, assignments: dict[str, list[str]], flows: list[Flow]
) -> dict[str, dict[str, int]]:
    """Return by model and region how many replicas the planned traffic needs.

    The slowest replicas are counted first, so any replicas of that number are enough.
    """
    rates: dict[tuple[str, str], list[float]] = {}
    for slot in problem.slots:
        for model in assignments.get(slot.replica_id, ()):
            need = need_on(problem, model, slot)
            if need is not None:
                rates.setdefault((model, slot.region), []).append(need.tokens_per_s)
    traffic: dict[tuple[str, str], float] = {}
    for flow in flows:
        model_region = (flow.key.model, flow.region)
        traffic[model_region] = traffic.get(model_region, 0.0) + flow.load
    required: dict[str, dict[str, int]] = {}
    for (model, region), load in sorted(traffic.items()):
        needed = _count_for(load, sorted(rates.get((model, region), [])))
        required.setdefault(model, {})[region] = needed
    return required


def _count_for(load: float, rates: list[float]) -> int:
    carried = 0.0
    for count, rate in enumerate(rates, start=1):
        carried += rate
        if carried >= load - LOAD_EPSILON:
            return count
    return len(rates)
