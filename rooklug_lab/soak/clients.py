"""The clients of a soak: they keep their connections until the front has closed them."""

import asyncio
import contextlib
from random import Random

from rooklug_lab.soak.http import MAX_HEAD_BYTES, Message, encode, read_message
from rooklug_lab.soak.ledger import Ledger, Request
from rooklug_lab.soak.replicas import (
    HEADERS,
    STREAM_EVENTS,
    STREAM_PREFIX,
    expected_body,
    stream_event,
)
from rooklug_lab.soak.site import Site

HOST = "soak.example"
PATHS = ("/once/", "/twice/", "/again/", STREAM_PREFIX)
"""Routes of one replica, of two, of two repeatably, and of streams."""
DEADLINE_S = 2.0
ANSWER_WAIT_S = 3.5
LONG_DIGITS = "9" * 5000
HOSTILE_HEADS = (
    {HEADERS.token_counts: LONG_DIGITS},
    {HEADERS.token_counts: f"10,{'9' * 400}"},
    {HEADERS.prompt_parts: f"aa:{LONG_DIGITS},bb:10"},
    {HEADERS.prompt_parts: ",".join(f"{n:x}:{2**31}" for n in range(900))},
    {HEADERS.deadline_ms: "nan"},
    {HEADERS.deadline_ms: "1e400"},
    {HEADERS.request_id: "x" * 4000},
)
HOSTILE_BYTES = (
    b"\x00\xff garbage\r\n\r\n",
    b"GET /" + b"/" * 60_000 + b" HTTP/1.1\r\nhost: soak.example\r\n\r\n",
    b"POST /once/1 HTTP/1.1\r\nhost: soak.example\r\ncontent-length: -5\r\n\r\n",
    b"POST /once/1 HTTP/1.1\r\nhost: soak.example\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    b"POST /once/1 HTTP/1.1\r\nhost: soak.example\r\ncontent-length: 100\r\n\r\nhalf",
)


class Client:
    """Sends requests one at a time over a kept connection to one front."""

    def __init__(self, name: str, site: Site, random: Random) -> None:
        self._name = name
        self._site = site
        self._ledger: Ledger = site.ledger
        self._random = random
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._front = ""
        self._count = 0

    async def run(self, until: asyncio.Event) -> None:
        """Send requests until the event is set; a lost connection goes to another front."""
        while not until.is_set():
            await asyncio.sleep(self._random.uniform(0.05, 0.35))
            if self._connection is None:
                await self._connect()
            if self._connection is not None:
                await self._request()
        self._close()

    async def _connect(self) -> None:
        front = self._random.choice(self._site.of_role("front"))
        address = self._site.address(front, "front")
        ip, _, port = address.rpartition(":")
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                opened = await asyncio.open_connection(ip, int(port), limit=MAX_HEAD_BYTES)
                self._connection, self._front = opened, front.name

    async def _request(self) -> None:
        assert self._connection is not None
        reader, writer = self._connection
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        path = f"{self._random.choice(PATHS)}{self._count}"
        record = Request(request_id, path, self._front, self._ledger.now())
        self._ledger.requests.append(record)
        headers = {
            "host": HOST,
            HEADERS.request_id: request_id,
            HEADERS.deadline_ms: str(int(DEADLINE_S * 1000)),
        }
        answer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_WAIT_S):
                writer.write(encode(f"POST {path} HTTP/1.1", headers, b"body"))
                await writer.drain()
                answer = await read_message(reader)
        record.answered_at = self._ledger.now()
        if answer is not None:
            record.status, record.complete = answer.status, answer.complete
            record.problem = problem_of(answer, request_id, path)
        if answer is None or not answer.keeps_alive:
            self._close()

    def _close(self) -> None:
        if self._connection is not None:
            with contextlib.suppress(OSError):
                self._connection[1].close()
        self._connection = None


def problem_of(answer: Message, request_id: str, path: str) -> str:
    """Return what is wrong with a response, "" if nothing is."""
    answered_id = answer.headers.get(HEADERS.request_id, request_id)
    if answered_id != request_id:
        return f"the answer belongs to {answered_id}"
    if not 200 <= answer.status < 300 or not answer.complete:
        return ""
    replica_id = answer.headers.get(HEADERS.signature, "")
    if not replica_id:
        return "a success without the replica's signature"
    if not path.startswith(STREAM_PREFIX):
        return "" if answer.body == expected_body(request_id, replica_id) else "another body"
    whole = b"".join(
        stream_event(request_id, replica_id, number) for number in range(1, STREAM_EVENTS + 1)
    )
    return "" if answer.body == whole else "a stream that ends as complete isn't whole"


async def send_hostile(site: Site, random: Random) -> str:
    """Send a hostile head or hostile bytes to a front; return what was sent."""
    front = random.choice(site.of_role("front"))
    ip, _, port = site.address(front, "front").rpartition(":")
    if random.random() < 0.6:
        number = random.randrange(len(HOSTILE_HEADS))
        request_id = f"hostile-{random.getrandbits(40):x}"
        head = {"host": HOST, HEADERS.request_id: request_id, **HOSTILE_HEADS[number]}
        data, text = encode("POST /once/1 HTTP/1.1", head, b"x"), f"head {number}"
        path = "/once/1"
        sent_id = head[HEADERS.request_id]
        site.ledger.requests.append(Request(sent_id, path, front.name, site.ledger.now()))
    else:
        number = random.randrange(len(HOSTILE_BYTES))
        data, text = HOSTILE_BYTES[number], f"bytes {number}"
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(2.0):
            _, writer = await asyncio.open_connection(ip, int(port))
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.3)
            writer.close()
    return f"{text} to {front.name}"
