"""Load test of changes on three core processes, with real disks and sockets; not a unit test.

``python -m tests.core_storm --seconds 5 --in-flight 64`` prints the acknowledged changes per
second and their latency. ``--kill`` kills the primary half-way. At the end every acknowledged
change is sent again and must be answered as repeated.
"""

import argparse
import asyncio
import contextlib
import hashlib
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from itertools import count, cycle
from pathlib import Path
from typing import Any

import attrs

from rooklug.config import examples
from rooklug.engine.effects import Call
from rooklug.engine.events import CallAnswered, Event
from rooklug.runtime.rpc_client import RpcClient
from rooklug.wire.channel import ChannelMetrics
from rooklug.wire.generated.control import ttypes as control

CORE_IDS = ("core-a", "core-b", "core-c")
DEADLINE_S = 5.0
START_LIMIT_S = 20.0


HOST_IP = "127.0.0.1"
FIRST_PORT, LAST_PORT = 20_000, 32_000
"""Below the ephemeral ports of Linux (from 32768): a port among those may be given to an outgoing
connection of any process between the check that it is free and the bind."""

_start_port = random.randrange(FIRST_PORT, LAST_PORT)
_next_ports = cycle([*range(_start_port, LAST_PORT), *range(FIRST_PORT, _start_port)])


def free_port() -> int:
    """Return a port that nobody uses; other test processes begin at other random ports."""
    while True:
        port = next(_next_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST_IP, port))
            return port


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f"{HOST_IP}:{free_port()}"


class CoreProcesses:
    """Three core processes on loopback, with data folders under ``folder``."""

    def __init__(self, folder: Path) -> None:
        self.addresses = {core_id: free_address() for core_id in CORE_IDS}
        self._folder = folder
        self.processes = {core_id: self._start(core_id) for core_id in CORE_IDS}

    def _start(self, core_id: str) -> subprocess.Popen:
        flags = {
            "node-id": core_id,
            "zone": f"zone-{core_id}",
            "region": "region",
            "listen-internal": self.addresses[core_id],
            "listen-http": free_address(),
            "data-folder": str(self._folder / core_id),
            "log-level": "warning",
        }
        command = [sys.executable, "-m", "rooklug.cli.main", "core"]
        for name, value in flags.items():
            command += [f"--{name}", value]
        for member, address in self.addresses.items():
            command += ["--member", f"{member}={address}", "--seed", address]
        return subprocess.Popen(command, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL)

    def kill_at(self, address: str) -> None:
        core_id = next(c for c, known in self.addresses.items() if known == address)
        os.kill(self.processes[core_id].pid, signal.SIGKILL)

    def stop(self) -> None:
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            process.wait(timeout=10)


class Client:
    """Sends thrift requests to cores and waits for the answers."""

    def __init__(self) -> None:
        self._ids = count(1)
        self._waiting: dict[int, asyncio.Future] = {}
        loop = asyncio.get_running_loop()
        self._calls = RpcClient(
            loop, "storm", "", self._deliver, lambda *ignored: None, ChannelMetrics()
        )

    async def ask(self, address: str, request: Any, deadline_s: float = DEADLINE_S) -> Any:
        """Return the answer, None if there is none within ``deadline_s``."""
        call_id = next(self._ids)
        future = self._waiting[call_id] = asyncio.get_running_loop().create_future()
        self._calls.start(Call(call_id, address, request, deadline_s))
        return await future

    def _deliver(self, event: Event) -> None:
        answer = event.answer if isinstance(event, CallAnswered) else None
        self._waiting.pop(event.call_id).set_result(answer)

    def close(self) -> None:
        self._calls.close()


def change(document: bytes, version: int) -> control.SubmitChangeRequest:
    body = document + b" " * (version % 7)
    return control.SubmitChangeRequest(
        version=version,
        digest=hashlib.sha256(body).hexdigest(),
        body=body,
        is_patch=False,
        base_version=0,
    )


@attrs.define(eq=False)
class ChangeLoad:
    cores: CoreProcesses
    client: Client
    document: bytes
    primary: str = ""
    acknowledged: list[int] = attrs.field(factory=list)
    latencies: list[float] = attrs.field(factory=list)
    outcomes: dict[str, int] = attrs.field(factory=dict)
    longest_gap_s: float = 0.0
    _last_at: float = 0.0

    async def find_primary(self) -> None:
        read = control.ReadConfigurationRequest(linearizable=True)
        limit = time.monotonic() + START_LIMIT_S
        while time.monotonic() < limit:
            for address in self.cores.addresses.values():
                answer = await self.client.ask(address, read, 0.3)
                if answer is not None and answer.ok:
                    self.primary = address
                    return
            await asyncio.sleep(0.02)
        raise TimeoutError("no core became primary in time")

    async def send(self, version: int) -> None:
        began = time.monotonic()
        address = self.primary
        answer = await self.client.ask(address, change(self.document, version))
        outcome = answer.outcome if answer else "no answer"
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        now = time.monotonic()
        if outcome == "accepted":
            self.acknowledged.append(version)
            self.latencies.append(now - began)
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
            self._last_at = now
        elif outcome in ("not_primary", "unknown", "no answer") and address == self.primary:
            await self.find_primary()

    async def run(self, seconds: float, in_flight: int, kill: bool) -> None:
        versions = count(1)
        end = time.monotonic() + seconds
        kill_at = time.monotonic() + seconds / 2 if kill else float("inf")
        self._last_at = time.monotonic()
        tasks: set[asyncio.Task] = set()
        while time.monotonic() < end:
            while len(tasks) < in_flight:
                tasks.add(asyncio.create_task(self.send(next(versions))))
            done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            if time.monotonic() >= kill_at:
                kill_at = float("inf")
                self.cores.kill_at(self.primary)
        await asyncio.gather(*tasks)

    async def count_lost(self) -> int:
        """Return how many acknowledged changes are not answered as repeated when sent again."""
        await self.find_primary()
        lost = 0
        for version in self.acknowledged:
            answer = await self.client.ask(self.primary, change(self.document, version))
            if answer is None or answer.outcome != "accepted" or not answer.repeated:
                lost += 1
        return lost


async def measure(options: argparse.Namespace, folder: Path) -> None:
    document = (Path(examples.__file__).parent / "payroll.json").read_bytes()
    document += b" " * max(0, options.bytes - len(document))
    client = Client()
    cores = CoreProcesses(folder)
    load = ChangeLoad(cores, client, document)
    try:
        await load.find_primary()
        await load.run(options.seconds, options.in_flight, options.kill)
        lost = await load.count_lost()
    finally:
        client.close()
        cores.stop()
    latencies = sorted(load.latencies)
    print(
        f"{len(latencies) / options.seconds:.0f} acknowledged per second "
        f"({len(document)} bytes each, {options.in_flight} in flight, {options.seconds} s), "
        f"p50 {1000 * latencies[len(latencies) // 2]:.1f} ms, "
        f"p99 {1000 * latencies[len(latencies) * 99 // 100]:.1f} ms, "
        f"longest gap {load.longest_gap_s:.2f} s, lost {lost}, {load.outcomes}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--in-flight", type=int, default=64)
    parser.add_argument("--bytes", type=int, default=0, help="pad the document to this size")
    parser.add_argument("--kill", action="store_true", help="kill the primary half-way")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(options, Path(folder)))


if __name__ == "__main__":
    main()
