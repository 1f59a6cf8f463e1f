"""The HTTP port: delivers requests as events, and executes the answers' effects."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any, cast

from tornado import httputil
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer

from rooklug.engine import effects as fx
from rooklug.engine.events import Event
from rooklug.model.constants import MAX_REQUEST_BODY_BYTES
from rooklug.runtime.http_exchange import HttpExchange, OpenExchanges

_IDLE_CONNECTION_S = 120.0
_BODY_LIMIT_S = 60.0
_MAX_HEADER_BYTES = 64 * 1024


ServerEffect = (
    fx.ReadRequestBody
    | fx.HttpRespond
    | fx.HttpStreamStart
    | fx.HttpStreamChunk
    | fx.HttpStreamEnd
    | fx.HttpStreamAbort
)
"""An effect that an HTTP port executes."""


class HttpPort(httputil.HTTPServerConnectionDelegate):
    """Accepts connections, and keeps the exchanges that are not answered yet."""

    def __init__(
        self,
        identifiers: Iterator[int],
        head_first_paths: tuple[str, ...],
        deliver: Callable[[Event], None],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self.exchanges = OpenExchanges(identifiers, head_first_paths, deliver, render_metrics)
        self._named: list[HTTPServer] = []
        self.server = _server(self)

    def listener(self, name: str) -> HTTPServer:
        """Return a server whose requests carry ``name``; the caller binds its sockets."""
        server = _server(_NamedListener(self.exchanges, name))
        self._named.append(server)
        return server

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Begin an exchange."""
        return HttpExchange(self.exchanges, cast(HTTP1Connection, request_conn))

    def on_close(self, server_conn: object) -> None:
        """A connection ended; its exchange has its own callback."""

    def execute(self, effect: ServerEffect) -> None:
        """Execute an answer's effect; those of a closed exchange are ignored."""
        exchange = self.exchanges.by_request_id.get(effect.request_id)
        if exchange is not None:
            _ACTION_BY_EFFECT[type(effect)](exchange, effect)

    def writable(self, request_id: int) -> asyncio.Future | None:
        """Return None, or what to await before more is fed to a streamed answer."""
        exchange = self.exchanges.by_request_id.get(request_id)
        return exchange.writable() if exchange is not None else None

    def stop(self) -> None:
        """Take no new connections."""
        for server in (self.server, *self._named):
            server.stop()

    async def flush(self, limit_s: float) -> None:
        """Wait until whole answers have been written, at most ``limit_s``."""
        written = [exchange.written for exchange in self.exchanges.finishing]
        waiting = [future for future in written if future is not None]
        if waiting:
            await asyncio.wait(waiting, timeout=limit_s)

    async def close(self) -> None:
        """Close every connection."""
        unfinished = [*self.exchanges.by_request_id.values(), *self.exchanges.lingering]
        for exchange in unfinished:
            exchange.abort()
        for server in (self.server, *self._named):
            await server.close_all_connections()


class _NamedListener(httputil.HTTPServerConnectionDelegate):
    """Begins the exchanges of one named listener."""

    def __init__(self, exchanges: OpenExchanges, name: str) -> None:
        self._exchanges = exchanges
        self._name = name

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Begin an exchange."""
        return HttpExchange(self._exchanges, cast(HTTP1Connection, request_conn), self._name)

    def on_close(self, server_conn: object) -> None:
        """A connection ended; its exchange has its own callback."""


def _server(delegate: httputil.HTTPServerConnectionDelegate) -> HTTPServer:
    return HTTPServer(
        delegate,
        idle_connection_timeout=_IDLE_CONNECTION_S,
        max_header_size=_MAX_HEADER_BYTES,
        # The exchange refuses larger bodies itself, with a typed error.
        max_body_size=4 * MAX_REQUEST_BODY_BYTES,
        body_timeout=_BODY_LIMIT_S,
    )


_ACTION_BY_EFFECT: dict[type, Callable[[HttpExchange, Any], None]] = {
    fx.ReadRequestBody: lambda exchange, effect: exchange.read_body(),
    fx.HttpRespond: lambda exchange, effect: exchange.respond(
        effect.status, effect.headers, effect.body
    ),
    fx.HttpStreamStart: lambda exchange, effect: exchange.start_stream(
        effect.status, effect.headers
    ),
    fx.HttpStreamChunk: lambda exchange, effect: exchange.send_chunk(effect.data),
    fx.HttpStreamEnd: lambda exchange, effect: exchange.end_stream(),
    fx.HttpStreamAbort: lambda exchange, effect: exchange.abort(),
}
SERVER_EFFECTS = tuple(_ACTION_BY_EFFECT)
"""The effects that an HTTP port executes."""
