"""Addresses "ip:port" and outgoing connections."""

import asyncio
import socket
from typing import TypeVar

from tornado.iostream import IOStream, StreamClosedError

# Linux: the kernel picks the source port at connect, not at bind (linux/in.h).
_IP_BIND_ADDRESS_NO_PORT = 24
_LARGEST_PORT = 65535

Stream = TypeVar("Stream", bound=IOStream)


class ConnectError(Exception):
    """The connection was never established: no byte of the request was written."""


def split_address(address: str) -> tuple[str, int]:
    """Return ip and port.

    Raises
    ------
    ValueError
        When ``address`` is not "ip:port".
    """
    ip, separator, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and int(port) <= _LARGEST_PORT
    if not separator or not ip or not is_port:
        raise ValueError(f"{address!r} is not ip:port")
    return ip, int(port)


def bound_address(sockets: list[socket.socket]) -> str:
    """Return "ip:port" of the first listening socket, "" if there is none."""
    if not sockets:
        return ""
    ip, port = sockets[0].getsockname()[:2]
    return f"{ip}:{port}"


async def connect_stream(
    address: str,
    bind_ip: str,
    timeout_s: float,
    stream_class: type[Stream] = IOStream,  # type: ignore[assignment]
) -> Stream:
    """Connect to ``address`` from ``bind_ip`` ("" for any).

    Raises
    ------
    ConnectError
        Refused, unreachable, not in time, or not an address.
    """
    connecting = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        ip, port = split_address(address)
        if bind_ip:
            connecting.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            connecting.bind((bind_ip, 0))
    except (ValueError, OSError) as problem:
        connecting.close()
        raise ConnectError(f"{address}: {problem}") from problem
    connecting.setblocking(False)  # noqa: FBT003 - the library's signature
    stream = stream_class(connecting)
    return await _connected(stream, ip, port, timeout_s)


async def _connected(stream: Stream, ip: str, port: int, timeout_s: float) -> Stream:
    try:
        await asyncio.wait_for(stream.connect((ip, port)), timeout_s)
        if stream.closed():
            raise ConnectError(f"{ip}:{port}: closed at once")
        if _is_connected_to_itself(stream):
            raise ConnectError(f"{ip}:{port}: refused")
    except (OSError, StreamClosedError) as problem:
        stream.close()
        reason = getattr(problem, "real_error", None) or problem
        raise ConnectError(f"{ip}:{port}: {reason or 'connect timed out'}") from problem
    except BaseException:
        stream.close()
        raise
    return stream


def _is_connected_to_itself(stream: IOStream) -> bool:
    """TCP lets a connection to a free local port meet itself when the source port is equal."""
    return stream.socket.getsockname() == stream.socket.getpeername()
