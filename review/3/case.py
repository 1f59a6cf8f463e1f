"""An invalid configuration must be refused; it must not end the core's processes."""

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


async def case(record: Record, *, trouble: bool) -> bool:
    """Return whether fewer than three processes of the core ended by themselves."""
    async with Stage(record) as stage:
        stage.listed.append(entry("i-0", SERVICE, stage.replica_address(), "cai-nasr"))
        routes = [route("slip-lookup", "/lookup/", SERVICE)]
        first = document(1, routes, [service(SERVICE)])
        if await stage.configure(first, 0) != 200:
            raise CouldNotRunError("the first configuration was not acknowledged")
        await stage.until_ready()
        await asyncio.sleep(5.0)

        # Without the disruption the operator sends a valid configuration instead.
        name = "\ud83d" if trouble else "\U0001f4b6"
        second = document(2, [*routes, route(name, "/extra/", SERVICE)], [service(SERVICE)])
        body = json.dumps(second).encode()
        record("operator", f"the name of the new route is {json.dumps(name)}")
        headers = {"X-Base-Version": "1", "Content-Type": "application/json"}
        status = await stage.order("/api/configuration/replace", body, headers, ORDER_S)
        record("operator", f"the configuration got the clear answer {status}")
        if not trouble and status != 200:
            raise CouldNotRunError("the valid configuration was not acknowledged")
        await asyncio.sleep(2.0)
        for machine in stage.cores:
            read = await call(machine.address("control"), "GET", "/api/configuration/get", b"", {})
            record("operator", f"GET at {machine.name}: {read[0] if read else 'no answer'}")
        ends = {m.name: [code for role, code in m.exits if role == "core"] for m in stage.cores}
        record("script", f"Fault: exit codes of the core's processes: {ends}")
        on = sum(1 for codes in ends.values() if codes)
        return not (sum(map(len, ends.values())) >= 3 and on >= 2)


if __name__ == "__main__":
    sys.exit(play(case, FOLDER))
