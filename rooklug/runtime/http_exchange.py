"""One HTTP exchange at the server: a request and its response."""

import asyncio
import json
import socket
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from http.client import responses
from typing import cast
from urllib.parse import parse_qsl

import attrs
from tornado import httputil
from tornado.http1connection import HTTP1Connection

from rooklug.engine.events import Event, HttpRequestArrived, HttpRequestBody, HttpRequestClosed
from rooklug.model.constants import MAX_REQUEST_BODY_BYTES
from rooklug.runtime.metrics import CONTENT_TYPE

HTTP_OK = 200
HTTP_TOO_LARGE = 413

METRICS_PATH = "/metrics"
_DISCARDED_BODY_BYTES = 64 * 1024
_DISCARD_BODY_TIMEOUT_S = 2.0
_LINGER_S = 1.0
_HIGH_WATERMARK_BYTES = 256 * 1024
"""Above this many unsent bytes, the producer of a stream should wait (backpressure)."""
_MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""Above this many unsent bytes, the caller's connection is closed to bound memory."""


@attrs.define(eq=False)
class OpenExchanges:
    """State that the exchanges of one HTTP port share.

    ``by_request_id`` holds the exchanges without a complete response; ``finishing`` those whose
    response is complete but not fully written; ``lingering`` those answered before the request
    was read, whose connection is closed a little later.
    """

    identifiers: Iterator[int]
    head_first_paths: tuple[str, ...]
    deliver: Callable[[Event], None]
    render_metrics: Callable[[], bytes]
    by_request_id: dict[int, "HttpExchange"] = attrs.field(factory=dict)
    finishing: set["HttpExchange"] = attrs.field(factory=set)
    lingering: set["HttpExchange"] = attrs.field(factory=set)


class HttpExchange(httputil.HTTPMessageDelegate):
    """Reads a request, delivers its events and writes the reducer's response.

    ``unsent_bytes`` of a streamed response are buffered until the caller reads them. ``written``
    is done once the complete response has been written; it is None before its last part is sent.
    """

    def __init__(
        self, exchanges: OpenExchanges, connection: HTTP1Connection, listener: str = ""
    ) -> None:
        self._listener = listener
        self.unsent_bytes = 0
        self.written: asyncio.Future | None = None
        self._exchanges = exchanges
        self._connection = connection
        self._request_id = 0
        self._start_line: httputil.RequestStartLine  # both are set by headers_received
        self._headers: httputil.HTTPHeaders
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_first = False
        self._body_requested: asyncio.Future | None = None
        self._read_finished = False
        self._answered = False
        self._discarding = False
        self._unsent: deque[bytes] = deque()
        self._writing = False
        self._writing_bytes = 0
        self._ending = False
        self._writable_waiters: list[asyncio.Future] = []

    # Callbacks of the connection -----------------------------------------

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Handle the head of a request; the body is not read before the returned future is done."""
        self._start_line = cast(httputil.RequestStartLine, start_line)
        self._headers = headers
        self._request_id = next(self._exchanges.identifiers)
        self._exchanges.by_request_id[self._request_id] = self
        if self._announced_length() > MAX_REQUEST_BODY_BYTES:
            self._body_requested = asyncio.get_running_loop().create_future()
            self._reject_large_body()
            return self._body_requested
        path = self._start_line.path.partition("?")[0]
        if self._listener or not path.startswith(self._exchanges.head_first_paths):
            return None
        self._head_first = True
        self._body_requested = asyncio.get_running_loop().create_future()
        self._exchanges.deliver(self._arrival_event(b"", body_withheld=True))
        return self._body_requested

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body; one that exceeds the limit is answered with 413."""
        if self._discarding or self._answered:
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > MAX_REQUEST_BODY_BYTES:
            self._reject_large_body()
            return
        self._body.append(chunk)

    def finish(self) -> None:
        """Deliver the complete request; ``/metrics`` on the main listener is answered here."""
        self._read_finished = True
        if self._discarding:
            self._connection.finish()
            return
        if self._answered:
            return
        self._connection.set_close_callback(self.on_connection_close)
        body = b"".join(self._body)
        self._body.clear()
        if self._head_first:
            self._exchanges.deliver(HttpRequestBody(self._request_id, body))
        elif not self._listener and self._start_line.path.partition("?")[0] == METRICS_PATH:
            self.respond(HTTP_OK, {"content-type": CONTENT_TYPE}, self._exchanges.render_metrics())
        else:
            self._exchanges.deliver(self._arrival_event(body, body_withheld=False))

    def on_connection_close(self) -> None:
        """Deliver ``HttpRequestClosed`` unless the request was already answered."""
        self._exchanges.finishing.discard(self)
        if not self._close_exchange() or self._answered:
            return
        self._answered = True
        self._exchanges.deliver(HttpRequestClosed(self._request_id))

    # Effects of the reducer -----------------------------------------------

    def read_body(self) -> None:
        """Resume reading a request whose body was withheld."""
        if self._body_requested is not None and not self._body_requested.done():
            self._body_requested.set_result(None)

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete response; ignored if the request was already answered."""
        if self._answered:
            return
        self._answered = True
        self._close_exchange()
        lines = _header_lines(headers, "application/json")
        lines["content-length"] = str(len(body))
        if self._read_finished:
            self._write_head(status, lines, body)
            self._connection.finish()
        elif self._announced_length() <= _DISCARDED_BODY_BYTES and not self._is_chunked():
            self._discard_body(status, lines, body)
        else:
            self._answer_and_linger(status, lines, body)

    def start_stream(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers of a chunked response."""
        self._write_head(status, _header_lines(headers, "application/x-ndjson"), None)

    def send_chunk(self, data: bytes) -> None:
        """Queue one chunk; the connection is closed if too many bytes are unsent."""
        if not data or self._ending:
            return
        self._unsent.append(data)
        self.unsent_bytes += len(data)
        if self.unsent_bytes > _MAX_UNSENT_BYTES:
            self._connection.close()
            self.on_connection_close()
            return
        self._write_unsent()

    def end_stream(self) -> None:
        """Send the final chunk once the queued ones have been written."""
        self._ending = True
        self._finish_with(asyncio.get_running_loop().create_future())
        self._write_unsent()

    def writable(self) -> asyncio.Future | None:
        """Return None if more can be sent now, else a future that is done once it can."""
        if self.unsent_bytes <= _HIGH_WATERMARK_BYTES:
            return None
        waiter = asyncio.get_running_loop().create_future()
        self._writable_waiters.append(waiter)
        return waiter

    def abort(self) -> None:
        """Close the connection at once; a streamed response stays without its final chunk."""
        self._answered = True
        self._exchanges.lingering.discard(self)
        self._unsent.clear()
        self._close_exchange()
        self._connection.close()
        self.read_body()

    # ---------------------------------------------------------------------

    def _announced_length(self) -> int:
        text = self._headers.get("content-length", "0")
        return int(text) if text.isascii() and text.isdigit() and len(text) < 16 else 0

    def _is_chunked(self) -> bool:
        return "transfer-encoding" in self._headers

    def _arrival_event(self, body: bytes, *, body_withheld: bool) -> HttpRequestArrived:
        path, _, query = self._start_line.path.partition("?")
        return HttpRequestArrived(
            request_id=self._request_id,
            method=self._start_line.method,
            path=path,
            query=dict(parse_qsl(query, keep_blank_values=True)),
            headers={name.lower(): value for name, value in self._headers.items()},
            body=body,
            body_withheld=body_withheld,
            remote_address=str(self._connection.context),
            target=self._start_line.path,
            listener=self._listener,
        )

    def _write_head(
        self, status: int, headers: httputil.HTTPHeaders, body: bytes | None
    ) -> asyncio.Future:
        line = httputil.ResponseStartLine("HTTP/1.1", status, responses.get(status, "Unknown"))
        if self._start_line.method == "HEAD":
            body = None
        written = self._connection.write_headers(line, headers, body)
        if self._answered:
            self._finish_with(written)
        return written

    def _finish_with(self, written: asyncio.Future) -> None:
        """Set ``written`` to the future that is done once the complete response is written."""
        self.written = written
        if not written.done():
            self._exchanges.finishing.add(self)
            written.add_done_callback(lambda _: self._exchanges.finishing.discard(self))

    def _write_unsent(self) -> None:
        while self._unsent and not self._writing:
            data = self._unsent.popleft()
            written = self._connection.write(data)
            if written.done():
                self.unsent_bytes -= len(data)
                continue
            self._writing = True
            self._writing_bytes = len(data)
            written.add_done_callback(self._on_written)
        if self._ending and not self._unsent and not self._writing and not self._answered:
            self._answered = True
            self._close_exchange()
            self._connection.finish()

    def _on_written(self, _written: asyncio.Future) -> None:
        self._writing = False
        self.unsent_bytes -= self._writing_bytes
        self._write_unsent()
        if self.unsent_bytes <= _HIGH_WATERMARK_BYTES:
            self._release_waiters()

    def _release_waiters(self) -> None:
        waiters, self._writable_waiters = self._writable_waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _close_exchange(self) -> bool:
        """Close the exchange; return whether it was still open."""
        self._release_waiters()
        if self._ending and self.written is not None and not self.written.done():
            self.written.set_result(None)
        return self._exchanges.by_request_id.pop(self._request_id, None) is not None

    def _reject_large_body(self) -> None:
        message = f"the body is larger than {MAX_REQUEST_BODY_BYTES} bytes"
        error = {"error": {"code": "too_large", "message": message}}
        self.respond(HTTP_TOO_LARGE, {}, json.dumps(error).encode())

    def _discard_body(self, status: int, headers: httputil.HTTPHeaders, body: bytes) -> None:
        """Respond, then read and discard a small body, so that the connection can be reused."""
        self._discarding = True
        self._connection.set_body_timeout(_DISCARD_BODY_TIMEOUT_S)
        self._write_head(status, headers, body)
        self.read_body()

    def _answer_and_linger(self, status: int, headers: httputil.HTTPHeaders, body: bytes) -> None:
        """Respond, then close the connection after ``_LINGER_S``.

        Closing a socket with unread bytes sends a reset, which can discard the response before
        the caller has read it.
        """
        headers["connection"] = "close"
        written = self._write_head(status, headers, body)
        written.add_done_callback(self._shut_down_writing)
        self._exchanges.lingering.add(self)
        asyncio.get_running_loop().call_later(_LINGER_S, self.abort)

    def _shut_down_writing(self, _written: asyncio.Future) -> None:
        stream = self._connection.stream
        if not stream.closed():
            stream.socket.shutdown(socket.SHUT_WR)


def _header_lines(headers: dict[str, str], content_type: str) -> httputil.HTTPHeaders:
    lines = httputil.HTTPHeaders(headers)
    if "content-type" not in lines:
        lines["content-type"] = content_type
    return lines
