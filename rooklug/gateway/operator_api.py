"""The operators' API of a core: the protocol parses calls, which are forwarded to the primary.

A response given without the primary's answer is never a rejection, since the change may have been
committed. A caller that gets 503 sends the same call again, to any node; the primary recognizes a
repeated configuration change by its version and digest.
"""

import hashlib
import json
from collections.abc import Iterable

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.gateway.input_reader import InputReader
from rooklug.gateway.protocols import (
    BadCall,
    DrainZone,
    OperatorCall,
    OperatorProtocol,
    ReadConfiguration,
    SubmitConfiguration,
)
from rooklug.model.internal_events import PrimaryChanged, ZonesCommitted
from rooklug.model.versions import ZERO_VERSION
from rooklug.wire.generated.control.ttypes import (
    ReadConfigurationAnswer,
    ReadConfigurationRequest,
    SetZoneRequest,
    SubmitChangeRequest,
    VersionMark,
)

LISTENER = "operators"
ANSWER_TIMEOUT_S = 0.9
"""An operator's client moves to another node after 1 s without a response."""
BYTES_PER_S = 1_000_000
"""The time-out of a call grows by 1 s per this many bytes of its body: long documents take time to
be sent, checked and synced to disk."""
RETRY_INTERVAL_S = 0.1
_TIMER_PREFIX = "retry:"
_JSON = {"content-type": "application/json"}
_STATUS_OF_OUTCOME = {"accepted": 200, "conflict": 412, "invalid": 400}
_UNKNOWN_OUTCOME_STATUS = 503


@attrs.define(eq=False)
class _ForwardedCall:
    """An operator's call that has not been answered. ``deadline`` is in monotonic seconds."""

    http_id: int
    message: object
    deadline: float
    call_id: int = 0


class GatewayOperatorApi(BaseComponent):
    """Serves the operators' listener of a core and retries each call until its deadline."""

    name = "operators"
    http_listeners = (LISTENER,)
    subscribes_to = (PrimaryChanged, ZonesCommitted)

    def __init__(self, protocol: OperatorProtocol, context: ProcessContext) -> None:
        self._write_configuration = protocol.write_configuration
        self._calls: InputReader[OperatorCall] = InputReader(
            "operator's call", protocol.read_call, BadCall(400, "the call can't be read")
        )
        self._context = context
        self._primary = ""
        self._known_zones = ZERO_VERSION
        self._by_http: dict[int, _ForwardedCall] = {}
        self._by_call: dict[int, _ForwardedCall] = {}

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return how many calls could not be read because of a bug."""
        return self._calls.metrics()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle an operator's call, the primary's answer, a retry timer or a disconnect."""
        match event:
            case PrimaryChanged():
                self._primary = event.address
            case ZonesCommitted():
                self._known_zones = event.version
            case ev.HttpRequestArrived():
                return self._on_request_arrived(event, now)
            case ev.CallAnswered():
                return self._on_answered(event, now)
            case ev.CallFailed():
                return self._schedule_retry(self._by_call.pop(event.call_id, None), now)
            case ev.TimerFired():
                forwarded = self._by_http.get(int(event.name.removeprefix(_TIMER_PREFIX)))
                return self._send_to_primary(forwarded, now) if forwarded else []
            case ev.HttpRequestClosed():
                forwarded = self._by_http.pop(event.request_id, None)
                if forwarded is not None:
                    self._by_call.pop(forwarded.call_id, None)
        return []

    def _on_request_arrived(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        call = self._calls.read(event)
        if isinstance(call, BadCall):
            respond = _respond(event.request_id, call.status, {"error": call.message})
            return [*self._calls.take_logs(), respond]
        timeout_s = ANSWER_TIMEOUT_S + len(event.body) / BYTES_PER_S
        forwarded = _ForwardedCall(event.request_id, self._message(call), now + timeout_s)
        self._by_http[event.request_id] = forwarded
        return self._send_to_primary(forwarded, now)

    def _message(self, call: OperatorCall) -> object:
        match call:
            case SubmitConfiguration():
                return SubmitChangeRequest(
                    version=call.version,
                    digest=hashlib.sha256(call.body).hexdigest(),
                    body=call.body,
                    is_patch=call.is_patch,
                    base_version=call.base_version,
                    base_required=True,
                )
            case DrainZone():
                # A retry by the client is a new operation. It has the same effect, because zones
                # are set and not toggled.
                operation_id = f"{self._context.incarnation}:{self._context.identifiers.next()}"
                return SetZoneRequest(call.zone, call.drained, operation_id)
            case ReadConfiguration():
                return ReadConfigurationRequest(linearizable=True)
        raise AssertionError(f"unknown call {call!r}")

    def _send_to_primary(self, forwarded: _ForwardedCall, now: float) -> list[fx.Effect]:
        if now >= forwarded.deadline:
            return self._finish(
                forwarded, _UNKNOWN_OUTCOME_STATUS, {"error": "no primary has answered"}
            )
        if not self._primary:
            return self._schedule_retry(forwarded, now)
        forwarded.call_id = self._context.identifiers.next()
        self._by_call[forwarded.call_id] = forwarded
        remaining_s = forwarded.deadline - now
        if isinstance(forwarded.message, SetZoneRequest):
            forwarded.message = _with_known_zones(forwarded.message, self._known_zones)
        return [fx.Call(forwarded.call_id, self._primary, forwarded.message, remaining_s)]

    def _schedule_retry(self, forwarded: _ForwardedCall | None, now: float) -> list[fx.Effect]:
        if forwarded is None:
            return []
        delay_s = max(min(RETRY_INTERVAL_S, forwarded.deadline - now), 0.0)
        return [fx.StartTimer(f"{_TIMER_PREFIX}{forwarded.http_id}", delay_s)]

    def _on_answered(self, event: ev.CallAnswered, now: float) -> list[fx.Effect]:
        forwarded = self._by_call.pop(event.call_id, None)
        if forwarded is None:
            return []
        answer = event.answer
        if isinstance(answer, ReadConfigurationAnswer):
            return self._respond_with_configuration(forwarded, answer, now)
        status = _STATUS_OF_OUTCOME.get(answer.outcome)
        if status is None:  # not the primary any more, or the outcome is unknown
            return self._schedule_retry(forwarded, now)
        body = {"outcome": answer.outcome, "problems": answer.problems}
        return self._finish(forwarded, status, body)

    def _respond_with_configuration(
        self, forwarded: _ForwardedCall, answer: ReadConfigurationAnswer, now: float
    ) -> list[fx.Effect]:
        if not answer.ok:
            return self._schedule_retry(forwarded, now)
        self._by_http.pop(forwarded.http_id, None)
        if not answer.configuration.version:
            return [_respond(forwarded.http_id, 503, {"error": "no configuration yet"})]
        body = self._write_configuration(answer.configuration.document)
        return [fx.HttpRespond(forwarded.http_id, 200, body, _JSON)]

    def _finish(self, forwarded: _ForwardedCall, status: int, body: dict) -> list[fx.Effect]:
        self._by_http.pop(forwarded.http_id, None)
        return [_respond(forwarded.http_id, status, body)]


def _with_known_zones(request: SetZoneRequest, known_zones: VersionMark) -> SetZoneRequest:
    """Return the request with the version of the zones known now; the primary rejects old ones."""
    return SetZoneRequest(request.zone, request.emptied, request.operation_id, known_zones)


def _respond(http_id: int, status: int, body: dict) -> fx.HttpRespond:
    return fx.HttpRespond(http_id, status, json.dumps(body).encode(), _JSON)
