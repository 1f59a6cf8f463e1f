"""Loads in flight: sent again until seen, timed, given up; and the slots to avoid."""

import attrs

from rooklug.placement.orders import Load, MoveSettings, SlotReport


@attrs.define
class PendingLoad:
    """A load in flight. ``sent_at`` is the last time it was ordered."""

    order: Load
    incarnation: str
    started_at: float
    sent_at: float
    deadline: float
    seen: bool = False


@attrs.define
class _Avoidance:
    until: float
    strikes: int


class LoadTracker:
    """Keeps the loads in flight and the slots on which loads were given up."""

    def __init__(self, settings: MoveSettings) -> None:
        self.settings = settings
        self.pending: dict[tuple[str, str], PendingLoad] = {}
        self._avoided: dict[str, _Avoidance] = {}

    def start(self, order: Load, incarnation: str, load_s: float, now: float) -> None:
        """Note a load ordered at ``now`` that usually takes ``load_s``."""
        deadline = now + load_s * self.settings.load_timeout_factor
        self.pending[order.slot, order.model] = PendingLoad(order, incarnation, now, now, deadline)

    def observe(self, reports: dict[str, SlotReport]) -> list[PendingLoad]:
        """Take what reports show; return the loads lost with a restart or a vanished slot."""
        lost = []
        for slot_model, load in sorted(self.pending.items()):
            report = reports.get(load.order.slot)
            if report is None or report.incarnation != load.incarnation:
                lost.append(load)
                del self.pending[slot_model]
            elif load.order.model in report.loaded:
                self._avoided.pop(load.order.slot, None)
                del self.pending[slot_model]
            elif load.order.model in report.loading:
                load.seen = True
        return lost

    def overdue(self, now: float) -> list[PendingLoad]:
        """Give up the loads past their deadline; avoid their slots for a growing time."""
        given_up = []
        for slot_model, load in sorted(self.pending.items()):
            if now >= load.deadline:
                given_up.append(load)
                del self.pending[slot_model]
                self._strike(load.order.slot, now)
        return given_up

    def unseen(self, now: float) -> list[Load]:
        """Return the orders that no report has shown for ``resend_s`` after they were sent."""
        return [
            load.order
            for _, load in sorted(self.pending.items())
            if not load.seen and now - load.sent_at >= self.settings.resend_s
        ]

    def sent_again(self, order: Load, now: float) -> None:
        """Note that an order was sent once more."""
        self.pending[order.slot, order.model].sent_at = now

    def forget(self, order: Load) -> None:
        """Drop an order that isn't wanted any more."""
        del self.pending[order.slot, order.model]

    def avoided_slots(self, now: float) -> frozenset[str]:
        """Return the slots that get no load now."""
        return frozenset(slot for slot, entry in self._avoided.items() if entry.until > now)

    def on_slot(self, slot: str) -> set[str]:
        """Return the models whose load on ``slot`` is in flight."""
        return {model for name, model in self.pending if name == slot}

    def _strike(self, slot: str, now: float) -> None:
        strikes = self._avoided[slot].strikes + 1 if slot in self._avoided else 1
        avoid_s = min(self.settings.avoid_limit_s, self.settings.avoid_s * 2.0 ** (strikes - 1))
        self._avoided[slot] = _Avoidance(now + avoid_s, strikes)
