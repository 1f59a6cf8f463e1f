"""The replicas as reports show them, and what the executor's own orders change about them."""

import attrs

from rooklug.config.document import Model, ResourceNeed
from rooklug.placement.load_tracking import LoadTracker
from rooklug.placement.orders import SlotReport, Unload
from rooklug.placement.problem import PlacementPlan

CAPACITY_TOLERANCE = 1e-6

EMPTY_PLAN = PlacementPlan({}, (), {}, (), 0.0, "none")


@attrs.define
class Withdrawal:
    """A model withdrawn from a slot: published under ``sequence``, unloaded afterwards.

    ``drained_at`` is when the unload may be ordered, None until publication is confirmed.
    """

    sequence: int
    drained_at: float | None
    order: Unload | None = None
    sent_at: float = 0.0


class FleetState:
    """Reports by replica id, loads in flight, and models withdrawn from service."""

    def __init__(self, models: dict[str, Model], loads: LoadTracker) -> None:
        self.models = models
        self.loads = loads
        self.reports: dict[str, SlotReport] = {}
        self.withdrawn: dict[tuple[str, str], Withdrawal] = {}
        self._loaded: dict[str, list[str]] = {}

    def observe(self, reports: dict[str, SlotReport]) -> None:
        """Take new reports; withdrawals that a restart or an unload ended are forgotten."""
        for slot, model in list(self.withdrawn):
            known = self.reports.get(slot)
            report = reports.get(slot)
            if (
                report is None
                or known is None
                or report.incarnation != known.incarnation
                or model not in (*report.loaded, *report.loading)
            ):
                del self.withdrawn[slot, model]
        self.reports = dict(sorted(reports.items()))
        self._loaded = _slots_by_model(self.reports)

    def known_models(self) -> list[str]:
        """Return the models that are configured or loaded somewhere."""
        loaded = {model for report in self.reports.values() for model in report.loaded}
        return sorted(loaded | set(self.models))

    def withdrawn_by_slot(self) -> dict[str, set[str]]:
        """Return the models withdrawn from each slot that has any."""
        withdrawn: dict[str, set[str]] = {}
        for slot, model in self.withdrawn:
            withdrawn.setdefault(slot, set()).add(model)
        return withdrawn

    def serving(self, model: str, region: str = "") -> list[str]:
        """Return the slots that serve ``model``: reported loaded, healthy, not withdrawn."""
        return [
            slot
            for slot in self._loaded.get(model, ())
            if region in ("", self.reports[slot].region) and (slot, model) not in self.withdrawn
        ]

    def withdrawn_on(self, slot: str) -> set[str]:
        """Return the models withdrawn from ``slot``."""
        return {model for name, model in self.withdrawn if name == slot}

    def has_model(self, slot: str, model: str) -> bool:
        """Return whether ``model`` is loaded or being loaded on ``slot``."""
        report = self.reports[slot]
        in_flight = (slot, model) in self.loads.pending
        return in_flight or model in report.loaded or model in report.loading

    def has_capacity(self, slot: str, model: str) -> bool:
        """Return whether ``model`` fits beside what ``slot`` has and loads."""
        report = self.reports[slot]
        present = set(report.loaded) | set(report.loading) | self.loads.on_slot(slot)
        used = sum(self._units(report, name) for name in present - {model})
        return used + self._units(report, model) <= report.resource_units + CAPACITY_TOLERANCE

    def need(self, report: SlotReport, model: str) -> ResourceNeed | None:
        """Return what ``model`` needs on a slot; None for a model that isn't configured there."""
        spec = self.models.get(model)
        return spec.resources.get(report.resource) if spec is not None else None

    def missing(self, plan: PlacementPlan) -> list[tuple[str, str]]:
        """Return the (slot, model) that ``plan`` wants and that isn't present, on serving slots."""
        return [(slot, model) for slot in plan.assignments for model in self.missing_on(plan, slot)]

    def missing_on(self, plan: PlacementPlan, slot: str) -> list[str]:
        """Return the models that ``plan`` wants and that aren't present on one serving slot."""
        if slot not in self.reports or not self.reports[slot].serving:
            return []
        return [
            model
            for model in plan.assignments.get(slot, ())
            if model in self.models and not self.has_model(slot, model)
        ]

    def _units(self, report: SlotReport, model: str) -> float:
        need = self.need(report, model)
        return need.units if need is not None else report.resource_units


def _slots_by_model(reports: dict[str, SlotReport]) -> dict[str, list[str]]:
    """Return the serving slots on which each model is loaded, in the order of the reports."""
    slots: dict[str, list[str]] = {}
    for slot, report in reports.items():
        for model in dict.fromkeys(report.loaded) if report.serving else ():
            slots.setdefault(model, []).append(slot)
    return slots
