"""Pooled client connections, one list an address."""

import asyncio
import socket
from collections import defaultdict

import attrs
from tornado.iostream import IOStream

from rooklug.runtime.addresses import connect_stream

_PEEK = socket.MSG_PEEK
_DEFAULT_IDLE_S = 2.0
_LONGEST_IDLE_S = 120.0
_KEEP_ALIVE_MARGIN_S = 1.0
"""A server counts the idle time from its own send, so the client stops using it earlier."""
_SWEEP_S = 2.0
_MAX_IDLE_CONNECTIONS = 64


def keep_alive_s(keep_alive: str) -> float:
    """Return how long a connection may stay idle, by the answer's ``Keep-Alive`` (RFC 2068)."""
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return min(max(float(value) - _KEEP_ALIVE_MARGIN_S, 0.0), _LONGEST_IDLE_S)
    return _DEFAULT_IDLE_S


class ClientStream(IOStream):
    """A client's connection that knows whether it can take another request."""

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread byte."""
        if self.closed() or self._read_buffer_size or self.writing():
            return False
        try:
            self.socket.recv(1, _PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False  # a byte nobody asked for, or the end


@attrs.frozen(eq=False)
class _IdleConnection:
    """A connection that may be used again until monotonic time ``until``."""

    until: float
    stream: ClientStream


class ConnectionPool:
    """Hands out connections; only ones that ended a whole exchange come back."""

    def __init__(self, loop: asyncio.AbstractEventLoop, bind_ip: str) -> None:
        self.connections_made = 0
        self._loop = loop
        self._bind_ip = bind_ip
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)
        self._sweeper: asyncio.TimerHandle | None = None

    async def take(self, address: str, connect_deadline_s: float) -> ClientStream:
        """Return a pooled connection or a new one.

        Raises
        ------
        ConnectError
            Refused, unreachable or not in time.
        """
        idle = self._idle[address]
        while idle:
            candidate = idle.pop()
            if self._loop.time() <= candidate.until and candidate.stream.is_reusable():
                return candidate.stream
            candidate.stream.close()
        self.connections_made += 1
        return await connect_stream(address, self._bind_ip, connect_deadline_s, ClientStream)

    def give_back(
        self, address: str, stream: ClientStream, idle_s: float = _DEFAULT_IDLE_S
    ) -> None:
        """Pool a connection after a complete exchange, for ``idle_s`` seconds at most."""
        idle = self._idle[address]
        if len(idle) >= _MAX_IDLE_CONNECTIONS or not stream.is_reusable():
            stream.close()
            return
        idle.append(_IdleConnection(self._loop.time() + idle_s, stream))
        if self._sweeper is None:
            self._sweeper = self._loop.call_later(_SWEEP_S, self._sweep)

    def close(self) -> None:
        """Close all pooled connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for idle in self._idle.values():
            for connection in idle:
                connection.stream.close()
        self._idle.clear()

    def _sweep(self) -> None:
        self._sweeper = None
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            for connection in [connection for connection in idle if connection.until <= now]:
                idle.remove(connection)
                connection.stream.close()
            if not idle:
                del self._idle[address]
        if self._idle:
            self._sweeper = self._loop.call_later(_SWEEP_S, self._sweep)
