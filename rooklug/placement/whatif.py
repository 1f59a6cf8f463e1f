"""Simulates a change: the loss of a region or zone, or another number of replicas in a region.

Modelled on GSP's simulations of disasters and of the addition and removal of regions. There are two
outcomes: *at once*, with the remaining replicas and their loaded models; and *replanned*, after as
many moves as needed. ``python -m rooklug.placement.whatif problem.json --without cairo``.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any

import attrs

from rooklug.placement.documents import problem_from_json
from rooklug.placement.explain import explain
from rooklug.placement.planner import solve
from rooklug.placement.problem import PlacementPlan, PlacementProblem, Violation

UNBOUNDED_MOVES = 1_000_000


@attrs.frozen
class CapacityChange:
    """Sets the number of replicas in a region."""

    region: str
    replicas: int


@attrs.frozen
class Outcome:
    """How well a plan serves the demand.

    ``served_share`` is the served share of all demand (tokens/s); ``units_used`` are resource
    units; ``loads`` is the number of loads that the plan needs.
    """

    served_share: float
    units_used: float
    loads: int
    violations: tuple[Violation, ...]


@attrs.frozen
class WhatIf:
    """The outcomes of a change: before it, at once, and replanned.

    ``new_violations`` are those that remain after replanning and don't exist before the change.
    """

    change: str
    before: Outcome
    at_once: Outcome
    replanned: Outcome
    new_violations: tuple[Violation, ...]

    def to_json(self) -> dict[str, Any]:
        """Return a JSON document with the field names as keys."""
        return attrs.asdict(self)

    def to_text(self) -> str:
        """Return one line per outcome and new violation, for a terminal."""
        lines = [self.change]
        for name in ("before", "at_once", "replanned"):
            outcome = getattr(self, name)
            lines.append(
                f"{name.replace('_', ' '):10} served {outcome.served_share:7.2%}  "
                f"units {outcome.units_used:g}  loads {outcome.loads}  "
                f"violations {len(outcome.violations)}"
            )
        lines += [f"would violate {entry.intent}: {entry.message}" for entry in self.new_violations]
        return "\n".join(
            lines if self.new_violations else [*lines, "nothing new would be violated"]
        )


def without(problem: PlacementProblem, place: str) -> PlacementProblem:
    """Return the problem without the replicas of the region or zone named ``place``."""
    slots = tuple(slot for slot in problem.slots if place not in (slot.region, slot.zone))
    return attrs.evolve(problem, slots=slots)


def with_capacity(problem: PlacementProblem, change: CapacityChange) -> PlacementProblem:
    """Return the problem with another number of replicas in a region.

    Surplus replicas are removed from the end. Additional ones are copies of the region's replicas
    in turn, with nothing loaded; a region without replicas gets copies of other regions'.
    """
    inside = [slot for slot in problem.slots if slot.region == change.region]
    outside = [slot for slot in problem.slots if slot.region != change.region]
    remaining = inside[: change.replicas]
    patterns = inside or outside
    for index in range(change.replicas - len(remaining) if patterns else 0):
        pattern = patterns[index % len(patterns)]
        zone = pattern.zone if inside else f"{change.region}-new"
        remaining.append(
            attrs.evolve(
                pattern,
                replica_id=f"{change.region}-added-{index}",
                region=change.region,
                zone=zone,
                loaded_models=(),
            )
        )
    return attrs.evolve(problem, slots=(*outside, *remaining))


def simulate(problem: PlacementProblem, changed: PlacementProblem, name: str) -> WhatIf:
    """Solve ``problem`` and ``changed``, and return the outcomes; ``name`` describes the change."""
    plan = solve(problem)
    slots_left = tuple(
        attrs.evolve(slot, loaded_models=plan.assignments.get(slot.replica_id, ()))
        for slot in changed.slots
    )
    left = attrs.evolve(changed, slots=slots_left)
    frozen = attrs.evolve(
        left, max_moves=0, avoid_slots=frozenset(slot.replica_id for slot in slots_left)
    )
    at_once = solve(frozen)
    replanned = solve(attrs.evolve(left, max_moves=UNBOUNDED_MOVES))
    before = _outcome(problem, plan)
    after = _outcome(left, replanned)
    known = {(entry.intent, entry.subject, entry.message) for entry in before.violations}
    new = tuple(
        entry
        for entry in after.violations
        if (entry.intent, entry.subject, entry.message) not in known
    )
    return WhatIf(name, before, _outcome(frozen, at_once), after, new)


def _outcome(problem: PlacementProblem, plan: PlacementPlan) -> Outcome:
    total = sum(problem.demand.values())
    missing = sum(plan.unplaced.values())
    explained = explain(problem, plan)
    return Outcome(
        1.0 - missing / total if total > 0 else 1.0,
        sum(use.units_used for use in explained.regions),
        sum(row.loads for row in explained.models),
        plan.violations,
    )


def parse_capacity(text: str) -> CapacityChange:
    """Parse "REGION=N"; raises ``ValueError`` on anything else."""
    region, separator, count = text.rpartition("=")
    if not separator or not region or not count.isdecimal():
        raise ValueError(f"expected REGION=N, got {text!r}")
    return CapacityChange(region, int(count))


def main(arguments: list[str] | None = None) -> int:
    """Explain a problem's plan, or simulate a change; return 1 if that adds violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("problem", type=Path, help="JSON document of the placement problem")
    parser.add_argument("--without", metavar="REGION|ZONE")
    parser.add_argument("--capacity", metavar="REGION=N", type=parse_capacity)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(arguments)
    problem = problem_from_json(json.loads(options.problem.read_text()))
    if options.without is None and options.capacity is None:
        explanation = explain(problem, solve(problem))
        print(json.dumps(explanation.to_json()) if options.json else explanation.to_text())
        return 0
    changed = without(problem, options.without) if options.without else problem
    names = [f"without {options.without}"] if options.without else []
    if options.capacity is not None:
        changed = with_capacity(changed, options.capacity)
        names.append(f"{options.capacity.region} with {options.capacity.replicas} replicas")
    outcome = simulate(problem, changed, ", ".join(names))
    print(json.dumps(outcome.to_json()) if options.json else outcome.to_text())
    return 1 if outcome.new_violations else 0


if __name__ == "__main__":
    sys.exit(main())
