"""Stand-in replicas for move sweeps: they load, stall, restart, vanish and come back cold."""

from random import Random

import attrs

from rooklug.config.document import Model
from rooklug.placement.orders import Load, SlotReport, Unload
from rooklug.placement.problem import ReplicaSlot

NEVER = float("inf")


@attrs.define
class StandInReplica:
    """One replica's true state. ``loading`` maps a model to when it will be loaded."""

    slot: ReplicaSlot
    incarnation: int = 1
    alive: bool = True
    stalls_until: float = 0.0
    loaded: set[str] = attrs.field(factory=set)
    loading: dict[str, float] = attrs.field(factory=dict)

    def advance(self, now: float) -> None:
        """Finish the loads that are due."""
        for model, due in sorted(self.loading.items()):
            if due <= now:
                del self.loading[model]
                self.loaded.add(model)

    def report(self) -> SlotReport:
        """Return the true state as a report."""
        return SlotReport(
            self.slot.replica_id,
            str(self.incarnation),
            self.slot.region,
            self.slot.resource,
            self.slot.resource_units,
            tuple(sorted(self.loaded)),
            tuple(sorted(self.loading)),
        )

    def load(self, order: Load, models: dict[str, Model], now: float) -> bool:
        """Obey a load; False if there is no room for it."""
        if order.model in self.loaded or order.model in self.loading:
            return True
        held = [*self.loaded, *self.loading, order.model]
        if sum(units_of(models, self.slot, model) for model in held) > self.slot.resource_units:
            return False
        stalled = now < self.stalls_until
        need = models[order.model].resources[self.slot.resource]
        self.loading[order.model] = NEVER if stalled else now + need.load_s
        return True

    def unload(self, order: Unload) -> None:
        """Obey an unload."""
        self.loaded.discard(order.model)
        self.loading.pop(order.model, None)

    def restart(self) -> None:
        """Come back as a new process with nothing loaded."""
        self.incarnation += 1
        self.loaded.clear()
        self.loading.clear()
        self.alive = True


def units_of(models: dict[str, Model], slot: ReplicaSlot, model: str) -> float:
    """Return the units a model takes on a slot; 0 for a model no configuration knows."""
    spec = models.get(model)
    need = spec.resources.get(slot.resource) if spec is not None else None
    return need.units if need is not None else 0.0


class ReplicaFleet:
    """All replicas, and the reports of them that got through."""

    REPORT_CHANCE = 0.9
    ORDER_CHANCE = 0.95

    def __init__(self, slots: tuple[ReplicaSlot, ...], random: Random) -> None:
        self.replicas = {slot.replica_id: StandInReplica(slot) for slot in slots}
        self.reports: dict[str, SlotReport] = {}
        self._random = random

    def advance(self, now: float) -> None:
        """Move on to ``now``; most replicas' reports get through."""
        for name, replica in self.replicas.items():
            replica.advance(now)
            if not replica.alive:
                self.reports.pop(name, None)
            elif name not in self.reports or self._random.random() < self.REPORT_CHANCE:
                self.reports[name] = replica.report()

    def order_arrives(self) -> bool:
        """Return whether the next order gets through."""
        return self._random.random() < self.ORDER_CHANCE
