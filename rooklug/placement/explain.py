"""Explains a plan: replicas, use and weights by region, the routing matrix, and violations."""

from typing import Any

import attrs

from rooklug.placement.facts import need_on
from rooklug.placement.problem import PlacementPlan, PlacementProblem, Violation


@attrs.frozen
class ModelInRegion:
    """One model in one region. ``tokens_per_s`` is the throughput of its planned replicas.

    ``needed`` is how many replicas the planned traffic needs; the others are there for headroom
    or coverage, or their unload is postponed.
    """

    model: str
    region: str
    replicas: int
    needed: int
    loads: int
    unloads: int
    tokens_per_s: float


@attrs.frozen
class RegionUse:
    """A region's capacity and use in resource units, and its configured weights."""

    region: str
    replicas: int
    units: float
    units_used: float
    serve: float
    spill: float
    reserve: float


@attrs.frozen
class RowOfMatrix:
    """One row of the routing matrix: a demand key (tokens/s) and its destinations.

    Each destination is a text "region preference/weight".
    """

    model: str
    latency_class: str
    source_region: str
    home_regions: tuple[str, ...]
    demand: float
    destinations: tuple[str, ...]


@attrs.frozen
class Explanation:
    """A plan and its reasons, to be printed as text or as JSON."""

    solver: str
    objective: float
    gap: float
    regions: tuple[RegionUse, ...]
    models: tuple[ModelInRegion, ...]
    matrix: tuple[RowOfMatrix, ...]
    violations: tuple[Violation, ...]
    evicted_models: tuple[str, ...]
    notes: tuple[str, ...]

    def to_json(self) -> dict[str, Any]:
        """Return a JSON document with the field names as keys."""
        return attrs.asdict(self)

    def to_text(self) -> str:
        """Return tables and lines for a terminal."""
        lines = [f"solver {self.solver}, objective {self.objective:.2f}, gap {self.gap:.2%}", ""]
        lines += _table(
            ("region", "replicas", "units", "used", "serve", "spill", "reserve"),
            [
                (
                    use.region,
                    use.replicas,
                    use.units,
                    use.units_used,
                    use.serve,
                    use.spill,
                    use.reserve,
                )
                for use in self.regions
            ],
        )
        lines += _table(
            ("model", "region", "replicas", "needed", "loads", "unloads", "tokens/s"),
            [attrs.astuple(row) for row in self.models],
        )
        lines += _table(
            ("model", "class", "from", "homes", "demand", "to (preference/weight)"),
            [
                (
                    row.model,
                    row.latency_class,
                    row.source_region,
                    ",".join(row.home_regions) or "any",
                    round(row.demand, 1),
                    "  ".join(row.destinations) or "nowhere",
                )
                for row in self.matrix
            ],
        )
        lines += [f"violated {entry.intent}: {entry.message}" for entry in self.violations]
        lines += [f"evicted: {model}" for model in self.evicted_models]
        lines += [f"note: {remark}" for remark in self.notes]
        return "\n".join(lines)


def explain(problem: PlacementProblem, plan: PlacementPlan) -> Explanation:
    """Return the explanation of ``plan``, which must be a plan for ``problem``."""
    return Explanation(
        plan.solver,
        plan.objective,
        plan.gap,
        tuple(_region_use(problem, plan, region) for region in sorted(problem.regions)),
        tuple(_model_rows(problem, plan)),
        tuple(_matrix_rows(problem, plan)),
        plan.violations,
        plan.evicted_models,
        plan.notes,
    )


def _region_use(problem: PlacementProblem, plan: PlacementPlan, region: str) -> RegionUse:
    slots = [slot for slot in problem.slots if slot.region == region]
    used = 0.0
    for slot in slots:
        for model in plan.assignments.get(slot.replica_id, ()):
            need = need_on(problem, model, slot)
            used += need.units if need is not None else 0.0
    weights = problem.regions[region].weights
    units = sum(slot.resource_units for slot in slots)
    return RegionUse(region, len(slots), units, used, weights.serve, weights.spill, weights.reserve)


def _model_rows(problem: PlacementProblem, plan: PlacementPlan) -> list[ModelInRegion]:
    rows = []
    for model in sorted(problem.models):
        for region in sorted(problem.regions):
            slots = [slot for slot in problem.slots if slot.region == region]
            planned = [slot for slot in slots if model in plan.assignments.get(slot.replica_id, ())]
            loaded = [slot for slot in slots if model in slot.loaded_models]
            if not planned and not loaded:
                continue
            needs = [need_on(problem, model, slot) for slot in planned]
            rows.append(
                ModelInRegion(
                    model,
                    region,
                    len(planned),
                    plan.required.get(model, {}).get(region, 0),
                    sum(slot not in loaded for slot in planned),
                    sum(slot not in planned for slot in loaded),
                    sum(need.tokens_per_s for need in needs if need is not None),
                )
            )
    return rows


def _matrix_rows(problem: PlacementProblem, plan: PlacementPlan) -> list[RowOfMatrix]:
    cells: dict = {key: [] for key in sorted(problem.demand, key=attrs.astuple)}
    for cell in plan.matrix:
        if cell.demand_key in cells:
            text = f"{cell.destination_region} {cell.preference}/{cell.weight:.2f}"
            cells[cell.demand_key].append(text)
    return [
        RowOfMatrix(
            key.model,
            key.latency_class,
            key.source_region,
            key.home_regions,
            problem.demand[key],
            tuple(destinations),
        )
        for key, destinations in cells.items()
    ]


def _table(heads: tuple[str, ...], rows: list[tuple]) -> list[str]:
    printed = [heads, *[tuple(_shown(value) for value in row) for row in rows]]
    widths = [max(len(row[index]) for row in printed) for index in range(len(heads))]
    lines = [
        "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True)).rstrip()
        for row in printed
    ]
    return [*lines, ""]


def _shown(value: object) -> str:
    return f"{value:g}" if isinstance(value, float) else str(value)
