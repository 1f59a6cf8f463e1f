"""The operators' calls at a core: taken in the edge's words, forwarded to the primary.

What is said without an answer of the primary is never a refusal: the order may be taken. A
caller that gets 503 sends the same order again, to any node; the primary knows it by its
identity.
"""

import hashlib
import json

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug.gateway.dialect import (
    BadOrder,
    ControlDialect,
    OperatorOrder,
    ReadOrder,
    SubmitOrder,
    ZoneOrder,
)
from rooklug.model.internal_events import PrimaryKnown, ZonesCommitted
from rooklug.model.versions import ZERO_VERSION
from rooklug.wire.generated.control.ttypes import (
    ReadConfigurationAnswer,
    ReadConfigurationRequest,
    SetZoneRequest,
    SubmitChangeRequest,
    VersionMark,
)

LISTENER = "operators"
ANSWER_LIMIT_S = 0.9
"""An operator moves to another node after a second."""
BYTES_PER_S = 1_000_000
"""Long documents get so much more time: they are sent, checked and synced."""
RETRY_S = 0.1
_TIMER_PREFIX = "retry:"
_JSON = {"content-type": "application/json"}
_STATUS = {"accepted": 200, "conflict": 412, "invalid": 400}
_UNCLEAR = 503


@attrs.define(eq=False)
class _Forward:
    """One operator's call until its answer."""

    http_id: int
    order: OperatorOrder
    message: object
    ends_at: float
    call_id: int = 0


class OperatorCalls(BaseComponent):
    """Serves the operators' listener of a core."""

    name = "operators"
    http_listeners = (LISTENER,)
    subscribes_to = (PrimaryKnown, ZonesCommitted)

    def __init__(self, dialect: ControlDialect, context: ProcessContext) -> None:
        self._dialect = dialect
        self._context = context
        self._primary = ""
        self._known_zones = ZERO_VERSION
        self._by_http: dict[int, _Forward] = {}
        self._by_call: dict[int, _Forward] = {}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        match event:
            case PrimaryKnown():
                self._primary = event.address
            case ZonesCommitted():
                self._known_zones = event.version
            case ev.HttpRequestArrived():
                return self._arrived(event, now)
            case ev.CallAnswered():
                return self._answered(event, now)
            case ev.CallFailed():
                return self._later(self._by_call.pop(event.call_id, None), now)
            case ev.TimerFired():
                forward = self._by_http.get(int(event.name.removeprefix(_TIMER_PREFIX)))
                return self._try(forward, now) if forward else []
            case ev.HttpRequestClosed():
                forward = self._by_http.pop(event.request_id, None)
                if forward is not None:
                    self._by_call.pop(forward.call_id, None)
        return []

    def _arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        order = self._dialect.read_order(event)
        if isinstance(order, BadOrder):
            return [_respond(event.request_id, order.status, {"error": order.message})]
        limit_s = ANSWER_LIMIT_S + len(event.body) / BYTES_PER_S
        forward = _Forward(event.request_id, order, self._message(order), now + limit_s)
        self._by_http[event.request_id] = forward
        return self._try(forward, now)

    def _message(self, order: OperatorOrder) -> object:
        match order:
            case SubmitOrder():
                return SubmitChangeRequest(
                    version=order.version,
                    digest=hashlib.sha256(order.body).hexdigest(),
                    body=order.body,
                    is_patch=order.is_patch,
                    base_version=order.base_version,
                    base_required=True,
                )
            case ZoneOrder():
                # A repeat is a new order with the same effect: zones are set, not toggled.
                operation_id = f"{self._context.incarnation}:{self._context.identifiers.next()}"
                return SetZoneRequest(order.zone, order.emptied, operation_id)
            case ReadOrder():
                return ReadConfigurationRequest(linearizable=True)
        raise AssertionError(f"unknown order {order!r}")

    def _try(self, forward: _Forward, now: float) -> list[fx.Effect]:
        if now >= forward.ends_at:
            return self._end(forward, _UNCLEAR, {"error": "no primary has answered"})
        if not self._primary:
            return self._later(forward, now)
        forward.call_id = self._context.identifiers.next()
        self._by_call[forward.call_id] = forward
        left_s = forward.ends_at - now
        if isinstance(forward.message, SetZoneRequest):
            forward.message = _resting_on(forward.message, self._known_zones)
        return [fx.Call(forward.call_id, self._primary, forward.message, left_s)]

    def _later(self, forward: _Forward | None, now: float) -> list[fx.Effect]:
        if forward is None:
            return []
        pause_s = max(min(RETRY_S, forward.ends_at - now), 0.0)
        return [fx.StartTimer(f"{_TIMER_PREFIX}{forward.http_id}", pause_s)]

    def _answered(self, event: ev.CallAnswered, now: float) -> list[fx.Effect]:
        forward = self._by_call.pop(event.call_id, None)
        if forward is None:
            return []
        answer = event.answer
        if isinstance(answer, ReadConfigurationAnswer):
            return self._read(forward, answer, now)
        status = _STATUS.get(answer.outcome)
        if status is None:  # another primary, or a fate that isn't known
            return self._later(forward, now)
        body = {"outcome": answer.outcome, "problems": answer.problems}
        return self._end(forward, status, body)

    def _read(
        self, forward: _Forward, answer: ReadConfigurationAnswer, now: float
    ) -> list[fx.Effect]:
        if not answer.ok:
            return self._later(forward, now)
        self._by_http.pop(forward.http_id, None)
        if not answer.configuration.version:
            return [_respond(forward.http_id, 503, {"error": "no configuration yet"})]
        body = self._dialect.write_configuration(answer.configuration.document)
        return [fx.HttpRespond(forward.http_id, 200, body, _JSON)]

    def _end(self, forward: _Forward, status: int, body: dict) -> list[fx.Effect]:
        self._by_http.pop(forward.http_id, None)
        return [_respond(forward.http_id, status, body)]


def _resting_on(order: SetZoneRequest, known_zones: VersionMark) -> SetZoneRequest:
    """Return the order with what this core knows now: one that arrives late is not taken."""
    return SetZoneRequest(order.zone, order.emptied, order.operation_id, known_zones)


def _respond(http_id: int, status: int, body: dict) -> fx.HttpRespond:
    return fx.HttpRespond(http_id, status, json.dumps(body).encode(), _JSON)
