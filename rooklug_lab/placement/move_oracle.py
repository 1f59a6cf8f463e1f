"""What must hold while replicas move, judged from outside the executor.

Sees the plans, the reports that got through, the orders and what replicas answered.
"""

import attrs

from rooklug.config.document import Model
from rooklug.placement.orders import PublishWeights, SlotReport, Unload
from rooklug.placement.problem import PlacementPlan

WEIGHT_ON_UNLOADED = "weight on a replica that hasn't reported loaded"
UNLOAD_BEFORE_WEIGHTS = "unload before the weights moved"
TOO_FEW_SERVING = "fewer serving replicas than the old plan's demand needs"
CAPACITY_EXCEEDED = "capacity exceeded"
OUTSIDE_HOMES = "outside homes"


@attrs.frozen
class Breach:
    """One broken promise."""

    promise: str
    at_s: float
    detail: str


@attrs.define
class MoveOracle:
    """Collects breaches. ``front_lag_s``: how long fronts may go on with older weights."""

    front_lag_s: float = 4.0
    breaches: list[Breach] = attrs.field(factory=list)
    _plan: PlacementPlan | None = None
    _required: dict[str, dict[str, int]] = attrs.field(factory=dict)
    _published: list[tuple[float, PublishWeights]] = attrs.field(factory=list)

    def adopted(self, plan: PlacementPlan) -> None:
        """Note the plan the executor was given."""
        self._plan = plan

    def reported(self, reports: dict[str, SlotReport]) -> None:
        """Note which models' planned replicas all report loaded: their demand counts now."""
        if self._plan is None:
            return
        models = {*self._plan.required, *self._required}
        for model in sorted(models):
            targets = [slot for slot, planned in self._plan.assignments.items() if model in planned]
            if all(slot not in reports or model in reports[slot].loaded for slot in targets):
                self._required[model] = self._plan.required.get(model, {})

    def published(self, order: PublishWeights, reports: dict[str, SlotReport], now: float) -> None:
        """Judge a publication."""
        for slot, models in order.intended.items():
            for model in models:
                if slot not in reports or model not in reports[slot].loaded:
                    self._breach(WEIGHT_ON_UNLOADED, now, f"{model} on {slot}")
        for cell in order.matrix:
            model, region = cell.demand_key.model, cell.destination_region
            if not self._serving(order, reports, model, region):
                self._breach(WEIGHT_ON_UNLOADED, now, f"cell of {model} to {region}")
            homes = cell.demand_key.home_regions
            if homes and region not in homes:
                self._breach(OUTSIDE_HOMES, now, f"{model} to {region}")
        if self._published:
            self._judge_withdrawals(self._published[-1][1], order, reports, now)
        self._published.append((now, order))

    def unload_ordered(self, order: Unload, reports: dict[str, SlotReport], now: float) -> None:
        """Judge an unload: no front may still route to a model that is loaded there."""
        if order.slot not in reports or order.model not in reports[order.slot].loaded:
            return
        seen = [entry for at, entry in self._published if at <= now - self.front_lag_s]
        recent = [entry for at, entry in self._published if at > now - self.front_lag_s]
        for entry in [*seen[-1:], *recent]:
            if order.model in entry.intended.get(order.slot, ()):
                self._breach(UNLOAD_BEFORE_WEIGHTS, now, f"{order.model} on {order.slot}")
                return

    def load_refused(self, model: str, slot: str, now: float) -> None:
        """Note that a replica had no room for an ordered load."""
        self._breach(CAPACITY_EXCEEDED, now, f"{model} on {slot}")

    def planned_units(
        self, plan: PlacementPlan, models: dict[str, Model], room: dict[str, float], now: float
    ) -> None:
        """Judge a plan's use of each slot; ``room`` is what each has (units)."""
        for slot, planned in plan.assignments.items():
            needs = [next(iter(models[model].resources.values())).units for model in planned]
            if sum(needs) > room[slot]:
                self._breach(CAPACITY_EXCEEDED, now, f"plan for {slot}")

    def _judge_withdrawals(
        self,
        before: PublishWeights,
        after: PublishWeights,
        reports: dict[str, SlotReport],
        now: float,
    ) -> None:
        for slot, models in before.intended.items():
            for model in set(models) - set(after.intended.get(slot, ())):
                if slot not in reports or model not in reports[slot].loaded:
                    continue
                region = reports[slot].region
                left = len(self._serving(after, reports, model, region))
                needed = self._required.get(model, {}).get(region, 0)
                if left < needed:
                    detail = f"{model} in {region}: {left} of {needed}"
                    self._breach(TOO_FEW_SERVING, now, detail)

    def _serving(
        self,
        order: PublishWeights,
        reports: dict[str, SlotReport],
        model: str,
        region: str,
    ) -> list[str]:
        return [
            slot
            for slot, models in order.intended.items()
            if model in models and slot in reports and reports[slot].region == region
        ]

    def _breach(self, promise: str, now: float, detail: str) -> None:
        self.breaches.append(Breach(promise, now, detail))
