"""Measures the front; see docs/requests.md for the commands.

``reducer``: microseconds of reducer time per request and per streamed piece (9 replicas).
``hop ADDRESS PATH``: latency and requests/s over real sockets, through a front or directly to the
stand-in replica. ``replica PORT`` and ``front PORT REPLICA_ADDRESS`` start the processes for it.
"""

import asyncio
import json
import sys
import time
from collections.abc import Callable
from random import Random
from statistics import quantiles

from rooklug.engine import events as ev
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.effects import HttpCall
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.runtime.host import Host
from rooklug.runtime.http_client import HttpClient
from rooklug_lab.standins.model_replica import ModelReplica
from rooklug_lab.standins.settings import ModelProfile, ReplicaSettings
from tests.front_support import FrontHarness, cell, listed, loaded, node

REQUESTS = 4000
PIECES = 20
HOP_REQUESTS = 600
CONCURRENCY = 16


def nine_replicas(front: FrontHarness, concurrency: int = 8) -> None:
    """Publish five replicas in north, four in south, and eleven fronts."""
    names = "abcdefghi"
    front.configure()
    front.members(*(node(f"f{number}", "n1", "north") for number in range(11)))
    front.replicas(
        *(listed(n, "n1" if n < "f" else "s1", "north" if n < "f" else "south") for n in names)
    )
    matrix = [cell("north", "north"), cell("north", "south", 1)]
    front.plan([loaded(name, concurrency=concurrency) for name in names], matrix)


def measure_reducer() -> None:
    """Print the time spent in the reducer, without that of the harness."""
    front = FrontHarness()
    nine_replicas(front)
    spent = {"request": 0, "piece": 0}

    def handle(event, kind: str):
        begin = time.perf_counter_ns()
        effects = front.reducer.handle(event, front.now)
        spent[kind] += time.perf_counter_ns() - begin
        return effects

    for number in range(REQUESTS):
        front.now += 0.01
        parts = ["system", f"conversation {number % 50}"]
        body = {"prompt_tokens": 400, "max_tokens": 64, "prompt_parts": parts, "stream": True}
        headers = {"x-rooklug-route": "banter", "x-rooklug-request-id": f"r{number}"}
        arrived = ev.HttpRequestArrived(
            number, "POST", "/v1/generate", {}, headers, b"", body_withheld=True
        )
        handle(arrived, "request")
        effects = handle(ev.HttpRequestBody(number, json.dumps(body).encode()), "request")
        call = front.call(effects)
        handle(ev.HttpResponseStarted(call.call_id, 200, {}), "request")
        for index in range(PIECES):
            line = {"request_id": f"r{number}", "index": index, "piece": "eight words of text "}
            handle(ev.HttpBodyChunk(call.call_id, json.dumps(line).encode() + b"\n"), "piece")
        end = {"request_id": f"r{number}", "index": PIECES, "end": True, "pieces": PIECES}
        handle(ev.HttpBodyChunk(call.call_id, json.dumps(end).encode() + b"\n"), "request")
        handle(ev.HttpResponseCompleted(call.call_id), "request")
    print(f"request: {spent['request'] / REQUESTS / 1000:.1f} us")
    print(f"streamed piece: {spent['piece'] / REQUESTS / PIECES / 1000:.1f} us")


def start_replica(port: str) -> Host:
    """Return the host of a stand-in replica that answers with one piece."""
    profile = ModelProfile(1.0, 1e9, 1000, 1.0)
    settings = ReplicaSettings(
        "a", "", "north", "n1", "gpu", 1.0, {"talk": profile}, ("talk",), cold_factor=1.0
    )
    context = ProcessContext("a", "1", Random(1), Identifiers())
    reducer = CompositeReducer([ModelReplica(settings, context)])
    return Host(reducer, listen_internal="", listen_http=f"127.0.0.1:{port}", log_level="error")


def start_front(port: str, replica_address: str) -> Host:
    """Return the host of a front whose plan has only that replica."""
    harness = FrontHarness()
    harness.now = time.monotonic()
    harness.configure()
    harness.members(node("f1", "n1", "north"))
    entry = listed("a", "n1", "north")
    entry.address = replica_address
    harness.replicas(entry)
    harness.plan([loaded("a", concurrency=1000)], [cell("north", "north")])
    return Host(
        harness.reducer, listen_internal="", listen_http=f"127.0.0.1:{port}", log_level="error"
    )


class Client:
    """Makes requests over persistent connections and waits for complete answers."""

    def __init__(self, address: str, path: str) -> None:
        self.address = address
        self.path = path
        self.waiting: dict[int, asyncio.Future] = {}
        self.http = HttpClient(asyncio.get_running_loop(), "", self._deliver, lambda *line: None)

    def _deliver(self, event: ev.Event, is_wanted: Callable[[], bool]) -> None:
        self.waiting.pop(event.call_id).set_result(event)

    async def request(self, number: int) -> float:
        """Make one request and return its duration in seconds."""
        name = f"r{number}"
        body = {"prompt_tokens": 8, "max_tokens": 8, "model": "talk", "request_id": name}
        headers = {"x-rooklug-route": "banter", "x-rooklug-request-id": name}
        begin = time.perf_counter()
        done = self.waiting[number] = asyncio.get_running_loop().create_future()
        data = json.dumps(body).encode()
        self.http.start(HttpCall(number, self.address, "POST", self.path, data, 10.0, headers))
        answer = await done
        assert getattr(answer, "status", 0) == 200, answer
        return time.perf_counter() - begin


async def load(client: Client, lines: int, requests: int) -> tuple[list[float], float]:
    """Make ``requests`` requests, ``lines`` at once; return the latencies in s and requests/s."""
    latencies: list[float] = []

    async def line(first: int) -> None:
        for number in range(first, requests, lines):
            latencies.append(await client.request(number))  # noqa: PERF401 - one after another

    begin = time.perf_counter()
    await asyncio.gather(*(line(first) for first in range(lines)))
    return latencies, requests / (time.perf_counter() - begin)


async def measure_hop(address: str, path: str) -> None:
    """Print the latency of single requests, and requests/s with ``CONCURRENCY`` at once."""
    await load(Client(address, path), 1, 50)
    latencies, _ = await load(Client(address, path), 1, HOP_REQUESTS)
    cuts = quantiles(latencies, n=100)
    _, rate = await load(Client(address, path), CONCURRENCY, HOP_REQUESTS * 4)
    print(f"{path}: p50 {cuts[49] * 1e3:.2f} ms, p99 {cuts[98] * 1e3:.2f} ms, {rate:.0f}/s")


async def serve(host: Host) -> None:
    """Run the host until its process is stopped."""
    await host.start()
    await host.stopped()


def main(mode: str, *arguments: str) -> None:
    """Run one mode of the command line (see the module's docstring)."""
    if mode == "reducer":
        measure_reducer()
    elif mode == "hop":
        asyncio.run(measure_hop(*arguments))
    else:
        asyncio.run(serve({"replica": start_replica, "front": start_front}[mode](*arguments)))


if __name__ == "__main__":
    main(*sys.argv[1:])
