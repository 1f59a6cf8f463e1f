"""The move executor's view of the replicas: their reports, overlaid with its own orders."""

import attrs

from rooklug.config.document import Model, ResourceNeed
from rooklug.placement.load_tracking import LoadTracker
from rooklug.placement.orders import SlotReport, Unload
from rooklug.placement.problem import PlacementPlan

CAPACITY_TOLERANCE = 1e-6

EMPTY_PLAN = PlacementPlan({}, (), {}, (), 0.0, "none")


@attrs.define
class Withdrawal:
    """A model withdrawn from service on a slot, which is unloaded once it is drained.

    ``sequence`` is that of the published weights that no longer route to it. ``drained_at`` is
    when the unload may be ordered; it is None until the publication is confirmed. ``sent_at`` is
    when ``order`` was last sent. Times are monotonic seconds.
    """

    sequence: int
    drained_at: float | None
    order: Unload | None = None
    sent_at: float = 0.0


class FleetView:
    """Reports by replica id, loads in flight, and models withdrawn from service.

    A slot is identified by the id of its replica.
    """

    def __init__(self, models: dict[str, Model], loads: LoadTracker) -> None:
        self.models = models
        self.loads = loads
        self.reports: dict[str, SlotReport] = {}
        self.withdrawn: dict[tuple[str, str], Withdrawal] = {}
        self._loaded: dict[str, list[str]] = {}

    def observe(self, reports: dict[str, SlotReport]) -> None:
        """Replace all reports; drop withdrawals that an unload, a restart or a loss has ended."""
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
        """Return the models that are configured or loaded on any slot."""
        loaded = {model for report in self.reports.values() for model in report.loaded}
        return sorted(loaded | set(self.models))

    def withdrawn_by_slot(self) -> dict[str, set[str]]:
        """Return the withdrawn models by slot; slots without any are left out."""
        withdrawn: dict[str, set[str]] = {}
        for slot, model in self.withdrawn:
            withdrawn.setdefault(slot, set()).add(model)
        return withdrawn

    def serving(self, model: str, region: str = "") -> list[str]:
        """Return the slots that serve ``model``: loaded, serving and not withdrawn.

        An empty ``region`` stands for all regions.
        """
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
        """Return whether ``model`` fits beside the models loaded or being loaded on ``slot``."""
        report = self.reports[slot]
        present = set(report.loaded) | set(report.loading) | self.loads.on_slot(slot)
        used = sum(self._units(report, name) for name in present - {model})
        return used + self._units(report, model) <= report.resource_units + CAPACITY_TOLERANCE

    def need(self, report: SlotReport, model: str) -> ResourceNeed | None:
        """Return the need of ``model`` on a slot; None if it can't run on its resource."""
        spec = self.models.get(model)
        return spec.resources.get(report.resource) if spec is not None else None

    def missing(self, plan: PlacementPlan) -> list[tuple[str, str]]:
        """Return each (slot, model) that ``plan`` assigns and that a serving slot lacks."""
        return [(slot, model) for slot in plan.assignments for model in self.missing_on(plan, slot)]

    def missing_on(self, plan: PlacementPlan, slot: str) -> list[str]:
        """Return the configured models that ``plan`` assigns to ``slot`` and that it lacks.

        A model with a load in flight isn't missing. Empty if the slot isn't serving.
        """
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
