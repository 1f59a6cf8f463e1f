"""HTTP/1.1 framing for the stand-ins, which also have to send what no proper peer sends."""

import asyncio
import contextlib

import attrs

MAX_HEAD_BYTES = 64 * 1024


@attrs.frozen
class Message:
    """A request or response: its first line, its headers in lower case, and its body.

    ``complete`` is False for a response that ended without its last chunk or byte.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes
    complete: bool = True

    @property
    def status(self) -> int:
        """The status of a response, 0 if its first line has none."""
        parts = self.first_line.split()
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection may be used again after this message."""
        return self.complete and self.headers.get("connection", "").lower() != "close"


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None if the connection ends before its head is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body, complete = await _read_chunks(reader)
    else:
        body, complete = await _read_length(reader, headers.get("content-length", "0"))
    return Message(first_line, headers, body, complete)


async def _read_length(reader: asyncio.StreamReader, length: str) -> tuple[bytes, bool]:
    try:
        return await reader.readexactly(int(length)), True
    except asyncio.IncompleteReadError as problem:
        return problem.partial, False
    except (ValueError, ConnectionError):
        return b"", False


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, ConnectionError):
        return body, False


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message whose body is delimited by its length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"content-length: {len(body)}", "", ""]).encode("latin-1") + body


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Message | None:
    """Send one request on a new connection; None without a complete response in time."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port), limit=MAX_HEAD_BYTES)
            sent = {"host": "soak.example", "connection": "close", **headers}
            writer.write(encode(f"{method} {path} HTTP/1.1", sent, body))
            await writer.drain()
            message = await read_message(reader)
            return message if message is not None and message.complete else None
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
