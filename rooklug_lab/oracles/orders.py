"""The promise about a control node that was cut off: it orders nothing any more."""

from rooklug_lab.oracles.evidence import Evidence, OrderSent, Violation
from rooklug_lab.standins.records import OrderReceived

ACCEPTED = "accepted"
STALE_ORDER_GRACE_S = 4.0


def old_orders_are_fenced(evidence: Evidence) -> list[Violation]:
    """No replica obeys a token lower than one it has seen, and nobody goes on sending them.

    Where the wire was watched (the simulator), the second half is judged by when orders were
    sent: an order sent in time may be held up by the network for long, and is then refused.
    Elsewhere it is judged by when they arrived.
    """
    received = sorted(
        (order for replica in evidence.replicas for order in replica.orders),
        key=lambda order: order.at_s,
    )
    return _obeyed(received) + _sent_on(evidence, received)


def _obeyed(received: list[OrderReceived]) -> list[Violation]:
    return [
        Violation(
            order.at_s, f"{order.replica_id} obeyed {order.token} after {order.highest_token}"
        )
        for order in received
        if order.verdict == ACCEPTED and order.token < order.highest_token
    ]


def _sent_on(evidence: Evidence, received: list[OrderReceived]) -> list[Violation]:
    first_seen: dict[tuple[int, int], float] = {}
    for order in received:
        first_seen.setdefault(order.token, order.at_s)
    if evidence.orders_sent is None:
        orders = [OrderSent(order.at_s, order.replica_id, order.token) for order in received]
    else:
        orders = evidence.orders_sent
    violations = []
    for order in orders:
        newer = [seen for token, seen in first_seen.items() if token > order.token]
        newer_since = min(newer, default=order.at_s)
        if order.at_s - newer_since > STALE_ORDER_GRACE_S:
            text = f"{order.sender}: order of {order.token}, a newer one since {newer_since:.2f}"
            violations.append(Violation(order.at_s, text))
    return violations
