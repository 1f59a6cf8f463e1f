"""Handles responses of replicas: complete ones, streams and failed calls."""

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front.outcomes import AttemptOutcome
from rooklug.gateway.event_stream import complete_length, last_event_id
from rooklug.gateway.proxied_request import ProxiedRequest, ResponseState
from rooklug.gateway.replica_call import (
    BAD_REQUEST_STATUS,
    REPLACED_STATUS,
    Promise,
    promise_of,
)
from rooklug.gateway.request_forwarder import (
    MIN_TIME_TO_SEND_S,
    RETRY_AFTER_FULL_S,
    RequestForwarder,
)

FIRST_SERVER_ERROR_STATUS = 500
MAX_UNSENT_ATTEMPTS = 4
"""Maximum number of replicas tried for one request when connections can't be established."""
MAX_ERROR_BODY_BYTES = 1024 * 1024
"""An unsuccessful response is buffered until it is complete; a longer one counts as broken."""


class ResponseHandler:
    """Decides for each response whether to forward it, retry the request, or give up.

    Events of calls that have already been cancelled or ended are ignored.
    """

    def __init__(self, forwarder: RequestForwarder) -> None:
        self._forwarder = forwarder

    def on_answered(self, event: ev.HttpAnswered, now: float) -> list[fx.Effect]:
        """Handle a complete response of a call that is not streamed."""
        proxied = self._forwarder.by_call.pop(event.call_id, None)
        if proxied is None:
            return []
        return self._handle_complete_response(proxied, event.status, event.headers, event.body, now)

    def on_response_started(self, event: ev.HttpResponseStarted, now: float) -> list[fx.Effect]:
        """Handle the status and headers of a streamed response."""
        proxied = self._forwarder.by_call.get(event.call_id)
        if proxied is None:
            return []
        self._record_response(proxied, event.call_id, now)
        proxied.status = event.status
        proxied.headers = event.headers
        proxied.error_body = []
        if not proxied.is_success:
            return []
        promise = promise_of(proxied, event.status, event.headers, self._forwarder.names)
        if promise is not Promise.ANSWER:
            cancel = self._forwarder.cancel_call(event.call_id)
            return [cancel, *self._retry_without_answer(proxied, promise, now)]
        if proxied.response_state is ResponseState.STREAMING:
            return []  # the client already has the headers of the first replica
        proxied.response_state = ResponseState.STREAMING
        headers = self._forwarder.answers.headers(event.headers)
        return [fx.HttpStreamStart(proxied.request.http_id, event.status, headers)]

    def on_body_chunk(self, event: ev.HttpBodyChunk, now: float) -> list[fx.Effect]:
        """Handle bytes of a streamed response; only complete events are forwarded."""
        proxied = self._forwarder.by_call.get(event.call_id)
        if proxied is None:
            return []
        if not proxied.is_success:
            return self._buffer_error_chunk(proxied, event, now)
        self._record_response(proxied, event.call_id, now)
        data = proxied.incomplete_event + event.data
        length = complete_length(data)
        proxied.incomplete_event = data[length:]
        if not length:
            return []
        events = data[:length]
        proxied.last_event_id = last_event_id(events) or proxied.last_event_id
        return [fx.HttpStreamChunk(proxied.request.http_id, events)]

    def on_response_completed(self, event: ev.HttpResponseCompleted, now: float) -> list[fx.Effect]:
        """Handle the end of a streamed response; one that ends within an event is broken."""
        proxied = self._forwarder.by_call.pop(event.call_id, None)
        if proxied is None:
            return []
        if not proxied.is_success:
            body = b"".join(proxied.error_body)
            return self._handle_complete_response(
                proxied, proxied.status, proxied.headers, body, now
            )
        if proxied.incomplete_event:
            self._forwarder.record_end(proxied, AttemptOutcome.BROKEN, now)
            return self._forwarder.resume_stream(proxied, now)
        self._forwarder.record_end(proxied, AttemptOutcome.SUCCESS, now)
        return self._forwarder.end_stream(proxied)

    def on_failed(self, event: ev.HttpFailed, now: float) -> list[fx.Effect]:
        """Handle a failed call: retry or resume if the route allows it."""
        proxied = self._forwarder.by_call.pop(event.call_id, None)
        if proxied is None:
            return []
        if event.send_state is ev.SendState.NOT_SENT:
            return self._retry_unsent(proxied, now)
        outcome = AttemptOutcome.BROKEN
        if proxied.remaining_s(now) <= MIN_TIME_TO_SEND_S:
            outcome = AttemptOutcome.TIMED_OUT
        elif event.send_state is ev.SendState.MAYBE_SENT:
            outcome = AttemptOutcome.RESET
        self._forwarder.record_end(proxied, outcome, now)
        proxied.may_have_run = True
        if proxied.response_state is ResponseState.STREAMING:
            return self._forwarder.resume_stream(proxied, now)
        return self._forwarder.retry(proxied, now)

    def _retry_unsent(self, proxied: ProxiedRequest, now: float) -> list[fx.Effect]:
        """Try another replica after a failure to connect, which uses up no attempt."""
        self._forwarder.record_end(proxied, AttemptOutcome.CONNECT_FAILED, now)
        proxied.executions -= 1
        proxied.sends -= 1
        if len(proxied.tried) >= MAX_UNSENT_ATTEMPTS:
            return self._forwarder.give_up(proxied, now, RETRY_AFTER_FULL_S)
        if proxied.sends:
            return self._forwarder.retry(proxied, now)
        return self._forwarder.send(proxied, now)

    def _handle_complete_response(
        self,
        proxied: ProxiedRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
        now: float,
    ) -> list[fx.Effect]:
        promise = promise_of(proxied, status, headers, self._forwarder.names)
        if promise is Promise.NOT_EXECUTED:
            self._forwarder.record_end(proxied, None, now)
            return self._retry_not_executed(proxied, status, headers, body, now)
        if promise is not Promise.ANSWER:
            return self._retry_without_answer(proxied, promise, now)
        is_server_error = status >= FIRST_SERVER_ERROR_STATUS
        outcome = AttemptOutcome.BROKEN if is_server_error else AttemptOutcome.SUCCESS
        self._forwarder.record_end(proxied, outcome, now)
        return self._forwarder.respond(proxied, status, headers, body)

    def _retry_not_executed(
        self,
        proxied: ProxiedRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
        now: float,
    ) -> list[fx.Effect]:
        """Retry a request that a replica rejected unexecuted, unless the request is malformed."""
        if status == BAD_REQUEST_STATUS:
            return self._forwarder.respond(proxied, status, headers, body)
        if status == REPLACED_STATUS:
            # Another replica has taken over the address. The send counts against the retry
            # budget, but not against the route's maximum number of replicas.
            proxied.executions -= 1
            self._forwarder.decision.traffic.record_address_mismatch(proxied.sent_to)
        return self._forwarder.retry(proxied, now)

    def _retry_without_answer(
        self, proxied: ProxiedRequest, promise: Promise, now: float
    ) -> list[fx.Effect]:
        """Retry if the request may run twice; another's response says nothing of the replica."""
        outcome = None if promise is Promise.FOREIGN else AttemptOutcome.BROKEN
        self._forwarder.record_end(proxied, outcome, now)
        proxied.may_have_run = True
        return self._forwarder.retry(proxied, now)

    def _buffer_error_chunk(
        self, proxied: ProxiedRequest, event: ev.HttpBodyChunk, now: float
    ) -> list[fx.Effect]:
        proxied.error_body.append(event.data)
        if sum(len(chunk) for chunk in proxied.error_body) <= MAX_ERROR_BODY_BYTES:
            return []
        cancel = self._forwarder.cancel_call(event.call_id)
        self._forwarder.record_end(proxied, AttemptOutcome.BROKEN, now)
        return [cancel, *self._forwarder.resume_stream(proxied, now)]

    def _record_response(self, proxied: ProxiedRequest, call_id: int, now: float) -> None:
        self._forwarder.decision.traffic.record_response(call_id, proxied.sent_to, now)
        proxied.last_response_at = now
