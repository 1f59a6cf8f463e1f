"""The invariant that fronts in touch serve under the operators' newest acknowledged state."""

from collections.abc import Iterator

from rooklug_lab.gateway.contact import ContactRecord
from rooklug_lab.gateway.journal import FrontState, Journal, Order

CONFIGURATION_S = 2.5
"""Time within which an acknowledged configuration is in force (``configuration_ms``)."""
EVACUATION_S = 5.0
"""Time within which nothing more is sent to a drained zone (``evacuation_ms``)."""


def fronts_keep_up(journal: Journal, cold_rate_per_s: float) -> Iterator[str]:
    """No front in touch serves under an older configuration or sends to a drained zone."""
    if journal.contact is None:
        return
    changes = [o for o in journal.orders if o.kind == "change" and o.acknowledged_at]
    drains = [o for o in journal.orders if o.kind == "empty" and o.acknowledged_at]
    for state in journal.front_states:
        yield from _late_configuration(journal.contact, state, changes)
        for drain in drains:
            yield from _missed_drain(journal, journal.contact, state, drain)


def _late_configuration(
    contact: ContactRecord, state: FrontState, changes: list[Order]
) -> Iterator[str]:
    missed = [o.acknowledged_at for o in changes if o.version > state.version]
    since = min(missed, default=state.at)
    if contact.is_late(state.ip, since, CONFIGURATION_S, state.at):
        age_s = state.at - since
        yield f"{state.at:.1f}: {state.front} has {state.version}, older than due by {age_s:.1f} s"


def _missed_drain(
    journal: Journal, contact: ContactRecord, state: FrontState, drain: Order
) -> Iterator[str]:
    ends = [o.sent_at for o in journal.orders if o.kind == "restore" and o.zone == drain.zone]
    end = min((at for at in ends if at > drain.sent_at), default=float("inf"))
    if state.at >= end or drain.zone in state.drained_zones:
        return
    if contact.is_late(state.ip, drain.acknowledged_at, EVACUATION_S, state.at):
        yield f"{state.at:.1f}: {state.front} may send to {drain.zone}, drained"
