"""A configuration that can't be taken must be refused; it must not end the core's processes.

Two configurations are sent, one after the other: an invalid one, which has half of a character in
a name, and one whose version is a time stamp of 20 digits.
"""

import asyncio
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stage import (  # noqa: E402
    CouldNotRunError,
    Record,
    Stage,
    call,
    document,
    entry,
    play,
    route,
    service,
)

SERVICE = "ledger-api"
ORDER_S = 8.0
SETTLE_S = 20
HALF_CHARACTER, WHOLE_CHARACTER = "\ud83d", "\U0001f4b6"
LONG_VERSION, SHORT_VERSION = 20261204030000123456, 20261204


async def newest_version(stage: Stage) -> int:
    """Return the version that a core reads back; wait until one does."""
    for _ in range(SETTLE_S):
        for machine in stage.cores:
            read = await call(machine.address("control"), "GET", "/api/configuration/get", b"", {})
            if read and read[0] == 200:
                return json.loads(read[2])["version"]
        await asyncio.sleep(1.0)
    raise CouldNotRunError("no core reads the configuration back")


async def ends_after(stage: Stage, configuration: dict, base: int) -> dict[str, list[int]]:
    """Send a configuration; return the exit codes of the core's processes until 2 s later."""
    before = {machine.name: len(machine.exits) for machine in stage.cores}
    body = json.dumps(configuration).encode()
    names = [json.dumps(item["name"]) for item in configuration["routes"]]
    stage.record("operator", f"sends version {configuration['version']}, routes {names}")
    headers = {"X-Base-Version": str(base), "Content-Type": "application/json"}
    status = await stage.order("/api/configuration/replace", body, headers, ORDER_S)
    stage.record("operator", f"the configuration got the clear answer {status}")
    await asyncio.sleep(2.0)
    ends = {
        machine.name: [
            code for role, code in machine.exits[before[machine.name] :] if role == "core"
        ]
        for machine in stage.cores
    }
    stage.record("script", f"Fault: exit codes of the core's processes: {ends}")
    return ends


def breaks_the_rule(ends: dict[str, list[int]]) -> bool:
    """Return whether processes ended three times, on half of the core's machines or more."""
    return sum(map(len, ends.values())) >= 3 and sum(1 for codes in ends.values() if codes) >= 2


async def case(record: Record, *, trouble: bool) -> bool:
    """Return whether the core's processes went on after both configurations."""
    async with Stage(record) as stage:
        stage.listed.append(entry("i-0", SERVICE, stage.replica_address(), "cai-nasr"))
        routes = [route("slip-lookup", "/lookup/", SERVICE)]
        services = [service(SERVICE)]
        if await stage.configure(document(1, routes, services), 0) != 200:
            raise CouldNotRunError("the first configuration was not acknowledged")
        await stage.until_ready()
        await asyncio.sleep(5.0)

        name = HALF_CHARACTER if trouble else WHOLE_CHARACTER
        added = [*routes, route(name, "/extra/", SERVICE)]
        first = await ends_after(stage, document(2, added, services), 1)
        base = await newest_version(stage)
        await asyncio.sleep(5.0)
        version = LONG_VERSION if trouble else SHORT_VERSION
        second = await ends_after(stage, document(version, routes, services), base)
        if not trouble and await newest_version(stage) != version:
            raise CouldNotRunError("the valid configurations were not taken")
        return not (breaks_the_rule(first) or breaks_the_rule(second))


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
