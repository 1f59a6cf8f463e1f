"""Loads in flight: retried until reported, and timed out; and the slots to avoid after that."""

import attrs

from rooklug.placement.orders import Load, MoveSettings, SlotReport


@attrs.define
class PendingLoad:
    """A load in flight. Times are monotonic seconds.

    ``sent_at`` is when the order was last sent, ``seen`` whether a report has shown the load.
    """

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
    """Tracks the loads in flight, by (slot, model), and the slots on which loads have timed out."""

    def __init__(self, settings: MoveSettings) -> None:
        self.settings = settings
        self.pending: dict[tuple[str, str], PendingLoad] = {}
        self._avoided: dict[str, _Avoidance] = {}

    def start(self, order: Load, incarnation: str, load_s: float, now: float) -> None:
        """Track a load ordered at ``now`` that usually takes ``load_s``.

        Its deadline is ``load_timeout_factor`` times that.
        """
        deadline = now + load_s * self.settings.load_timeout_factor
        self.pending[order.slot, order.model] = PendingLoad(order, incarnation, now, now, deadline)

    def observe(self, reports: dict[str, SlotReport]) -> list[PendingLoad]:
        """Update the loads from reports; return those lost with a restart or a vanished slot."""
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
        """Remove and return the loads past their deadline.

        Their slots are avoided, for a time that doubles with each further timeout.
        """
        given_up = []
        for slot_model, load in sorted(self.pending.items()):
            if now >= load.deadline:
                given_up.append(load)
                del self.pending[slot_model]
                self._strike(load.order.slot, now)
        return given_up

    def unseen(self, now: float) -> list[Load]:
        """Return the orders sent at least ``resend_s`` ago whose load no report has shown."""
        return [
            load.order
            for _, load in sorted(self.pending.items())
            if not load.seen and now - load.sent_at >= self.settings.resend_s
        ]

    def sent_again(self, order: Load, now: float) -> None:
        """Record that an order was sent again at ``now``."""
        self.pending[order.slot, order.model].sent_at = now

    def forget(self, order: Load) -> None:
        """Stop tracking an order that isn't wanted any more."""
        del self.pending[order.slot, order.model]

    def avoided_slots(self, now: float) -> frozenset[str]:
        """Return the slots that get no load at ``now``."""
        return frozenset(slot for slot, entry in self._avoided.items() if entry.until > now)

    def on_slot(self, slot: str) -> set[str]:
        """Return the models with a load in flight on ``slot``."""
        return {model for name, model in self.pending if name == slot}

    def _strike(self, slot: str, now: float) -> None:
        strikes = self._avoided[slot].strikes + 1 if slot in self._avoided else 1
        avoid_s = min(self.settings.avoid_limit_s, self.settings.avoid_s * 2.0 ** (strikes - 1))
        self._avoided[slot] = _Avoidance(now + avoid_s, strikes)
