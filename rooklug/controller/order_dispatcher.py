"""Sends load and unload orders under the placer's fencing token, with retries.

An order keeps its id over all attempts and is idempotent at the replica, so an order without an
answer is simply sent again. Every attempt carries the token and is not sent after the grant has
expired by this process's clock.
"""

import json
from enum import Enum
from random import Random

import attrs

from rooklug.controller.role import RoleFollower
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers

ATTEMPT_DEADLINE_S = 1.0
CONNECT_DEADLINE_S = 0.5
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 2.0
ORDER_TIMEOUT_S = 10.0
MAX_IN_FLIGHT = 64
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
HTTP_INSUFFICIENT_STORAGE = 507


class OrderKind(Enum):
    """The operation of an order; the value is the last part of the request path."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen
class ModelOrder:
    """One order to one replica. ``order_id`` is unique within a placer term."""

    kind: OrderKind
    replica_id: str
    model: str
    order_id: str


class OrderOutcome(Enum):
    """How an order completed; the values are published in decision records."""

    ACCEPTED = "accepted"
    STALE_TOKEN = "stale token"
    NO_CAPACITY = "no room"
    GAVE_UP = "gave up"


@attrs.frozen
class CompletedOrder:
    """An order that needs no further attempt, and its outcome."""

    order: ModelOrder
    outcome: OrderOutcome


@attrs.frozen
class DueOrders:
    """The calls to send now, and the orders that timed out without an outcome."""

    calls: list[fx.Effect]
    given_up: list[CompletedOrder]


@attrs.define
class _PendingOrder:
    """An order that has not completed.

    ``issued_at`` is when it was issued and ``due_at`` when its next attempt may be sent (monotonic
    seconds). ``call_id`` is the attempt in flight, if any.
    """

    order: ModelOrder
    address: str
    issued_at: float
    due_at: float
    attempts: int = 0
    call_id: int | None = None


@attrs.define
class OrderDispatcher:
    """Keeps the orders that have not completed, at most one for each replica and model.

    ``sent`` counts all attempts, ``retried`` those after the first one of an order.
    """

    role: RoleFollower
    identifiers: Identifiers
    random: Random
    sent: int = 0
    retried: int = 0
    _pending: dict[tuple[str, str], _PendingOrder] = attrs.field(factory=dict)

    def issue(self, order: ModelOrder, address: str, now: float) -> list[fx.Effect]:
        """Queue an order for ``send_due``.

        It replaces an earlier order for the same replica and model; an equal one to the same
        address is ignored.
        """
        target = (order.replica_id, order.model)
        present = self._pending.get(target)
        if present is not None and present.order == order and present.address == address:
            return []
        effects = self._cancel(target)
        self._pending[target] = _PendingOrder(order, address, now, now)
        return effects

    def cancel_replica(self, replica_id: str) -> list[fx.Effect]:
        """Cancel all orders to a replica that is gone, leaving or in a drained zone."""
        targets = [target for target in self._pending if target[0] == replica_id]
        return [effect for target in targets for effect in self._cancel(target)]

    def cancel_all(self) -> list[fx.Effect]:
        """Cancel all orders. Called when the role is lost."""
        return [effect for target in list(self._pending) for effect in self._cancel(target)]

    def send_due(self, now: float) -> DueOrders:
        """Return the attempts that are due; give up orders older than ``ORDER_TIMEOUT_S``.

        At most ``MAX_IN_FLIGHT`` attempts are in flight; the rest stay due.
        """
        effects: list[fx.Effect] = []
        given_up: list[CompletedOrder] = []
        in_flight = sum(pending.call_id is not None for pending in self._pending.values())
        for target, pending in list(self._pending.items()):
            if pending.call_id is not None or pending.due_at > now:
                continue
            if now - pending.issued_at > ORDER_TIMEOUT_S:
                del self._pending[target]
                given_up.append(CompletedOrder(pending.order, OrderOutcome.GAVE_UP))
            elif in_flight < MAX_IN_FLIGHT and self.role.is_owner:
                in_flight += 1
                effects.append(self._send(pending))
        return DueOrders(effects, given_up)

    def handle_attempt_end(
        self, event: ev.HttpAnswered | ev.HttpFailed, now: float
    ) -> CompletedOrder | None:
        """Handle the end of an attempt; return the order if it is complete, or None.

        An attempt without a definite answer schedules a retry.
        """
        pending = next((p for p in self._pending.values() if p.call_id == event.call_id), None)
        if pending is None:
            return None
        pending.call_id = None
        outcome = _outcome_of(event)
        if outcome is None:
            self._schedule_retry(pending, now)
            return None
        del self._pending[pending.order.replica_id, pending.order.model]
        return CompletedOrder(pending.order, outcome)

    def _schedule_retry(self, pending: _PendingOrder, now: float) -> None:
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (pending.attempts - 1))
        pending.due_at = now + backoff_s * (0.75 + 0.5 * self.random.random())

    def _cancel(self, target: tuple[str, str]) -> list[fx.Effect]:
        pending = self._pending.pop(target, None)
        if pending is None or pending.call_id is None:
            return []
        return [fx.CancelHttpCall(pending.call_id)]

    def _send(self, pending: _PendingOrder) -> fx.Effect:
        self.sent += 1
        self.retried += pending.attempts > 0
        pending.attempts += 1
        pending.call_id = self.identifiers.next()
        return fx.HttpCall(
            call_id=pending.call_id,
            address=pending.address,
            method="POST",
            path=f"/api/{pending.order.kind.value}",
            body=self._body(pending),
            deadline_s=ATTEMPT_DEADLINE_S,
            headers={"content-type": "application/json"},
            connect_deadline_s=CONNECT_DEADLINE_S,
            not_after=self.role.valid_until,
        )

    def _body(self, pending: _PendingOrder) -> bytes:
        epoch, counter = self.role.token_key
        document = {
            "order_id": f"{epoch}.{counter}.{pending.order.order_id}",
            "model": pending.order.model,
            "token": [epoch, counter],
        }
        return json.dumps(document).encode()


def _outcome_of(event: ev.HttpAnswered | ev.HttpFailed) -> OrderOutcome | None:
    """Return the outcome of the order, or None if it should be retried."""
    if isinstance(event, ev.HttpFailed):
        return None
    if event.status in (HTTP_OK, HTTP_ACCEPTED):
        return OrderOutcome.ACCEPTED
    if event.status == HTTP_CONFLICT:
        return OrderOutcome.STALE_TOKEN
    if event.status == HTTP_INSUFFICIENT_STORAGE:
        return OrderOutcome.NO_CAPACITY
    return None
