"""Requests at seeded times, whether or not earlier ones have been answered.

Latency counts from the time a request was due, so a stall isn't hidden by requests that
were not made meanwhile.
"""

import asyncio
import json
from random import Random

import attrs
from hdrh.histogram import HdrHistogram
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
CONNECTIONS = 2000
TIMEOUT_S = 60.0
US_PER_S = 1_000_000


@attrs.frozen
class LoadShape:
    """What is asked: ``rate_per_s`` arrivals a target for ``seconds``, sizes, and bursts.

    In the first ``burst_s`` of every ``burst_every_s`` the rate is ``burst_factor`` times as
    high (1: no bursts).
    """

    rate_per_s: float
    seconds: float
    prompt_bytes: int = 1000
    prompt_tokens: int = 250
    max_tokens: int = 64
    burst_factor: float = 1.0
    burst_every_s: float = 5.0
    burst_s: float = 1.0

    def rate_at(self, at_s: float) -> float:
        """Return the arrival rate at a time since the start."""
        in_burst = at_s % self.burst_every_s < self.burst_s
        return self.rate_per_s * (self.burst_factor if in_burst else 1.0)


def arrival_times(shape: LoadShape, random: Random) -> list[float]:
    """Return seeded arrival times, exponentially spaced at the rate of their moment."""
    times = []
    at_s = random.expovariate(shape.rate_at(0.0))
    while at_s < shape.seconds:
        times.append(at_s)
        at_s += random.expovariate(shape.rate_at(at_s))
    return times


@attrs.define
class LoadTarget:
    """Where requests go: straight to a replica, or through a front."""

    name: str
    url: str
    latency_us: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )
    first_byte_us: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    )
    served: int = 0
    failures: dict[str, int] = attrs.field(factory=dict)

    def failed(self, reason: str) -> None:
        """Count a request that was not served."""
        self.failures[reason] = self.failures.get(reason, 0) + 1


class OpenLoop:
    """Sends the same shape of load to several targets at once."""

    def __init__(self, shape: LoadShape, route: str, model: str, seed: int) -> None:
        self._shape = shape
        self._route = route
        self._model = model
        self._random = Random(seed)
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=CONNECTIONS)
        self._tasks: set[asyncio.Task] = set()

    async def run(self, targets: list[LoadTarget]) -> float:
        """Send all requests, wait for all answers; return the seconds that took."""
        schedule = [
            (at_s, index, target)
            for index, target in enumerate(targets)
            for at_s in arrival_times(self._shape, self._random)
        ]
        schedule.sort(key=lambda entry: (entry[0], entry[1]))
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for number, (at_s, _, target) in enumerate(schedule):
            due_s = started_s + at_s
            if due_s > loop.time():
                await asyncio.sleep(due_s - loop.time())
            task = asyncio.create_task(self._request(target, number, due_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        elapsed_s = loop.time() - started_s
        self._client.close()
        return elapsed_s

    async def _request(self, target: LoadTarget, number: int, due_s: float) -> None:
        loop = asyncio.get_running_loop()
        chunks: list[tuple[float, bytes]] = []
        request = HTTPRequest(
            target.url,
            method="POST",
            headers={
                "Content-Type": "application/json",
                "x-rooklug-route": self._route,
                "x-rooklug-request-id": f"load-{number}.",
            },
            body=self._body(number),
            request_timeout=TIMEOUT_S,
            streaming_callback=lambda data: chunks.append((loop.time(), data)),
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except Exception as problem:
            target.failed(type(problem).__name__)
            return
        self._note(target, response.code, chunks, due_s, loop.time())

    def _note(
        self,
        target: LoadTarget,
        status: int,
        chunks: list[tuple[float, bytes]],
        due_s: float,
        now: float,
    ) -> None:
        complete = chunks and b'"end":true' in b"".join(data for _, data in chunks).replace(
            b" ", b""
        )
        if status != 200 or not complete:
            target.failed(str(status) if status != 200 else "incomplete")
            return
        target.served += 1
        target.latency_us.record_value(int((now - due_s) * US_PER_S))
        target.first_byte_us.record_value(int((chunks[0][0] - due_s) * US_PER_S))

    def _body(self, number: int) -> bytes:
        shape = self._shape
        return json.dumps(
            {
                "request_id": f"load-{number}.",
                "model": self._model,
                "prompt_tokens": shape.prompt_tokens,
                "max_tokens": shape.max_tokens,
                "prompt_parts": [],
                "prompt": "x" * shape.prompt_bytes,
                "stream": True,
            }
        ).encode()
