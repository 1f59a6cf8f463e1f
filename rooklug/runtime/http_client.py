"""HTTP/1.1 client: executes outgoing calls over pooled connections."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPMethod
from typing import cast

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError

from rooklug.engine import events as ev
from rooklug.engine.effects import HttpCall
from rooklug.engine.reducer import MetricSample
from rooklug.runtime.addresses import ConnectError
from rooklug.runtime.http_pool import ClientStream, ConnectionPool, keep_alive_s
from rooklug.runtime.tasks import BackgroundTasks, LogWriter

MAX_ANSWER_BYTES = 16 * 1024 * 1024
_UNBOUNDED_BYTES = 1 << 62
_MAX_HEADER_BYTES = 64 * 1024
_READ_CHUNK_BYTES = 64 * 1024
_MAX_SKIPPED_RESPONSES = 8
_NO_BODY_STATUSES = (204, 304)
HTTP_OK = 200
_HEAD_METHOD = HTTPMethod.HEAD.value

Deliver = Callable[[ev.Event, Callable[[], bool]], Awaitable[None] | None]
"""Delivers an event of a call if its second argument returns True when the event's turn comes
(False: the call was cancelled). The awaitable, if any, is done once the receiver accepts more."""


class _ClientConnection(HTTP1Connection):
    """Passes on the body of a response without a length as it arrives, without a size limit."""

    def expect_further_response(self, start_line: httputil.RequestStartLine) -> None:
        """Prepare for reading one more response to a request that has already been written."""
        self._request_start_line = start_line
        self.finish()

    async def _read_body_until_close(self, delegate: httputil.HTTPMessageDelegate) -> None:
        while True:
            try:
                chunk = await self.stream.read_bytes(_READ_CHUNK_BYTES, partial=True)
            except StreamClosedError:
                return  # finish() checks stream.error: after a reset the body is incomplete
            taken = delegate.data_received(chunk)
            if taken is not None:
                await taken


class _ClientCall(httputil.HTTPMessageDelegate):
    """One call: sends the request and delivers the events of the response.

    Unless it is cancelled, the call ends with exactly one ``HttpAnswered``,
    ``HttpResponseCompleted`` or ``HttpFailed``.
    """

    def __init__(self, client: "HttpClient", effect: HttpCall) -> None:
        self.effect = effect
        self.task: asyncio.Task | None = None
        self._client = client
        self._send_state = ev.SendState.NOT_SENT
        self._stream: ClientStream | None = None
        self._finished = False
        self._cancelled = False
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._response_complete = False
        self._skipping = False
        self._skipped_responses = 0
        self._keep_alive = False
        self._timers = [client.loop.call_later(effect.deadline_s, self._fail, "deadline")]
        if effect.first_byte_deadline_s > 0:
            self._timers.append(
                client.loop.call_later(
                    effect.first_byte_deadline_s,
                    self._fail_without_answer,
                    "no response within the first-byte deadline",
                )
            )

    async def run(self) -> None:
        """Execute the call, from connecting to the end of the response; failures become events."""
        try:
            await self._attempt()
        except ConnectError as problem:
            self._end_with(self._failure(str(problem)))
        except Exception as problem:  # a bug: the call must still end with one event
            self._fail(f"internal error: {problem!r}")
            raise

    def cancel(self) -> None:
        """Close the connection; no further event is delivered."""
        self._cancelled = True
        self._mark_finished()
        self._close_connection()

    # Callbacks of the connection -----------------------------------------

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Record status and headers; informational (1xx) and foreign responses are ignored."""
        start_line = cast(httputil.ResponseStartLine, start_line)
        lowered = {name.lower(): value for name, value in headers.items()}
        self._skipping = self.effect.is_response_to_another(lowered)
        self._skipped_responses += self._skipping
        if self._skipping or start_line.code < HTTP_OK:
            return None
        self._send_state = ev.SendState.RESPONDING
        self._status = start_line.code
        self._headers = lowered
        self._keep_alive = (
            start_line.version == "HTTP/1.1"
            and self._headers.get("connection", "").lower() != "close"
            and not self._skipped_responses
            and self.effect.is_identified_by(lowered)
        )
        if not self.effect.streaming:
            return None
        call_id = self.effect.call_id
        return self._deliver(ev.HttpResponseStarted(call_id, self._status, self._headers))

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Deliver a chunk of a streaming response, or buffer it until the response is complete."""
        if self._skipping:
            return None
        if self.effect.streaming:
            return self._deliver(ev.HttpBodyChunk(self.effect.call_id, chunk))
        self._body.append(chunk)
        return None

    def finish(self) -> None:
        """End the call if the response is complete.

        A response without a length is complete only if the server closed the connection without
        an error. The end of a skipped response is ignored.
        """
        if self._skipping:
            return
        framed = (
            "content-length" in self._headers
            or "transfer-encoding" in self._headers
            or self._status in _NO_BODY_STATUSES
            or self.effect.method == _HEAD_METHOD
        )
        self._keep_alive = self._keep_alive and framed
        stream = self._connected_stream
        self._response_complete = framed or (stream.closed() and stream.error is None)
        if not self._response_complete:
            return
        self._end_with(self._success())
        if stream.writing():  # the response is complete before the request was fully sent
            stream.close()

    def on_connection_close(self) -> None:
        """Do nothing: ``_end_exchange`` fails the call if its response is incomplete."""

    # ---------------------------------------------------------------------

    async def _attempt(self) -> None:
        effect = self.effect
        stream = await self._client.pool.acquire(
            effect.address, effect.connect_deadline_s, effect.echoed_id
        )
        self._stream = stream
        if self._is_too_late():
            self._client.pool.release(effect.address, stream)
            self._end_with(self._failure("not sent: past its not_after time"))
            return
        try:
            await self._exchange(stream)
        except (StreamClosedError, httputil.HTTPInputError, ValueError) as problem:
            self._fail(str(problem))
        self._end_exchange()

    async def _exchange(self, stream: ClientStream) -> None:
        effect = self.effect
        connection = self._connection_on(stream)
        headers = httputil.HTTPHeaders(effect.headers)
        headers.setdefault("host", effect.address)
        if effect.body or effect.method not in ("GET", _HEAD_METHOD):
            headers["content-length"] = str(len(effect.body))
        start_line = httputil.RequestStartLine(effect.method, effect.path, "HTTP/1.1")
        if stream.closed():
            raise StreamClosedError
        stream.set_nodelay(True)
        self._send_state = ev.SendState.MAYBE_SENT
        connection.write_headers(start_line, headers, effect.body)
        connection.finish()
        await connection.read_response(self)
        while self._skipping and not stream.closed():
            await self._read_past_skipped(stream, start_line)

    async def _read_past_skipped(
        self, stream: ClientStream, start_line: httputil.RequestStartLine
    ) -> None:
        """Read the response that follows one that belongs to an earlier request."""
        if self._skipped_responses > _MAX_SKIPPED_RESPONSES:
            raise httputil.HTTPInputError("too many responses to other requests")
        connection = self._connection_on(stream)
        connection.expect_further_response(start_line)
        await connection.read_response(self)

    def _connection_on(self, stream: ClientStream) -> _ClientConnection:
        bound = _UNBOUNDED_BYTES if self.effect.streaming else MAX_ANSWER_BYTES
        parameters = HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER_BYTES, max_body_size=bound
        )
        return _ClientConnection(stream, is_client=True, params=parameters)

    def _end_exchange(self) -> None:
        self._client.skipped_responses += self._skipped_responses
        if not self._response_complete:
            self._fail("connection closed before the response was complete")
        elif self._keep_alive and not self._cancelled:
            idle_s = keep_alive_s(self._headers.get("keep-alive", ""))
            self._client.pool.release(self.effect.address, self._connected_stream, idle_s)
        else:
            self._close_connection()

    @property
    def _connected_stream(self) -> ClientStream:
        if self._stream is None:
            raise ConnectError("the call is not connected yet")
        return self._stream

    def _failure(self, reason: str) -> ev.Event:
        return ev.HttpFailed(self.effect.call_id, reason, self._send_state)

    def _success(self) -> ev.Event:
        call_id = self.effect.call_id
        if self.effect.streaming:
            return ev.HttpResponseCompleted(call_id)
        return ev.HttpAnswered(call_id, self._status, self._headers, b"".join(self._body))

    def _is_too_late(self) -> bool:
        not_after = self.effect.not_after
        return not_after is not None and self._client.loop.time() > not_after

    def _fail_without_answer(self, reason: str) -> None:
        if self._send_state is not ev.SendState.RESPONDING:
            self._fail(reason)

    def _fail(self, reason: str) -> None:
        self._end_with(self._failure(reason))
        self._close_connection()

    def _end_with(self, event: ev.Event) -> None:
        if self._finished:
            return
        self._mark_finished()
        self._deliver(event)

    def _mark_finished(self) -> None:
        self._finished = True
        for timer in self._timers:
            timer.cancel()
        self._client.calls.pop(self.effect.call_id, None)

    def _close_connection(self) -> None:
        if self._stream is not None:
            self._stream.close()
        elif self.task is not None:
            self.task.cancel()

    def _deliver(self, event: ev.Event) -> Awaitable[None] | None:
        return self._client.deliver(event, lambda: not self._cancelled)


class HttpClient:
    """Executes ``HttpCall`` and ``CancelHttpCall``; each call runs as a task of its own."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bind_ip: str,
        deliver: Deliver,
        log: LogWriter,
    ) -> None:
        self.loop = loop
        self.deliver = deliver
        self.pool = ConnectionPool(loop, bind_ip)
        self.calls: dict[int, _ClientCall] = {}
        self.skipped_responses = 0
        self._tasks = BackgroundTasks(loop, log)

    def start(self, effect: HttpCall) -> None:
        """Start a call; its events carry the effect's ``call_id``."""
        call = _ClientCall(self, effect)
        self.calls[effect.call_id] = call
        call.task = self._tasks.start(call.run())

    def cancel(self, call_id: int) -> None:
        """Cancel a call and close its connection; unknown ids are ignored."""
        call = self.calls.get(call_id)
        if call is not None:
            call.cancel()

    def samples(self) -> list[MetricSample]:
        """Return how many responses belonged to other requests than the one in flight."""
        return [
            MetricSample(
                "rooklug_http_skipped_responses",
                float(self.skipped_responses),
                "counter",
                "Responses of servers that belonged to another request",
            )
        ]

    def close(self) -> None:
        """Cancel every call and close the pooled connections."""
        for call in list(self.calls.values()):
            call.cancel()
        self.pool.close()
