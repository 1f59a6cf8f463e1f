"""The HTTP port: delivers requests as events, obeys the answers."""

import asyncio
from collections.abc import Callable, Iterator

from tornado import httputil
from tornado.httpserver import HTTPServer

from rooklug.engine import effects as fx
from rooklug.engine.events import Event
from rooklug.model.constants import MAX_REQUEST_BODY_BYTES
from rooklug.runtime.http_exchange import HttpExchange

_IDLE_CONNECTION_S = 120.0
_BODY_LIMIT_S = 60.0
_MAX_HEADER_BYTES = 64 * 1024


class HttpPort(httputil.HTTPServerConnectionDelegate):
    """Accepts connections and keeps the exchanges that are not answered yet."""

    def __init__(
        self,
        identifiers: Iterator[int],
        head_first_paths: tuple[str, ...],
        deliver: Callable[[Event], None],
        metrics: Callable[[], bytes],
    ) -> None:
        self.head_first_paths = head_first_paths
        self.deliver = deliver
        self.metrics = metrics
        self.identifiers = identifiers
        self.exchanges: dict[int, HttpExchange] = {}
        self._named: list[HTTPServer] = []
        self.lingering: set[HttpExchange] = set()
        self.finishing: set[HttpExchange] = set()  # answered, but not all written
        self.server = self._server(self)

    def listener(self, name: str) -> HTTPServer:
        """Return a server whose requests carry ``name``; the caller binds its sockets."""
        server = self._server(_NamedListener(self, name))
        self._named.append(server)
        return server

    def _server(self, delegate: httputil.HTTPServerConnectionDelegate) -> HTTPServer:
        return HTTPServer(
            delegate,
            idle_connection_timeout=_IDLE_CONNECTION_S,
            max_header_size=_MAX_HEADER_BYTES,
            # The exchange refuses larger bodies itself, with a typed error.
            max_body_size=4 * MAX_REQUEST_BODY_BYTES,
            body_timeout=_BODY_LIMIT_S,
        )

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Begin an exchange."""
        return HttpExchange(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """A connection ended; its exchange was told."""

    def obey(self, effect: fx.Effect) -> None:
        """Carry out an answer's effect; those of an ended exchange are ignored."""
        exchange = self.exchanges.get(effect.request_id)
        if exchange is not None:
            _OBEDIENCE[type(effect)](exchange, effect)

    def room(self, request_id: int) -> asyncio.Future | None:
        """Return None, or what to await before more is fed to a streamed answer."""
        exchange = self.exchanges.get(request_id)
        return exchange.room() if exchange is not None else None

    def stop(self) -> None:
        """Take no new connections."""
        for server in (self.server, *self._named):
            server.stop()

    async def flush(self, limit_s: float) -> None:
        """Wait until whole answers have been written, at most ``limit_s``."""
        waiting = [exchange.written for exchange in self.finishing]
        if waiting:
            await asyncio.wait(waiting, timeout=limit_s)

    async def close(self) -> None:
        """Close every connection."""
        for exchange in [*self.exchanges.values(), *self.lingering]:
            exchange.abort()
        for server in (self.server, *self._named):
            await server.close_all_connections()


class _NamedListener(httputil.HTTPServerConnectionDelegate):
    """Begins the exchanges of one named listener."""

    def __init__(self, port: HttpPort, name: str) -> None:
        self._port = port
        self._name = name

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Begin an exchange."""
        return HttpExchange(self._port, request_conn, self._name)

    def on_close(self, server_conn: object) -> None:
        """A connection ended; its exchange was told."""


_OBEDIENCE = {
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
SERVER_EFFECTS = tuple(_OBEDIENCE)
