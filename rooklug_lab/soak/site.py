"""The processes of a soak: started by the deploy file's ``run`` lines, on loopback addresses."""

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import sys
import tomllib
from pathlib import Path
from random import Random

import attrs

from rooklug_lab.soak.ledger import Ledger, ProcessEnd

ROOT = Path(__file__).resolve().parent.parent.parent
PLATFORM_FOLDER = ROOT / "platform"
if str(PLATFORM_FOLDER) not in sys.path:
    sys.path.insert(0, str(PLATFORM_FOLDER))

from adapter import outside  # noqa: E402

ZONES = {"zone-a": "north", "zone-b": "south", "zone-c": "north"}
CORES = 3
GRACE_S = 8.0
RESTART_DELAY_S = 0.4
START_SPREAD_S = 0.3
INTERNAL_PORTS = 16
_PORT_OFFSETS = {"front": 0, "ready": 1, "directory": 2, "control": 3, "platform": 4, "replica": 5}
_FIRST_INTERNAL_OFFSET = 20
_PORTS_A_SITE = 40


class NoFreePortsError(Exception):
    """No range of ports was free on the site's addresses; end other soaks or try again."""


@attrs.define(eq=False)
class Process:
    """One process, which is started again whenever it ends, until the site is stopped.

    ``expected_end`` is set while a signal of the soak is to end it; ``started_at`` is in seconds
    since the soak's start. ``may_hang_up`` is set once it got SIGHUP while it may not have run its
    first line, before which that signal ends any process.
    """

    name: str
    role: str
    ip: str
    zone: str
    starts: int = 0
    started_at: float = 0.0
    may_hang_up: bool = False
    expected_end: bool = False
    handle: asyncio.subprocess.Process | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process runs now, frozen or not."""
        return self.handle is not None and self.handle.returncode is None

    def is_ended_by_us(self, exit_code: int) -> bool:
        """Return whether a signal of the soak has ended the process."""
        hung_up = self.may_hang_up and exit_code == -signal.SIGHUP
        return self.expected_end or hung_up

    def send(self, number: signal.Signals, *, ends: bool = False) -> bool:
        """Send a signal; ``ends`` says that the process is expected to end of it."""
        if self.handle is None or self.handle.returncode is not None:
            return False
        self.expected_end = self.expected_end or ends
        with contextlib.suppress(ProcessLookupError):
            self.handle.send_signal(number)
        return True


class Site:
    """Machines with a front each, the first ``CORES`` of them with a core and its disk."""

    def __init__(self, machines: int, ledger: Ledger, folder: Path, random: Random) -> None:
        self.ledger = ledger
        self.folder = folder
        self._random = random
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        zones = list(ZONES)
        ips = [f"{network}.{number}" for number in range(1, machines + 1)]
        self._ports = _free_ports([*ips, f"{network}.250"], random)
        self.platform_address = f"{network}.250:{self._ports + _PORT_OFFSETS['platform']}"
        self._replica_network = f"{network}.2"
        self.processes: list[Process] = []
        for number, ip in enumerate(ips):
            zone = zones[number % len(zones)]
            if number < CORES:
                self.processes.append(Process(f"core-{number}", "core", ip, zone))
            self.processes.append(Process(f"front-{number}", "front", ip, zone))
        self._first_start = True
        self._stopping = False
        self._keepers: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._run_lines = {role: table["run"].split() for role, table in deploy["roles"].items()}

    def of_role(self, role: str) -> list[Process]:
        """Return the processes of a role, in the order of their machines."""
        return [process for process in self.processes if process.role == role]

    def address(self, process: Process, purpose: str) -> str:
        """Return the address of a listener of a process."""
        return f"{process.ip}:{self._ports + _PORT_OFFSETS[purpose]}"

    def replica_address(self, number: int) -> str:
        """Return the address of a replica, by its number."""
        return f"{self._replica_network}{number:02d}:{self._ports + _PORT_OFFSETS['replica']}"

    async def start(self) -> None:
        """Start all processes within ``START_SPREAD_S``, in any order."""
        self._stopping = False
        self._keepers = [asyncio.create_task(self._keep(process)) for process in self.processes]

    async def stop(self) -> None:
        """Ask all processes to stop; kill those that are not gone after the grace period."""
        self._stopping = True
        for process in self.processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM, ends=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GRACE_S + 1.0):
                await asyncio.gather(*self._keepers)
        await self.end()
        self._first_start = False

    async def end(self) -> None:
        """Kill whatever still runs, and wait until it is gone."""
        self.kill_all()
        await asyncio.gather(*self._keepers, return_exceptions=True)

    def kill_all(self) -> None:
        """Kill whatever still runs, at once."""
        self._stopping = True
        for process in self.processes:
            process.send(signal.SIGKILL, ends=True)

    def lose_disk(self, process: Process) -> None:
        """Kill a core and remove its files; it starts again with an empty folder."""
        process.send(signal.SIGKILL, ends=True)
        shutil.rmtree(self._data_folder(process), ignore_errors=True)

    def write_settings(self, process: Process, *, first_start: bool, extra: str = "") -> Path:
        """Write the settings file of a process and return its path."""
        listeners = ("front", "ready", "directory") if process.role == "front" else ("control",)
        fields = outside.NodeFields(
            name=f"{process.role}-{process.zone}-{process.ip}",
            role=process.role,
            ip=process.ip,
            zone=process.zone,
            region_of_zone=ZONES,
            listeners=tuple(self.address(process, purpose) for purpose in listeners),
            internal_ports=(
                self._ports + _FIRST_INTERNAL_OFFSET,
                self._ports + _FIRST_INTERNAL_OFFSET + INTERNAL_PORTS - 1,
            ),
            seeds=tuple(self.address(core, "control") for core in self.of_role("core")),
            platform_address=self.platform_address,
            data_folder=str(self._data_folder(process)) if process.role == "core" else "",
            first_start=first_start,
            grace_s=GRACE_S,
        )
        path = self.folder / f"{process.name}.conf"
        path.write_text(outside.settings_text(fields) + extra)
        return path

    def _data_folder(self, process: Process) -> Path:
        folder = self.folder / f"{process.name}-data"
        folder.mkdir(exist_ok=True)
        return folder

    async def _keep(self, process: Process) -> None:
        await asyncio.sleep(self._random.uniform(0.0, START_SPREAD_S))
        while not self._stopping:
            await self._start_process(process)
            assert process.handle is not None
            if self._stopping:
                process.send(signal.SIGKILL, ends=True)
            code = await process.handle.wait()
            at = self.ledger.now()
            by_us = process.is_ended_by_us(code)
            self.ledger.ends.append(ProcessEnd(process.name, code, at, by_us))
            if not by_us:
                self.ledger.note(f"{process.name} ended by itself with exit code {code}")
            if not self._stopping:
                await asyncio.sleep(RESTART_DELAY_S)

    async def _start_process(self, process: Process) -> None:
        first_start = self._first_start and process.starts == 0
        process.starts += 1
        process.expected_end = False
        process.may_hang_up = False
        process.started_at = self.ledger.now()
        settings = self.write_settings(process, first_start=first_start)
        names = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in names if name in os.environ}
        variables[outside.PATH_VARIABLE] = str(settings)
        with (self.folder / f"{process.name}.log").open("ab") as log:
            process.handle = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._run_lines[process.role][1:],
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )


def _free_ports(ips: list[str], random: Random) -> int:
    for _ in range(200):
        base = random.randrange(20_000, 31_000, _PORTS_A_SITE)
        if all(_is_free(ip, port) for ip in ips for port in range(base, base + _PORTS_A_SITE)):
            return base
    raise NoFreePortsError


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
