"""A site as real processes: daemons, stand-ins, callers, and the faults between them."""

import asyncio
import hashlib
import shutil
import time
from pathlib import Path
from typing import Any

from rooklug.model.settings import NodeSettings
from rooklug_lab.deployment import Deployment
from rooklug_lab.fleet.client import (
    POLL_S,
    ConditionNotMetError,
    FleetClient,
    Reply,
    is_listening,
    wait_until,
)
from rooklug_lab.fleet.link_rules import LinkRules
from rooklug_lab.fleet.links import LinkEmulator
from rooklug_lab.fleet.process_cost import CostSample, read_cost
from rooklug_lab.fleet.processes import ManagedProcess
from rooklug_lab.fleet.site_processes import SiteProcesses, hidden
from rooklug_lab.standins.settings import OperatorStep

START_TIMEOUT_S = 60.0
ORDER_TIMEOUT_S = 30.0
FIRST_VERSION = 1


class Fleet:
    """Starts and stops everything of one deployment.

    With ``relayed`` all traffic between machines goes through the link emulator, and
    ``deployment`` must be built with hidden ports. Files live under ``folder``.
    """

    def __init__(
        self, deployment: Deployment, folder: Path, seed: int = 1, relayed: bool = True
    ) -> None:
        self.relayed = relayed
        self.deployment = deployment
        self.folder = folder
        self.client = FleetClient()
        self.rules = LinkRules(deployment.region_of_ip, deployment.one_way_delay_s)
        self.links = LinkEmulator(self.rules)
        self.site = SiteProcesses(deployment, folder, seed, relayed)
        self.processes = self.site.processes
        self.nodes = self.site.nodes
        self.operator_address = self.site.operator_address
        self.listening = self.site.listening
        self.next_version = FIRST_VERSION
        self.documents: dict[str, bytes] = {}
        self._opening: set[asyncio.Task] = set()

    # -- start and stop -----------------------------------------------------------

    async def start(self) -> None:
        """Start stand-ins and daemons, apply the first configuration, wait until all is ready."""
        for name in self.processes:
            self.start_process(name)
        self._open_standin_links()
        await self.wait_for(self._operator_answers, START_TIMEOUT_S, "the operator's stand-in")
        await self.apply("put", self.deployment.document)
        await self.wait_ready()

    def start_process(self, name: str) -> None:
        """Start one process, and its relays if it is a daemon."""
        process = self.processes[name]
        process.start()
        node = self.nodes.get(name)
        if node is None:
            return
        for advertised, listening in (
            (node.internal_address, node.listen_internal),
            (node.http_address, node.listen_http),
        ):
            task = asyncio.create_task(self._relay_when_listening(process, advertised, listening))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _relay_when_listening(
        self, process: ManagedProcess, advertised: str, listening: str
    ) -> None:
        """Refuse connections, as the kernel does, until this start of the process listens."""
        start = process.starts
        while process.running and process.starts == start:
            if await is_listening(listening):
                if process.running and process.starts == start:
                    self.relay(advertised, listening)
                return
            await asyncio.sleep(POLL_S)

    def relay(self, advertised: str, listening: str) -> None:
        """Let calls to an advertised address through to where its process listens."""
        if self.relayed:
            self.links.open(advertised, listening)

    def _open_standin_links(self) -> None:
        for address in self.site.standin_addresses():
            self.relay(address, hidden(address))

    async def start_callers(self, duration_s: float = 0.0) -> None:
        """Start the callers of all regions and wait until they answer."""
        self.site.add_callers(duration_s)
        for region in self.deployment.regions:
            self.start_process(f"callers-{region}")
        await self.wait_for(self._callers_answer, START_TIMEOUT_S, "the callers")

    async def stop(self) -> None:
        """Stop every process and relay, by process id."""
        for task in list(self._opening):
            task.cancel()
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            await asyncio.to_thread(process.wait_stopped)
        self.links.close_all()
        self.client.close()

    # -- conditions ---------------------------------------------------------------

    async def wait_for(self, condition: Any, timeout_s: float, what: str) -> float:
        """Wait for a condition; a process that died unasked ends the wait.

        Raises
        ------
        ConditionNotMetError
            It did not hold in time.
        """
        try:
            return await wait_until(condition, timeout_s, what)
        except ConditionNotMetError as problem:
            raise ConditionNotMetError(f"{problem}{self.describe_dead()}") from None

    def describe_dead(self) -> str:
        """Return what is known of processes that ended."""
        notes = [
            f"\n{process.name} ended with {process.exit_code}: {process.log_tail()}"
            for process in self.processes.values()
            if process.exit_code not in (None, -9)
        ]
        return "".join(notes)

    async def _operator_answers(self) -> bool:
        return (await self.client.request(self.operator_address, "/lab/journal")).status == 200

    async def _callers_answer(self) -> bool:
        replies = await asyncio.gather(
            *(
                self.client.request(caller.address, "/lab/journal")
                for caller in self.deployment.callers()
            )
        )
        return all(reply.status == 200 for reply in replies)

    async def wait_ready(self, names: list[str] | None = None, timeout_s: float = 60.0) -> float:
        """Wait until the fronts (all, or those named) are ready; return the seconds."""
        fronts = [node for node in self.deployment.fronts if names is None or node.node_id in names]

        replies: list[Reply] = []

        async def ready() -> bool:
            replies[:] = await self.ask_fronts("/v1/ready", fronts)
            return all(reply.status == 200 for reply in replies)

        try:
            return await self.wait_for(ready, timeout_s, f"{len(fronts)} fronts ready")
        except ConditionNotMetError as problem:
            last = [reply.body.decode(errors="replace") for reply in replies]
            raise ConditionNotMetError(f"{problem}: {last}") from None

    async def ask_fronts(
        self, path: str, fronts: list[NodeSettings] | tuple[NodeSettings, ...] | None = None
    ) -> list[Reply]:
        """Ask all fronts (or some) directly, past the relays."""
        chosen = self.deployment.fronts if fronts is None else fronts
        requests = [self.client.request(front.listen_http, path) for front in chosen]
        return list(await asyncio.gather(*requests))

    async def status(self) -> dict[str, Any]:
        """Return ``GET /v1/status`` of the first front that answers."""
        for front in self.deployment.fronts:
            if not self.processes[front.node_id].running or self.processes[front.node_id].frozen:
                continue
            reply = await self.client.request(front.listen_http, "/v1/status")
            if reply.status == 200:
                return reply.json()
        return {}

    async def primary(self) -> str:
        """Return the node id of the primary core ("" if nobody knows)."""
        return (await self.status()).get("primary", "")

    async def role_owner(self, role_key: str) -> str:
        """Return the node that holds a singleton role ("" if nobody does)."""
        for owner in (await self.status()).get("role_owners", []):
            if owner.get("role_key") == role_key:
                return owner.get("node_id", "")
        return ""

    # -- operators' orders --------------------------------------------------------

    async def apply(self, kind: str, document: bytes = b"", zone: str = "") -> int:
        """Let the operator give an order and wait for its end; return the version used.

        Raises
        ------
        ConditionNotMetError
            It was not acknowledged.
        """
        version = 0
        if kind in ("put", "patch"):
            version = self.next_version
            self.next_version += 1
        step = OperatorStep(0.0, kind, version, document, zone)
        change = await self.settled(await self.order(step))
        if change["outcome"] != "done":
            raise ConditionNotMetError(f"order {kind} {version} {zone}: {change}")
        return version

    async def order(self, step: OperatorStep) -> int:
        """Let the operator give an order; return its number in the operator's journal."""
        if step.kind == "put":
            self.documents[hashlib.sha256(step.document).hexdigest()] = step.document
        body = {
            "kind": step.kind,
            "version": step.version,
            "document": step.document.decode(),
            "zone": step.zone,
        }
        reply = await self.client.request(self.operator_address, "/lab/order", "POST", body)
        return reply.json()["change"]

    async def settled(self, number: int) -> dict[str, Any]:
        """Wait for the end of an order; return its record in the operator's journal.

        Raises
        ------
        ConditionNotMetError
            It had no end in time.
        """
        changes: list[dict[str, Any]] = []

        async def has_ended() -> bool:
            changes[:] = (await self.journal(self.operator_address)).get("changes", [])
            return len(changes) > number and changes[number]["outcome"] != "pending"

        await self.wait_for(has_ended, ORDER_TIMEOUT_S, f"order {number} has an end")
        return changes[number]

    async def journal(self, address: str) -> dict[str, Any]:
        """Return a stand-in's journal ({} if it doesn't answer)."""
        reply = await self.client.request(address, "/lab/journal", timeout_s=20.0)
        return reply.json() if reply.status == 200 else {}

    async def lab(self, address: str, path: str, body: Any) -> Reply:
        """Control a stand-in by its ``/lab/`` paths (``address`` is the advertised one)."""
        return await self.client.request(self.listening(address), path, "POST", body)

    # -- faults -------------------------------------------------------------------

    def kill(self, name: str) -> None:
        """Kill a daemon (SIGKILL); its addresses refuse from now on."""
        node = self.nodes[name]
        self.processes[name].kill()
        self.links.close(node.internal_address)
        self.links.close(node.http_address)

    async def stop_gracefully(self, name: str) -> None:
        """Ask a daemon to stop (SIGTERM), and wait until it has; then its addresses refuse."""
        process = self.processes[name]
        process.terminate()
        await asyncio.to_thread(process.wait_stopped)
        self.links.close(self.nodes[name].internal_address)
        self.links.close(self.nodes[name].http_address)

    def lose_disk(self, name: str) -> None:
        """Delete the data folder of a core that is down."""
        shutil.rmtree(self.folder / f"{name}.data")

    def freeze(self, name: str) -> None:
        """Stop a daemon in its tracks (SIGSTOP); its connections stay open."""
        self.processes[name].freeze()

    def thaw(self, name: str) -> None:
        """Let a frozen daemon go on."""
        self.processes[name].thaw()

    def front_beside(self, name: str) -> str:
        """Return the front on the machine of a daemon."""
        ip = self.nodes[name].bind_ip
        return next(front.node_id for front in self.deployment.fronts if front.bind_ip == ip)

    def daemons_of_zone(self, zone: str) -> list[str]:
        """Return the daemons whose machine is in ``zone``."""
        return [name for name, node in self.nodes.items() if node.zone == zone]

    def costs(self) -> CostSample:
        """Return what each daemon has used so far."""
        running = {
            name: process
            for name, process in self.processes.items()
            if name in self.nodes and process.running
        }
        read = {name: read_cost(process.process.pid) for name, process in running.items()}
        return CostSample(
            at_s=self.now(),
            costs={name: cost for name, cost in read.items() if cost is not None},
            starts={name: process.starts for name, process in running.items()},
        )

    def now(self) -> float:
        """Return the monotonic time, which all processes of a machine share."""
        return time.monotonic()
