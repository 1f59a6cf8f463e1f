"""Brings a fresh site past its cold start with a trickle of requests of each kind."""

import asyncio
import itertools
import json

import attrs

from rooklug_lab.fleet.client import FleetClient, Reply, wait_until
from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.standins.settings import RouteLoad

WARM_TIMEOUT_S = 60.0
SLOW_START_S = 10.0
REQUEST_TIMEOUT_S = 15.0
WARM_UP_TOKENS = 16


@attrs.frozen
class Probe:
    """One route asked at one front, in the region where the front is."""

    load: RouteLoad
    front_address: str
    region: str


class WarmUp:
    """Rounds of one request a route and region, until the site is past its cold start."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        site = fleet.deployment
        self._probes = [
            Probe(load, site.front_addresses(region)[0], region)
            for region in site.regions
            for load in site.loads
        ]
        self._unserved = set(self._probes)
        self._numbers = itertools.count(1)
        self._first_served_s: float | None = None

    async def is_over(self) -> bool:
        """Run one round; return whether all is served, slow start is over, and nothing is cold."""
        wanted = [
            probe for probe in self._probes if probe in self._unserved or probe.load.kind != "once"
        ]
        replies = await asyncio.gather(
            *(_ask(self._fleet.client, probe, next(self._numbers)) for probe in wanted)
        )
        for probe, reply in zip(wanted, replies, strict=True):
            if reply.status == 200:
                self._unserved.discard(probe)
                self._first_served_s = self._first_served_s or self._fleet.now()
        if self._unserved or self._first_served_s is None:
            return False
        ramped = self._fleet.now() - self._first_served_s >= SLOW_START_S
        return ramped and not await self._any_cold()

    async def _any_cold(self) -> bool:
        fleet = self._fleet
        replies = await asyncio.gather(
            *(
                fleet.client.request(fleet.listening(replica.address), "/api/report")
                for replica in fleet.deployment.replicas
            )
        )
        reports = [reply.json() for reply in replies if reply.status == 200]
        return any(report["models"] and report["cold"] for report in reports)


async def wait_until_warm(fleet: Fleet) -> float:
    """Wait until every route is served in every region and no loaded replica is cold.

    Returns the seconds that took.

    Raises
    ------
    ConditionNotMetError
        It did not come to that in time.
    """
    return await wait_until(WarmUp(fleet).is_over, WARM_TIMEOUT_S, "the site is warm")


async def _ask(client: FleetClient, probe: Probe, number: int) -> Reply:
    reply = await _send(client, probe, number, probe.front_address)
    if reply.status == 307:
        target = reply.headers.get("location", "").removeprefix("http://").partition("/")[0]
        reply = await _send(client, probe, number, target)
    return reply


async def _send(client: FleetClient, probe: Probe, number: int, address: str) -> Reply:
    headers = {
        "Content-Type": "application/json",
        "x-rooklug-route": probe.load.route,
        "x-rooklug-region": probe.region,
        "x-rooklug-request-id": f"warm-up-{number}.",
    }
    if probe.load.kind == "once":
        headers["x-rooklug-key"] = f"warm-up-{number}"
        return await _post(client, address, "/v1/once", {"payload": number}, headers)
    body = {
        "prompt_tokens": WARM_UP_TOKENS,
        "max_tokens": WARM_UP_TOKENS,
        "prompt_parts": [],
        "prompt": "warm up",
        "stream": False,
    }
    return await _post(client, address, "/v1/generate", body, headers)


async def _post(
    client: FleetClient, address: str, path: str, body: dict, headers: dict[str, str]
) -> Reply:
    data = json.dumps(body).encode()
    return await client.request(address, path, "POST", data, REQUEST_TIMEOUT_S, headers)
