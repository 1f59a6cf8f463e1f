"""One HTTP/1.1 call on a connection of its own, as the operator and the clients make it."""

import asyncio

import attrs

MAX_HEAD_BYTES = 64 * 1024


@attrs.frozen
class Answer:
    """An HTTP answer; status 0 means that none came, and ``body`` then says why."""

    status: int
    headers: dict[str, str]
    body: bytes


async def call(
    address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> Answer:
    """Send one request on a new connection; return the complete answer."""
    ip, _, port = address.rpartition(":")
    lines = {
        "Host": address,
        "Connection": "close",
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    reader, writer = await asyncio.open_connection(ip, int(port), limit=MAX_HEAD_BYTES)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        return await read_answer(reader)
    finally:
        writer.close()


async def call_within(
    timeout_s: float,
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer:
    """Make a call; without a complete answer in time return one with status 0."""
    try:
        async with asyncio.timeout(timeout_s):
            return await call(address, method, path, body, headers)
    except (OSError, EOFError, ValueError, TimeoutError) as problem:
        return Answer(0, {}, repr(problem).encode())


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    fields = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    if headers.get("transfer-encoding") == "chunked":
        return Answer(status, headers, await _read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    return Answer(status, headers, await reader.readexactly(length))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return body
