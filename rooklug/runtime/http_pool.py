"""Pool of idle keep-alive client connections, by address.

A server may send a response a second time, late, in the place where the next one is due. The id
that it repeats tells requests apart, but not two sends of the same request. So a connection carries
a request id at most once, and a call without an id gets a connection of its own.
"""

import asyncio
import socket
from collections import defaultdict

import attrs
from tornado.iostream import IOStream

from rooklug.runtime.addresses import connect_stream

_PEEK = socket.MSG_PEEK
_DEFAULT_IDLE_S = 2.0
_MAX_IDLE_S = 120.0
_KEEP_ALIVE_MARGIN_S = 1.0
"""The server starts its idle timer when it sends, before the client receives; the margin keeps the
client from reusing a connection that the server is closing."""
_SWEEP_INTERVAL_S = 2.0
_MAX_IDLE_CONNECTIONS = 64
MAX_REQUESTS_PER_CONNECTION = 1000
"""Bounds what a connection keeps of the request ids that it has carried."""


def keep_alive_s(keep_alive: str) -> float:
    """Return for how many seconds a connection may stay idle.

    ``keep_alive`` is the value of the response's ``Keep-Alive`` header (RFC 2068), "" if absent.
    """
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return min(max(float(value) - _KEEP_ALIVE_MARGIN_S, 0.0), _MAX_IDLE_S)
    return _DEFAULT_IDLE_S


class ClientStream(IOStream):
    """A client connection that knows which request ids it has carried."""

    def __init__(self, connection: socket.socket) -> None:
        super().__init__(connection)
        # Hashes: an id may be as long as a head. A collision costs a new connection, no more.
        self._carried: set[int] = set()

    def carry(self, request_id: str) -> None:
        """Note that a request with this id is sent on this connection; "" stands for no id."""
        self._carried.add(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id may have been sent on this connection."""
        return hash(request_id) in self._carried

    def is_reusable(self) -> bool:
        """Return whether the connection is open, without unread bytes or unfinished writes.

        After ``MAX_REQUESTS_PER_CONNECTION`` requests it isn't reused either.
        """
        if self.closed() or self._read_buffer_size or self.writing():
            return False
        if len(self._carried) >= MAX_REQUESTS_PER_CONNECTION:
            return False
        try:
            self.socket.recv(1, _PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # an unexpected byte, or the server has closed the connection


@attrs.frozen(eq=False)
class _IdleConnection:
    """A connection that may be reused until monotonic time ``until`` (seconds)."""

    until: float
    stream: ClientStream


class ConnectionPool:
    """Hands out connections; only those whose last exchange was complete are returned to it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bind_ip: str) -> None:
        self.connections_made = 0
        self._loop = loop
        self._bind_ip = bind_ip
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)
        self._sweeper: asyncio.TimerHandle | None = None

    async def acquire(
        self, address: str, connect_deadline_s: float, request_id: str
    ) -> ClientStream:
        """Return an idle connection that hasn't carried this id, or connect in time.

        ``request_id`` is "" for a call without an id: it gets a new connection.

        Raises
        ------
        ConnectError
            The connection was refused or timed out, or the server is unreachable.
        """
        stream = self._take_idle(address, request_id) if request_id else None
        if stream is None:
            self.connections_made += 1
            stream = await connect_stream(address, self._bind_ip, connect_deadline_s, ClientStream)
        stream.carry(request_id)
        return stream

    def _take_idle(self, address: str, request_id: str) -> ClientStream | None:
        """Take out the connection that was used last; those that can't be reused are closed."""
        idle = self._idle[address]
        now = self._loop.time()
        for position in reversed(range(len(idle))):
            candidate = idle[position]
            if now <= candidate.until and candidate.stream.is_reusable():
                if candidate.stream.has_carried(request_id):
                    continue
                return idle.pop(position).stream
            idle.pop(position).stream.close()
        return None

    def release(self, address: str, stream: ClientStream, idle_s: float = _DEFAULT_IDLE_S) -> None:
        """Return a connection to the pool after a complete exchange, for at most ``idle_s``."""
        idle = self._idle[address]
        if len(idle) >= _MAX_IDLE_CONNECTIONS or not stream.is_reusable():
            stream.close()
            return
        idle.append(_IdleConnection(self._loop.time() + idle_s, stream))
        if self._sweeper is None:
            self._sweeper = self._loop.call_later(_SWEEP_INTERVAL_S, self._close_expired)

    def close(self) -> None:
        """Close all idle connections; those in use are closed by their calls."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for idle in self._idle.values():
            for connection in idle:
                connection.stream.close()
        self._idle.clear()

    def _close_expired(self) -> None:
        self._sweeper = None
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            for connection in [connection for connection in idle if connection.until <= now]:
                idle.remove(connection)
                connection.stream.close()
            if not idle:
                del self._idle[address]
        if self._idle:
            self._sweeper = self._loop.call_later(_SWEEP_INTERVAL_S, self._close_expired)
