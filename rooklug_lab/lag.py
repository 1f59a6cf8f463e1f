"""``rooklug-lab lag``: from the acknowledgement of a change until all fronts serve under it."""

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path
from typing import Any

import attrs

from rooklug.config.json_text import canonical_bytes
from rooklug_lab.deployment import build_deployment
from rooklug_lab.fleet.client import ConditionNotMetError
from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.fleet.subnets import HeldSubnet
from rooklug_lab.hollow.statistics import spread

POLL_S = 0.02
PUT_TIMEOUT_S = 20.0
IN_FORCE_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 5.0
DEADLINE_S = 30.0
VERSION_HEADER = b"x-rooklug-version"
HEAD_LIMIT = 16_384
KINDS = ("whole", "patch")


def document_with_routes(base: bytes, count: int) -> bytes:
    """Return ``base`` with copies of its model routes until it has ``count`` routes."""
    document = json.loads(base)
    patterns = [route for route in document["routes"].values() if route["kind"] == "model"]
    for number in range(count - len(document["routes"])):
        document["routes"][route_name(number)] = patterns[number % len(patterns)]
    return canonical_bytes(document)


def route_name(number: int) -> str:
    """Return the name of an added route."""
    return f"added-{number:05}"


def route_patch(number: int) -> bytes:
    """Return a merge patch that changes the deadline of one added route."""
    deadline_s = DEADLINE_S + number
    return json.dumps({"routes": {route_name(0): {"deadline_s": deadline_s}}}).encode()


def whole_document(base: bytes, number: int) -> bytes:
    """Return the whole document with the change of ``route_patch``."""
    document = json.loads(base)
    route = document["routes"][route_name(0)]
    document["routes"][route_name(0)] = {**route, "deadline_s": DEADLINE_S + number}
    return canonical_bytes(document)


def version_in_head(head: bytes) -> int:
    """Return the version that the head of an HTTP answer names, -1 if it names none."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.strip().lower() == VERSION_HEADER and value.strip().isdigit():
            return int(value)
    return -1


async def local_version(address: str) -> int:
    """Return the version that a front serves under; only the head of its answer is read.

    -1: no answer.
    """
    ip, _, port = address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port), limit=HEAD_LIMIT)
    except OSError:
        return -1
    try:
        writer.write(f"GET /v1/config/local HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), ANSWER_TIMEOUT_S)
        return version_in_head(head)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return -1
    finally:
        writer.close()


async def in_force_at(address: str, version: int) -> float:
    """Poll a front until it serves under ``version``; return when it was seen to (s).

    Raises
    ------
    ConditionNotMetError
        It did not in time.
    """
    started = time.monotonic()
    while await local_version(address) < version:
        if time.monotonic() - started > IN_FORCE_TIMEOUT_S:
            raise ConditionNotMetError(f"{address} doesn't serve under version {version}")
        await asyncio.sleep(POLL_S)
    return time.monotonic()


@attrs.define
class LagFigures:
    """Seconds a change: until the acknowledgement, then until each front, until all fronts."""

    acknowledged: list[float] = attrs.field(factory=list)
    each_front: list[float] = attrs.field(factory=list)
    all_fronts: list[float] = attrs.field(factory=list)

    def as_json(self) -> dict[str, Any]:
        """Return median, 99th percentile and largest of each."""
        lists = attrs.asdict(self)
        return {name: attrs.asdict(spread(values)) for name, values in lists.items() if values}


class LagRun:
    """Changes one after the other on one site, each followed to all fronts."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._fronts = [front.listen_http for front in fleet.deployment.fronts]
        self._number = 0

    async def measure(self, kind: str, changes: int) -> LagFigures:
        """Send ``changes`` changes of one kind.

        Raises
        ------
        ConditionNotMetError
            One was not acknowledged, or not in force everywhere in time.
        """
        figures = LagFigures()
        for _ in range(changes):
            await self._change(kind, figures)
        return figures

    async def _change(self, kind: str, figures: LagFigures) -> None:
        self._number += 1
        version = self._fleet.next_version
        self._fleet.next_version += 1
        watching = [asyncio.create_task(in_force_at(each, version)) for each in self._fronts]
        sent_at = time.monotonic()
        await self._send(kind, version)
        acknowledged_at = time.monotonic()
        seen_at = await asyncio.gather(*watching)
        lags = [max(0.0, at - acknowledged_at) for at in seen_at]
        figures.acknowledged.append(acknowledged_at - sent_at)
        figures.each_front += lags
        figures.all_fronts.append(max(lags))

    async def _send(self, kind: str, version: int) -> None:
        if kind == "whole":
            method, path = "PUT", f"/v1/config/{version}"
            body = whole_document(self._fleet.deployment.document, self._number)
        else:
            method, path = "PATCH", f"/v1/config/{version}?base={version - 1}"
            body = route_patch(self._number)
        reply = await self._fleet.client.request(self._fronts[0], path, method, body, PUT_TIMEOUT_S)
        if reply.status != 200:
            raise ConditionNotMetError(f"{kind} {version}: {reply.status} {reply.body[:300]!r}")


async def measure_site(routes: int, changes: int, seed: int) -> dict[str, Any]:
    """Start a payroll site with that many routes, measure it, and stop it."""
    subnet = HeldSubnet()
    with tempfile.TemporaryDirectory(prefix="rooklug-") as folder:
        plain = build_deployment("payroll", subnet.number, hidden_ports=True)
        document = document_with_routes(plain.document, routes)
        fleet = Fleet(attrs.evolve(plain, document=document), Path(folder), seed)
        try:
            await fleet.start()
            # Its operator reads every front's whole document five times a second.
            fleet.processes["platform"].freeze()
            run = LagRun(fleet)
            kinds = {kind: (await run.measure(kind, changes)).as_json() for kind in KINDS}
        finally:
            await fleet.stop()
            subnet.release()
    return {"routes": routes, "document_bytes": len(document), "changes": changes, **kinds}


def run_lag(arguments: argparse.Namespace) -> int:
    """Measure each size; print one JSON object a line."""
    code = 0
    for routes in (int(text) for text in arguments.routes.split(",")):
        try:
            result = asyncio.run(measure_site(routes, arguments.changes, arguments.seed))
        except ConditionNotMetError as problem:
            result, code = {"routes": routes, "problem": str(problem)}, 1
        print(json.dumps(result), flush=True)
    return code


def add_lag_command(commands: argparse._SubParsersAction) -> None:
    """Add ``lag`` to the command line."""
    parser = commands.add_parser("lag", help="measure how soon changes are in force everywhere")
    parser.add_argument("--routes", default="500,5000", help="sizes, with commas between them")
    parser.add_argument("--changes", type=int, default=20, help="of each kind a size")
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(run=run_lag)
