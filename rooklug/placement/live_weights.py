"""The live weights: for each model, those of the newest plan whose replicas are all loaded."""

import attrs

from rooklug.placement.fleet_state import FleetView
from rooklug.placement.orders import MoveGuards, PublishWeights
from rooklug.placement.problem import PlacementPlan, RouteShare
from rooklug.placement.published import servable_cells, within_homes


@attrs.frozen
class _CachedCells:
    """The cached servable cells of one model, with the inputs they were computed from."""

    live: tuple[RouteShare, ...]
    planned: tuple[RouteShare, ...]
    hosts: set[str]
    cells: list[RouteShare]

    def is_computed_from(
        self,
        live: tuple[RouteShare, ...],
        planned: tuple[RouteShare, ...],
        hosts: set[str],
    ) -> bool:
        """Return whether the cells were computed from these inputs.

        Cells are compared by identity and host regions by value.
        """
        return self.live is live and self.planned is planned and self.hosts == hosts


class LiveWeights:
    """Switches each model's weights from the previous plan to the adopted one.

    ``sequence`` numbers the published weights, from 1.
    """

    def __init__(self, fleet: FleetView, guards: MoveGuards) -> None:
        self._fleet = fleet
        self._guards = guards
        self._planned: dict[str, tuple[RouteShare, ...]] = {}
        self._live: dict[str, tuple[RouteShare, ...]] = {}
        self._required: dict[str, dict[str, int]] = {}
        self._switched: set[str] = set()
        self._cells: dict[str, _CachedCells] = {}
        self._last: PublishWeights | None = None
        self.sequence = 0

    def adopt(self, plan: PlacementPlan) -> None:
        """Make the weights of ``plan`` the ones to switch to."""
        cells: dict[str, list[RouteShare]] = {}
        for cell in plan.matrix:
            if within_homes(cell) or not self._guards.within_homes:
                cells.setdefault(cell.demand_key.model, []).append(cell)
        self._planned = {model: tuple(found) for model, found in cells.items()}
        self._switched = set()

    def require_serving_replicas(self) -> None:
        """Mark every serving replica as required. Called before the first plan is adopted."""
        for model in self._fleet.known_models():
            needed: dict[str, int] = {}
            for slot in self._fleet.serving(model):
                region = self._fleet.reports[slot].region
                needed[region] = needed.get(region, 0) + 1
            self._required[model] = needed

    def needed(self, model: str, region: str) -> int:
        """Return how many replicas of ``model`` the live weights need in ``region``."""
        return self._required.get(model, {}).get(region, 0)

    def needed_in_total(self, model: str) -> int:
        """Return how many replicas of ``model`` the live weights need in all regions."""
        return sum(self._required.get(model, {}).values())

    def has_switched(self, model: str) -> bool:
        """Return whether the adopted plan's weights are live for ``model``."""
        return model in self._switched

    def switch(self, plan: PlacementPlan) -> list[str]:
        """Make the plan's weights live for each model whose planned replicas are all loaded.

        Returns the models whose weights change.
        """
        moved = []
        for model in self._fleet.known_models():
            if model not in self._switched and self._is_loaded(plan, model):
                planned = self._planned.get(model, ())
                if self._live.get(model, ()) != planned:
                    moved.append(model)
                self._switched.add(model)
                self._live[model] = planned
                self._required[model] = dict(plan.required.get(model, {}))
        return moved

    def publish(self, plan: PlacementPlan) -> PublishWeights | None:
        """Return the weights to publish, or None if they equal the last ones."""
        intended = self._intended(plan)
        matrix: list[RouteShare] = []
        for model in self._fleet.known_models():
            hosts = {
                self._fleet.reports[slot].region
                for slot, models in intended.items()
                if model in models
            }
            matrix += self._servable(model, hosts)
        last = self._last
        if last is not None and last.matrix == tuple(matrix) and last.intended == intended:
            return None
        self.sequence += 1
        self._last = PublishWeights(self.sequence, tuple(matrix), intended)
        return self._last

    def _servable(self, model: str, hosts: set[str]) -> list[RouteShare]:
        """Return a model's servable cells; recomputed only if their inputs have changed."""
        live, planned = self._live.get(model, ()), self._planned.get(model, ())
        cached = self._cells.get(model)
        if cached is not None and cached.is_computed_from(live, planned, hosts):
            return cached.cells
        cells = servable_cells(live, planned, hosts)
        self._cells[model] = _CachedCells(live, planned, hosts, cells)
        return cells

    def _is_loaded(self, plan: PlacementPlan, model: str) -> bool:
        if not self._guards.wait_for_loaded:
            return True
        serving = set(self._fleet.serving(model))
        for slot, models in plan.assignments.items():
            if model in models and slot in self._fleet.reports and slot not in serving:
                return False
        return all(
            len(self._fleet.serving(model, region)) >= needed
            for region, needed in plan.required.get(model, {}).items()
        )

    def _intended(self, plan: PlacementPlan) -> dict[str, tuple[str, ...]]:
        intended = {}
        withdrawn = self._fleet.withdrawn_by_slot()
        for slot, report in self._fleet.reports.items():
            if not report.serving:
                continue
            models = set(report.loaded)
            if not self._guards.wait_for_loaded:
                models |= set(plan.assignments.get(slot, ()))
            intended[slot] = tuple(sorted(models - withdrawn.get(slot, set())))
        return intended
