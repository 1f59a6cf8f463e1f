"""One run of a scenario: traffic, changes in the background, faults, and the evidence."""

import asyncio
import contextlib
import json
import time
from random import Random
from typing import Any

from rooklug.cli.operator_client import OperatorClient
from rooklug.runbooks.catalogue import RUNBOOKS
from rooklug.runbooks.runner import Operator, RunbookRunner
from rooklug.runbooks.site import Site
from rooklug_lab.fleet.client import ConditionNotMetError, wait_until
from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.fleet.link_rules import LinkRule
from rooklug_lab.fleet.process_cost import cost_by_role
from rooklug_lab.fleet.warm_up import wait_until_warm
from rooklug_lab.oracles.configuration import LAG_LIMIT_S, OBSERVATION_TOLERANCE_S
from rooklug_lab.oracles.evidence import Evidence, Fault, ReadBack
from rooklug_lab.standins.journals import read_journal
from rooklug_lab.standins.records import (
    BackendJournal,
    CallerJournal,
    OperatorJournal,
    PlatformJournal,
    ReplicaJournal,
)
from rooklug_lab.standins.settings import OperatorStep

DRAIN_TIMEOUT_S = 40.0
CHANGE_INTERVAL_S = 2.0
STEADY_S = 5.0
WATCH_S = 0.5
INVALID_STATUS = 400
FIRST_SERVED = 10


class ScenarioRun:
    """Gives a scenario's action a fleet under traffic, and notes the faults it causes."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(seed)
        self.faults: list[Fault] = []
        self.traffic_started_s = 0.0
        self.traffic_ended_s = 0.0
        self.problems: list[str] = []
        self.costs: dict[str, dict[str, float]] = {}
        self._changes = 0
        self._changes_stop = asyncio.Event()
        self._changing: asyncio.Task | None = None

    # -- traffic and changes --------------------------------------------------------

    async def start(self) -> None:
        """Start the site, its traffic, and a patch every two seconds."""
        await self.fleet.start()
        await wait_until_warm(self.fleet)
        await self.start_traffic()
        await asyncio.sleep(STEADY_S)
        self._changing = asyncio.create_task(self._change_again_and_again())

    async def start_traffic(self) -> None:
        """Start the callers and wait until some of their requests are served."""
        await self.fleet.start_callers()
        await self.fleet.wait_for(self._traffic_flows, DRAIN_TIMEOUT_S, "first requests served")
        self.traffic_started_s = self.fleet.now()
        self._costs_at_start = self.fleet.costs()

    async def _traffic_flows(self) -> bool:
        journals = await self._caller_journals()
        served = [r for j in journals for r in j["requests"] if r["outcome"] == "done"]
        return len(served) >= FIRST_SERVED

    async def _caller_journals(self) -> list[dict[str, Any]]:
        callers = self.fleet.deployment.callers()
        return [await self.fleet.journal(caller.address) for caller in callers]

    async def _change_again_and_again(self) -> None:
        while not self._changes_stop.is_set():
            await self.change()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changes_stop.wait(), CHANGE_INTERVAL_S)

    async def change(self) -> bool:
        """Patch a limit; return whether it was acknowledged (else it is noted as a problem)."""
        self._changes += 1
        share = round(0.1 + 0.001 * (self._changes % 50), 4)
        patch = json.dumps({"limits": {"retry_share": share}}).encode()
        return await self._apply("patch", patch)

    async def replace_document(self) -> bool:
        """Send a whole new document, spelled in a way of its own, for the reading back."""
        self._changes += 1
        document = json.loads(self.fleet.deployment.document)
        document["limits"] = {"retry_share": round(0.1 + 0.0001 * self._changes, 5)}
        return await self._apply("put", json.dumps(document, indent=3).encode())

    async def expect_refusal(self, patch: bytes) -> None:
        """Send an invalid patch under the next number; that it is taken is a problem."""
        version = self.fleet.next_version
        number = await self.fleet.order(OperatorStep(0.0, "patch", version, patch))
        change = await self.fleet.settled(number)
        if change["last_status"] != INVALID_STATUS:
            self.problems.append(f"an invalid patch got {change['last_status']}, not a refusal")
            await self._catch_up()

    async def _apply(self, kind: str, document: bytes) -> bool:
        try:
            await self.fleet.apply(kind, document)
        except ConditionNotMetError as problem:
            self.problems.append(f"{kind}: {problem}"[:500])
            await self._catch_up()
            return False
        return True

    async def _catch_up(self) -> None:
        """After a change without an answer: go on from the version that is in force."""
        read_back = await self._read_back()
        if read_back is not None:
            self.fleet.next_version = read_back.version + 1

    async def stop_changes(self) -> None:
        """End the background changes once the one under way has ended."""
        self._changes_stop.set()
        if self._changing is not None:
            await self._changing
            self._changing = None

    async def check_reads_back(self) -> None:
        """Wait until the newest acknowledged document can be read, exactly as it was sent."""
        version = self.fleet.next_version - 1

        async def readable() -> bool:
            read_back = await self._read_back()
            return read_back is not None and read_back.version >= version

        try:
            await wait_until(readable, DRAIN_TIMEOUT_S, f"configuration {version} is readable")
        except ConditionNotMetError as problem:
            self.problems.append(str(problem))
            return
        read_back = await self._read_back()
        sent = self.fleet.documents.get(read_back.digest)
        if sent is not None and sent != read_back.document:
            self.problems.append(f"configuration {version} isn't read back as it was sent")

    async def run_runbook(self, name: str, **values: str) -> None:
        """Run a runbook with all its steps confirmed; that it stops is a problem."""
        fronts = tuple(self.fleet.listening(a) for a in self.fleet.deployment.front_addresses())
        site = Site(OperatorClient(fronts), time.monotonic)
        lines: list[str] = []
        operator = Operator(lines.append, lambda question: True)
        if not await RunbookRunner(site, operator).run(RUNBOOKS[name], values):
            self.problems.append(f"runbook {name} stopped: {'; '.join(lines)}")

    # -- faults ---------------------------------------------------------------------

    def begin(self, kind: str, *targets: str) -> list[Fault]:
        """Note that a fault of these targets begins now."""
        begun = [Fault(kind, target, self.fleet.now()) for target in targets]
        self.faults += begun
        return begun

    def end(self, faults: list[Fault]) -> None:
        """Note that the faults are over: what was down is started, what was cut is joined."""
        for fault in faults:
            fault.ended_s = self.fleet.now()

    def silence(self, kind: str, rules: tuple[LinkRule, ...], *targets: str) -> list[Fault]:
        """Put link rules in force as a fault."""
        self.fleet.rules.add(*rules)
        return self.begin(kind, *targets)

    def heal(self, rules: tuple[LinkRule, ...], faults: list[Fault]) -> None:
        """Lift link rules; the fault is over."""
        self.fleet.rules.remove(*rules)
        self.end(faults)

    # -- the end --------------------------------------------------------------------

    async def finish(self) -> bool:
        """Stop the traffic, wait until all requests have ended, then send a last document.

        Tells whether that was acknowledged, so that it must be what is read back.
        """
        await self.stop_changes()
        self.traffic_ended_s = self.fleet.now()
        roles = {name: node.role for name, node in self.fleet.nodes.items()}
        self.costs = cost_by_role(self._costs_at_start, self.fleet.costs(), roles)
        for caller in self.fleet.deployment.callers():
            await self.fleet.client.request(caller.address, "/lab/stop", "POST", {})
        await self._drain()
        return await self.replace_document()

    async def _drain(self) -> None:
        async def drained() -> bool:
            journals = await self._caller_journals()
            return all(r["outcome"] != "pending" for j in journals for r in j["requests"])

        try:
            await wait_until(drained, DRAIN_TIMEOUT_S, "all requests ended")
        except ConditionNotMetError as problem:
            self.problems.append(str(problem))

    async def gather(self, read_back_expected: bool) -> Evidence:
        """Watch the fronts for as long as the last change may take, then read all journals."""
        await asyncio.sleep(LAG_LIMIT_S + OBSERVATION_TOLERANCE_S + WATCH_S)
        fleet, site = self.fleet, self.fleet.deployment
        routes = json.loads(site.document)["routes"]
        operator = await self._read(OperatorJournal, fleet.operator_address)
        callers = [await self._read(CallerJournal, each.address) for each in site.callers()]
        replicas = [
            await self._read(ReplicaJournal, fleet.listening(r.address)) for r in site.replicas
        ]
        backends = [
            await self._read(BackendJournal, fleet.listening(b.address)) for b in site.backends
        ]
        return Evidence(
            callers=callers,
            replicas=replicas,
            backends=backends,
            platform=await self._read(PlatformJournal, fleet.listening(site.platform.address)),
            operators=[operator],
            faults=self.faults,
            homes={name: tuple(route.get("home_regions", ())) for name, route in routes.items()},
            zone_of_backend={backend.replica_id: backend.zone for backend in site.backends},
            region_of_backend={backend.replica_id: backend.region for backend in site.backends},
            name_of_front={front.http_address: front.node_id for front in site.fronts},
            documents=fleet.documents,
            read_back=await self._read_back(),
            read_back_expected=read_back_expected,
            traffic_started_s=self.traffic_started_s,
            traffic_ended_s=self.traffic_ended_s,
        )

    async def _read(self, journal_type: type, address: str) -> Any:
        return read_journal(journal_type, await self.fleet.journal(address))

    async def _read_back(self) -> ReadBack | None:
        replies = await self.fleet.ask_fronts("/v1/config")
        for reply in replies:
            if reply.status == 200:
                version = int(reply.headers.get("x-rooklug-version", "0"))
                return ReadBack(version, reply.body, reply.headers.get("x-rooklug-digest", ""))
        return None
