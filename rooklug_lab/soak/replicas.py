"""The replicas of a soak, and the platform that lists them."""

import asyncio
import contextlib
from enum import Enum
from typing import Any

import attrs

from rooklug_lab.soak.http import MAX_HEAD_BYTES, Message, encode, read_message
from rooklug_lab.soak.ledger import Ledger, Run
from rooklug_lab.soak.site import outside

SERVICE = "ledger"
STREAM_PREFIX = "/stream/"
STREAM_EVENTS = 6
STREAM_EVENT_S = 0.08
RESPONSE_S = 0.02
SLOTS = 16
LATE_MISMATCH_S = 1.2
"""How late every second replica rejects a request for its predecessor: by then it is listed, and
the front may send the request again on the same connection."""
GARBAGE = b"\x00\xff not an answer \r\n\r\n"
HEADERS = outside.HEADERS


class Conduct(Enum):
    """How a replica treats requests."""

    SOUND = "answers"
    REJECTS_TWICE = "rejects, and repeats the rejection in place of the next answer"
    REPLACED_TWICE = "answers that it is another one, and repeats that"
    ANSWERS_TWICE = "repeats an answer in place of the next one"
    FAILS = "runs a request and answers with a failure"
    BREAKS_OFF = "runs a request and breaks the answer off"
    GARBAGE = "runs a request and sends bytes that are no answer"
    SILENT = "runs a request and doesn't answer"
    LATE = "answers after a second"


REJECTIONS = {Conduct.REJECTS_TWICE: 503, Conduct.REPLACED_TWICE: 421}


def expected_body(request_id: str, replica_id: str) -> bytes:
    """Return the body of a replica's answer to a request."""
    return f"{request_id}@{replica_id}".encode()


def stream_event(request_id: str, replica_id: str, number: int) -> bytes:
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {request_id}@{replica_id}/{number}\n\n".encode()


class Replica:
    """One replica: a server on its own address; each restart has another id."""

    def __init__(self, number: int, address: str, zone: str, ledger: Ledger) -> None:
        self.number, self.address, self.zone = number, address, zone
        self.conduct = Conduct.SOUND
        self.starts = 1
        self.is_up = True
        self._ledger = ledger
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def replica_id(self) -> str:
        """The id of this start of the replica."""
        return f"r-{self.number}-{self.starts}"

    @property
    def entry(self) -> outside.ListedEntry:
        """The replica's entry on the platform's list."""
        return outside.ListedEntry(
            self.replica_id, SERVICE, self.address, self.zone, SLOTS, ready=self.is_up
        )

    async def start(self) -> None:
        """Listen on the replica's address."""
        ip, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, ip, int(port), limit=MAX_HEAD_BYTES, reuse_address=True
        )

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self) -> None:
        """Come back at the same address under another id."""
        self.starts += 1
        await self.start()
        self.is_up = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        late: list[bytes] = []
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None and request.complete:
                for surplus in late:
                    writer.write(surplus)
                late.clear()
                if not await self._answer(request, writer, late):
                    break
                await writer.drain()
        self._writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter, late: list[bytes]
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = request.headers.get(HEADERS.request_id, "")
        lines = {HEADERS.request_id: request_id, "keep-alive": "timeout=5"}
        conduct = self.conduct
        expected = request.headers.get(HEADERS.expected_replica, self.replica_id)
        is_mismatch = expected != self.replica_id
        is_late = is_mismatch and self.number % 2 == 1
        status = 421 if is_mismatch else REJECTIONS.get(conduct, 0)
        if is_late:
            await asyncio.sleep(LATE_MISMATCH_S)
        if status:
            rejection = encode(f"HTTP/1.1 {status} Rejected", {**lines, HEADERS.not_executed: "1"})
            writer.write(rejection)
            if conduct in REJECTIONS or is_late:
                late.append(rejection)
            return True
        self._ledger.runs.append(Run(request_id, self.replica_id, self._ledger.now()))
        return await self._run(request, conduct, lines, writer, late)

    async def _run(
        self,
        request: Message,
        conduct: Conduct,
        lines: dict[str, str],
        writer: asyncio.StreamWriter,
        late: list[bytes],
    ) -> bool:
        request_id = lines[HEADERS.request_id]
        lines[HEADERS.signature] = self.replica_id
        if conduct is Conduct.SILENT:
            await asyncio.sleep(10.0)
            return False
        await asyncio.sleep(1.0 if conduct is Conduct.LATE else RESPONSE_S)
        if conduct is Conduct.GARBAGE:
            writer.write(GARBAGE)
            return False
        if STREAM_PREFIX in request.first_line and conduct is not Conduct.FAILS:
            return await self._stream(request_id, lines, writer, conduct)
        status = "500 Failed" if conduct is Conduct.FAILS else "200 OK"
        answer = encode(f"HTTP/1.1 {status}", lines, expected_body(request_id, self.replica_id))
        if conduct is Conduct.BREAKS_OFF:
            writer.write(answer[:-3])
            return False
        writer.write(answer)
        if conduct is Conduct.ANSWERS_TWICE:
            late.append(answer)
        return True

    async def _stream(
        self,
        request_id: str,
        lines: dict[str, str],
        writer: asyncio.StreamWriter,
        conduct: Conduct,
    ) -> bool:
        head = [
            "HTTP/1.1 200 OK",
            "content-type: text/event-stream",
            "transfer-encoding: chunked",
            *(f"{name}: {value}" for name, value in lines.items()),
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(1, STREAM_EVENTS + 1):
            if conduct is Conduct.BREAKS_OFF and number == STREAM_EVENTS // 2:
                return False
            event = stream_event(request_id, self.replica_id, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(STREAM_EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True


@attrs.define(eq=False)
class Platform:
    """Answers the list of replicas; ``hostile`` are other values among its entries."""

    replicas: list[Replica]
    hostile: list[Any] = attrs.field(factory=list)
    _server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on the platform's address."""
        ip, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while await read_message(reader) is not None:
                entries = [replica.entry for replica in self.replicas if replica.is_up]
                body = outside.list_body(entries, self.hostile)
                writer.write(encode("HTTP/1.1 200 OK", {}, body))
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
