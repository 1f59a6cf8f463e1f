"""Parsing of "ip:port" addresses, and outgoing TCP connections."""

import asyncio
import socket
from typing import TypeVar

from tornado.iostream import IOStream, StreamClosedError

# linux/in.h: the kernel picks the source port at connect() instead of bind(), so that one port
# can serve connections to different destinations.
_IP_BIND_ADDRESS_NO_PORT = 24
_MAX_PORT = 65535

Stream = TypeVar("Stream", bound=IOStream)


class ConnectError(Exception):
    """No connection could be established, so no byte of the request was written."""


def split_address(address: str) -> tuple[str, int]:
    """Split "ip:port" into the IP and the port number.

    Raises
    ------
    ValueError
        ``address`` is not "ip:port", or the port is above 65535.
    """
    ip, separator, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and int(port) <= _MAX_PORT
    if not separator or not ip or not is_port:
        raise ValueError(f"{address!r} is not ip:port")
    return ip, int(port)


def bound_address(sockets: list[socket.socket]) -> str:
    """Return "ip:port" of the first listening socket, or "" if there is none."""
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
    """Connect to ``address`` from the source IP ``bind_ip`` ("" for any).

    Raises
    ------
    ConnectError
        The connection was refused, the peer is unreachable, ``timeout_s`` has passed, or
        ``address`` or ``bind_ip`` is not usable.
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
    return await _establish(stream, ip, port, timeout_s)


async def _establish(stream: Stream, ip: str, port: int, timeout_s: float) -> Stream:
    try:
        await asyncio.wait_for(stream.connect((ip, port)), timeout_s)
        if stream.closed():
            raise ConnectError(f"{ip}:{port}: connection closed as soon as it was established")
        if _is_connected_to_itself(stream):
            raise ConnectError(
                f"{ip}:{port}: refused (nothing listens; the socket connected to itself)"
            )
    except (OSError, StreamClosedError) as problem:
        stream.close()
        reason = getattr(problem, "real_error", None) or problem
        raise ConnectError(f"{ip}:{port}: {reason or 'connect timed out'}") from problem
    except BaseException:
        stream.close()
        raise
    return stream


def _is_connected_to_itself(stream: IOStream) -> bool:
    """Return whether the stream's two ends are the same socket.

    When nothing listens on a local port, the kernel may pick that port as the source port; TCP
    simultaneous open then connects the socket to itself.
    """
    return stream.socket.getsockname() == stream.socket.getpeername()
