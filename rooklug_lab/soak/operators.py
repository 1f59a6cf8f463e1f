"""The operators of a soak, who send an order to node after node until it has a clear answer."""

import asyncio
import json
from random import Random
from typing import Any

from rooklug_lab.soak.clients import HOST
from rooklug_lab.soak.http import Message, call
from rooklug_lab.soak.ledger import Change, Ledger
from rooklug_lab.soak.replicas import SERVICE, STREAM_PREFIX
from rooklug_lab.soak.site import Site, outside

ANSWER_WAIT_S = 1.2
ORDER_S = 45.0
READ_S = 20.0
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.2, 1.0
UNCLEAR = frozenset({408, 429})
HOSTILE_DOCUMENTS: tuple[dict[str, Any], ...] = (
    {"routes": [{"name": "\ud83d", "host": HOST, "prefix": "/x/", "timeout_ms": 1}]},
    {"version": 20261204030000123456},
    {"version": 2**63},
    {"version": -(2**63) - 1},
    {"routes": [{"name": ["a"], "host": HOST, "prefix": "/x/", "timeout_ms": 1}]},
    {"services": [{"name": SERVICE, "engine": []}]},
    {"services": 7},
)
MAX_EXTRA_ROUTES = 30
HOSTILE_BASES = ("9" * 19, "9" * 5000, "-1", "x")


def document(version: int, extra_routes: int) -> dict[str, Any]:
    """Return a valid configuration in rooklug's words, with as many further routes as asked."""
    kinds = {
        "/once/": {"execution": "at_most_once", "max_replicas": 1},
        "/twice/": {"execution": "at_most_once", "max_replicas": 2},
        "/again/": {"execution": "repeatable", "max_replicas": 2},
        STREAM_PREFIX: {"execution": "event_stream", "max_replicas": 1, "resumable": False},
        **{
            f"/extra-{number}/": {"execution": "at_most_once", "max_replicas": 1}
            for number in range(extra_routes)
        },
    }
    routes = [
        {
            "name": prefix.strip("/"),
            "host": HOST,
            "prefix": prefix,
            "timeout_ms": 2000,
            "latency_objective_ms": 300,
            "priority": 1,
            "service": SERVICE,
            **kind,
        }
        for prefix, kind in kinds.items()
    ]
    services = [{"name": SERVICE, "health_path": "/health", "max_connections": 600}]
    return {"version": version, "routes": routes, "services": services}


class Operator:
    """Sends configurations and zone orders, and reads the configuration."""

    def __init__(self, site: Site, random: Random) -> None:
        self._site = site
        self._ledger: Ledger = site.ledger
        self._random = random
        self._lock = asyncio.Lock()

    async def change(self) -> None:
        """Send a valid configuration on top of the newest one, until it has a clear answer."""
        async with self._lock:
            base = await self._newest_version()
            if base is not None:
                await self._submit(base, base + self._random.randint(1, 4), {}, str(base))

    async def race(self) -> None:
        """Send two different valid configurations on top of the same version at the same time."""
        async with self._lock:
            base = await self._newest_version()
            if base is not None:
                versions = (base + 1, base + self._random.randint(1, 2))
                numbers = self._random.sample(range(MAX_EXTRA_ROUTES + 1), len(versions))
                contents = [document(*pair) for pair in zip(versions, numbers, strict=True)]
                await asyncio.gather(
                    *(self._send(base, c["version"], c, str(base)) for c in contents)
                )

    async def hostile_change(self, variant: int) -> None:
        """Send a configuration or a base version that has to be refused."""
        async with self._lock:
            base = await self._newest_version() or 0
            number = variant % (len(HOSTILE_DOCUMENTS) + len(HOSTILE_BASES))
            if number < len(HOSTILE_DOCUMENTS):
                await self._submit(base, base + 1, HOSTILE_DOCUMENTS[number], str(base))
            else:
                hostile_base = HOSTILE_BASES[number - len(HOSTILE_DOCUMENTS)]
                await self._submit(base, base + 1, {"hostile": True}, hostile_base)

    async def drain(self, zone: str, for_s: float) -> None:
        """Drain a zone, and return it to service."""
        await self._order(outside.zone_path(zone, drained=True), b"", {}, ORDER_S)
        await asyncio.sleep(for_s)
        await self._order(outside.zone_path(zone, drained=False), b"", {}, ORDER_S)

    async def read(self, within_s: float) -> bytes:
        """Return the configuration as a core reads it, b"" without an answer in time."""
        end = self._ledger.now() + within_s
        while self._ledger.now() < end:
            core = self._random.choice(self._site.of_role("core"))
            address = self._site.address(core, "control")
            answer = await call(address, "GET", outside.READ_PATH, {}, b"", ANSWER_WAIT_S)
            if answer is not None and answer.status == 200:
                return answer.body
            await asyncio.sleep(FIRST_PAUSE_S)
        return b""

    async def first_change(self) -> None:
        """Send the first configuration until it is acknowledged."""
        await self._submit(0, 1, {}, "0")

    async def _newest_version(self) -> int | None:
        body = await self.read(READ_S)
        return json.loads(body)["version"] if body else None

    async def _submit(self, base: int, version: int, fields: dict[str, Any], header: str) -> None:
        content = {**document(version, self._random.randint(0, MAX_EXTRA_ROUTES)), **fields}
        await self._send(base, version, content, header, valid=not fields)

    async def _send(
        self, base: int, version: int, content: dict[str, Any], header: str, *, valid: bool = True
    ) -> None:
        body = outside.configuration_body(content)
        record = Change(version, base, valid, body, self._ledger.now())
        self._ledger.changes.append(record)
        headers = {outside.BASE_VERSION_HEADER: header}
        answer = await self._order(outside.REPLACE_PATH, body, headers, ORDER_S)
        record.answered_at = self._ledger.now()
        record.status = answer.status if answer is not None else 0

    async def _order(
        self, path: str, body: bytes, headers: dict[str, str], within_s: float
    ) -> Message | None:
        """Send an order from node to node, with growing pauses, until it has a clear answer."""
        end = self._ledger.now() + within_s
        pause_s = FIRST_PAUSE_S
        while self._ledger.now() < end:
            core = self._random.choice(self._site.of_role("core"))
            address = self._site.address(core, "control")
            answer = await call(address, "POST", path, headers, body, ANSWER_WAIT_S)
            if answer is not None and answer.status < 500 and answer.status not in UNCLEAR:
                return answer
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, LONGEST_PAUSE_S)
        return None
