"""Starts a hollow deployment: real cores, controllers and one front, the rest hollow."""

import asyncio
import math
import os
import time
from collections import Counter
from pathlib import Path
from typing import Any

import attrs

from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug_lab.fleet.client import FleetClient, wait_until
from rooklug_lab.fleet.processes import ManagedProcess
from rooklug_lab.fleet.settings_files import core_toml, node_toml
from rooklug_lab.hollow.figures_endpoint import FIGURES_PATH, STANDING_PATH
from rooklug_lab.hollow.metrics_text import read_metrics
from rooklug_lab.hollow.process import FRONTS, REPLICAS, HollowSpec
from rooklug_lab.hollow.site import HollowSite
from rooklug_lab.standins.process import StandinSpec, spec_json

FRONTS_A_PROCESS = 33
REPLICAS_A_PROCESS = 210
START_TIMEOUT_S = 90.0
CHANGE_TIMEOUT_S = 40.0
REAL_FRONTS = 1


@attrs.frozen
class ProcessUse:
    """Processor seconds and resident bytes of a process, from its entry in /proc."""

    processor_s: float
    resident_bytes: int


def process_use(pid: int) -> ProcessUse:
    """Read the use of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])  # utime, stime (proc_pid_stat(5))
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return ProcessUse(ticks / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE"))


class HollowFleet:
    """All processes of one hollow deployment; ``stop`` ends every one by its id."""

    def __init__(self, site: HollowSite, folder: Path) -> None:
        self.site = site
        self.folder = folder
        self.client = FleetClient()
        self.processes: dict[str, ManagedProcess] = {}
        self.nodes: dict[str, NodeSettings] = {}
        self.desks: dict[str, str] = {}
        self.version = 0
        folder.mkdir(parents=True, exist_ok=True)
        self._add_daemons()
        self._add_hollow(FRONTS, REAL_FRONTS, len(site.fronts), FRONTS_A_PROCESS)
        self._add_hollow(REPLICAS, 0, len(site.replicas), REPLICAS_A_PROCESS)
        self._add_platform()

    # -- processes --------------------------------------------------------------------

    def _add_daemons(self) -> None:
        for core in self.site.cores:
            folder = str(self.folder / f"{core.node.node_id}.data")
            node = attrs.evolve(core.node, data_folder=folder, log_level="warning")
            self._add_daemon(node, core_toml(CoreSettings(node, core.members)))
        for node in (*self.site.controllers, *self.site.fronts[:REAL_FRONTS]):
            quiet = attrs.evolve(node, log_level="warning")
            self._add_daemon(quiet, node_toml(quiet))

    def _add_daemon(self, node: NodeSettings, text: str) -> None:
        file = self.folder / f"{node.node_id}.toml"
        file.write_text(text)
        self.nodes[node.node_id] = node
        self._add(node.node_id, ["-m", "rooklug.cli.main", node.role, "--settings", str(file)])

    def _add_hollow(self, kind: str, first: int, last: int, at_most: int) -> None:
        count = math.ceil((last - first) / at_most)
        for part in range(count):
            number = len(self.desks)
            spec = HollowSpec(
                kind=kind,
                fronts=self.site.size.fronts,
                replicas=self.site.size.replicas,
                subnet=self.site.subnet,
                first=first + (last - first) * part // count,
                last=first + (last - first) * (part + 1) // count,
                number=number,
            )
            name = f"hollow-{kind}-{part}"
            self.desks[name] = self.site.desk_address(number)
            self._add(name, ["-m", "rooklug_lab.cli", "hollow-process", spec.text()])

    def _add_platform(self) -> None:
        platform = self.site.platform
        ip = platform.address.partition(":")[0]
        file = self.folder / "platform.json"
        file.write_text(spec_json([StandinSpec("platform", platform.address, ip, 1, platform)]))
        self._add("platform", ["-m", "rooklug_lab.cli", "standin", str(file)])

    def _add(self, name: str, arguments: list[str]) -> None:
        self.processes[name] = ManagedProcess(name, arguments, self.folder / f"{name}.log")

    @property
    def front_processes(self) -> list[str]:
        """The names of the processes with hollow fronts."""
        return [name for name in self.desks if name.startswith(f"hollow-{FRONTS}")]

    @property
    def operator_front(self) -> NodeSettings:
        """The real front, which operators' orders go to."""
        return self.site.fronts[0]

    async def start(self) -> None:
        """Start everything, apply the configuration, wait until all fronts serve under it."""
        for process in self.processes.values():
            process.start()
        await wait_until(self._desks_answer, START_TIMEOUT_S, "the hollow processes")
        await wait_until(self._first_document, START_TIMEOUT_S, "the first configuration")
        await self.wait_in_force(self.version, START_TIMEOUT_S)

    async def stop(self) -> None:
        """End every process that was started, by its id."""
        for process in self.processes.values():
            process.kill()
        self.client.close()

    async def _desks_answer(self) -> bool:
        replies = await asyncio.gather(*(self._desk(name) for name in self.desks))
        return all(replies)

    async def _first_document(self) -> bool:
        reply = await self._order("PUT", "/v1/config/1", self.site.document)
        self.version = 1
        return reply == 200

    # -- reading ----------------------------------------------------------------------

    async def _desk(self, name: str, path: str = FIGURES_PATH) -> dict[str, Any]:
        reply = await self.client.request(self.desks[name], path, timeout_s=20.0)
        return reply.json() if reply.status == 200 else {}

    async def desk_figures(self, names: list[str]) -> list[dict[str, Any]]:
        """Return what the named hollow processes say of themselves."""
        return list(await asyncio.gather(*(self._desk(name) for name in names)))

    async def fronts(self) -> list[dict[str, Any]]:
        """Return the figures of every hollow front that answers."""
        figures = await self.desk_figures(self.front_processes)
        return [node for process in figures for node in process.get("nodes", [])]

    async def standing(self, key: str) -> Counter:
        """Return counts of fronts, by version ("serving") or placer ("placers")."""
        names = self.front_processes
        answers = await asyncio.gather(*(self._desk(name, STANDING_PATH) for name in names))
        total: Counter = Counter()
        for answer in answers:
            total.update(answer.get(key, {}))
        return total

    async def metrics(self, name: str) -> dict[str, float]:
        """Return a daemon's metrics, {} while it doesn't answer."""
        reply = await self.client.request(self.nodes[name].http_address, "/metrics")
        return read_metrics(reply.body.decode()) if reply.status == 200 else {}

    def use(self, name: str) -> ProcessUse | None:
        """Return a process's use, None while it isn't running."""
        process = self.processes[name]
        return process_use(process.process.pid) if process.running else None

    async def primary(self) -> str:
        """Return the node id of the primary core ("" while there is none)."""
        for core in self.site.cores:
            figures = await self.metrics(core.node.node_id)
            if figures.get("rooklug_acts_as_primary"):
                return core.node.node_id
        return ""

    # -- orders and conditions --------------------------------------------------------

    async def _order(self, method: str, path: str, body: bytes) -> int:
        address = self.operator_front.http_address
        reply = await self.client.request(address, path, method, body, timeout_s=10.0)
        return reply.status

    async def change(self) -> tuple[float, float]:
        """Change one route by a patch; return when it was sent and acknowledged.

        An order without a clear answer is sent again, as operators do.
        """
        version = self.version + 1
        route = self.site.routes[version % len(self.site.routes)].name
        body = f'{{"routes":{{"{route}":{{"deadline_s":{30 + version / 1000}}}}}}}'.encode()
        path = f"/v1/config/{version}?base={self.version}"
        sent = time.monotonic()

        async def acknowledged() -> bool:
            return await self._order("PATCH", path, body) == 200

        await wait_until(acknowledged, CHANGE_TIMEOUT_S, f"change {version}")
        self.version = version
        return sent, time.monotonic()

    async def wait_in_force(self, version: int, timeout_s: float = CHANGE_TIMEOUT_S) -> None:
        """Wait until every hollow front is connected and serves under ``version`` with a plan."""
        wanted = len(self.site.fronts) - REAL_FRONTS

        async def in_force() -> bool:
            serving = await self.standing("serving")
            return sum(n for held, n in serving.items() if int(held) >= version) == wanted

        await wait_until(in_force, timeout_s, f"version {version} at {wanted} fronts")
