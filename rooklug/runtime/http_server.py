"""The HTTP server: delivers requests as events and executes the effects that answer them."""

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

_IDLE_CONNECTION_TIMEOUT_S = 120.0
_BODY_TIMEOUT_S = 60.0
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
    """Accepts connections on the main and the named listeners and tracks their exchanges."""

    def __init__(
        self,
        identifiers: Iterator[int],
        head_first_paths: tuple[str, ...],
        deliver: Callable[[Event], None],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self.exchanges = OpenExchanges(identifiers, head_first_paths, deliver, render_metrics)
        self._named_servers: list[HTTPServer] = []
        self.server = _make_server(self)

    def listener(self, name: str) -> HTTPServer:
        """Return a new server whose requests have ``listener`` ``name``; the caller binds it."""
        server = _make_server(_NamedListener(self.exchanges, name))
        self._named_servers.append(server)
        return server

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Start an exchange for a request to the main listener."""
        return HttpExchange(self.exchanges, cast(HTTP1Connection, request_conn))

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the exchange itself is called back when its connection closes."""

    def execute(self, effect: ServerEffect) -> None:
        """Execute an effect on its exchange; ignored if the exchange is already closed."""
        exchange = self.exchanges.by_request_id.get(effect.request_id)
        if exchange is not None:
            _ACTION_BY_EFFECT[type(effect)](exchange, effect)

    def writable(self, request_id: int) -> asyncio.Future | None:
        """Return None, or a future to await before sending more of a streamed response."""
        exchange = self.exchanges.by_request_id.get(request_id)
        return exchange.writable() if exchange is not None else None

    def stop(self) -> None:
        """Stop accepting connections; open ones continue."""
        for server in (self.server, *self._named_servers):
            server.stop()

    async def flush(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds until the complete responses have been written."""
        written = [exchange.written for exchange in self.exchanges.finishing]
        waiting = [future for future in written if future is not None]
        if waiting:
            await asyncio.wait(waiting, timeout=timeout_s)

    async def close(self) -> None:
        """Abort the open exchanges and close every connection."""
        unfinished = [*self.exchanges.by_request_id.values(), *self.exchanges.lingering]
        for exchange in unfinished:
            exchange.abort()
        for server in (self.server, *self._named_servers):
            await server.close_all_connections()


class _NamedListener(httputil.HTTPServerConnectionDelegate):
    """Starts the exchanges of one named listener."""

    def __init__(self, exchanges: OpenExchanges, name: str) -> None:
        self._exchanges = exchanges
        self._name = name

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Start an exchange whose request carries the listener's name."""
        return HttpExchange(self._exchanges, cast(HTTP1Connection, request_conn), self._name)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: the exchange itself is called back when its connection closes."""


def _make_server(delegate: httputil.HTTPServerConnectionDelegate) -> HTTPServer:
    return HTTPServer(
        delegate,
        idle_connection_timeout=_IDLE_CONNECTION_TIMEOUT_S,
        max_header_size=_MAX_HEADER_BYTES,
        # Above the exchange's own limit, so that the exchange can answer with a typed error.
        max_body_size=4 * MAX_REQUEST_BODY_BYTES,
        body_timeout=_BODY_TIMEOUT_S,
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
"""The effect types that an HTTP port executes."""
