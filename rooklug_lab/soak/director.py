"""Carries out the plan of a soak, and the phases around it."""

import asyncio
import signal
from pathlib import Path
from random import Random

import attrs

from rooklug_lab.soak.clients import Client, send_hostile
from rooklug_lab.soak.http import call
from rooklug_lab.soak.ledger import Ledger
from rooklug_lab.soak.operators import Operator
from rooklug_lab.soak.plan import Event, Kind, draw_plan
from rooklug_lab.soak.replicas import Conduct, Platform, Replica
from rooklug_lab.soak.site import CORES, ZONES, Process, Site, outside

REPLICAS = 6
CLIENTS_PER_MACHINE = 3
QUIET_S = 18.0
"""After the last event: the time to recover, and some seconds in which requests are counted."""
READ_BACK_S = 20.0
READY_WITHIN_S = 1.0
ROLL_PAUSE_S = 1.2
LONGEST_START_S = 8.0
"""By then a process has read its settings, even if it was frozen or the machine is busy."""
MISBEHAVIOURS = [conduct for conduct in Conduct if conduct is not Conduct.SOUND]


@attrs.frozen
class SoakSettings:
    """What a soak is asked to do; ``seconds`` is how long its events last."""

    seed: int
    seconds: float
    machines: int


class Soak:
    """One soak: start, events with traffic, a quiet time, a stop under load, and a restart.

    Without a ``plan`` the seed draws it.
    """

    def __init__(
        self,
        settings: SoakSettings,
        ledger: Ledger,
        folder: Path,
        plan: list[Event] | None = None,
    ) -> None:
        self._settings = settings
        self._ledger = ledger
        self._random = Random(settings.seed)
        drawn = draw_plan(settings.seed, settings.seconds, CORES)
        self.plan = drawn if plan is None else plan
        self.site = Site(settings.machines, ledger, folder, Random(settings.seed + 1))
        zones = list(ZONES)
        self._replicas = [
            Replica(number, self.site.replica_address(number), zones[number % 3], ledger)
            for number in range(REPLICAS)
        ]
        self._platform = Platform(self._replicas)
        self._operator = Operator(self.site, Random(settings.seed + 2))
        self._events: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Play the whole soak; the ledger has what was seen."""
        try:
            await self._play()
        finally:
            for task in self._events:
                task.cancel()
            await self.site.end()
            self._platform.close()
            for replica in self._replicas:
                await replica.stop()

    async def _play(self) -> None:
        for replica in self._replicas:
            await replica.start()
        await self._platform.start(self.site.platform_address)
        await self.site.start()
        began = self._ledger.now()
        stopped = asyncio.Event()
        clients = self._start_clients(stopped)
        self._spawn(self._operator.first_change())
        for event in self.plan:
            await asyncio.sleep(max(0.0, began + event.at - self._ledger.now()))
            self._spawn(self._carry_out(event))
        await asyncio.gather(*self._events)
        self._ledger.quiet_from = self._ledger.now()
        self._ledger.note("quiet")
        await asyncio.sleep(QUIET_S)
        await self._check_readiness()
        self._ledger.read_back = await self._operator.read(READ_BACK_S)
        self._ledger.note("stopping all processes while clients go on")
        await self.site.stop()
        stopped.set()
        await asyncio.gather(*clients)
        self._ledger.note("starting from the disks left behind")
        await self.site.start()
        self._ledger.read_back_after_restart = await self._operator.read(READ_BACK_S)

    def _start_clients(self, stopped: asyncio.Event) -> list[asyncio.Task]:
        count = CLIENTS_PER_MACHINE * self._settings.machines
        seeds = [self._random.getrandbits(32) for _ in range(count)]
        clients = [Client(f"c{n}", self.site, Random(seed)) for n, seed in enumerate(seeds)]
        return [asyncio.create_task(client.run(stopped)) for client in clients]

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._events.add(task)

    async def _check_readiness(self) -> None:
        for front in self.site.of_role("front"):
            address = self.site.address(front, "ready")
            answer = await call(address, "GET", outside.READINESS_PATH, {}, b"", READY_WITHIN_S)
            if answer is None or answer.status != 200:
                self._ledger.unready_fronts.append(front.name)

    # Events -----------------------------------------------------------------

    async def _carry_out(self, event: Event) -> None:
        work = {
            Kind.KILL: self._kill,
            Kind.STOP: self._stop,
            Kind.FREEZE: self._freeze,
            Kind.RELOAD: self._reload,
            Kind.KILL_CORES: self._kill_cores,
            Kind.LOSE_DISK: self._lose_disk,
            Kind.ROLL: self._roll,
            Kind.DRAIN_ZONE: self._drain_zone,
            Kind.CHANGE: self._change,
            Kind.RACE: self._race,
            Kind.HOSTILE_CHANGE: self._hostile_change,
            Kind.HOSTILE_LIST: self._hostile_list,
            Kind.HOSTILE_CLIENT: self._hostile_client,
            Kind.REPLICA_CONDUCT: self._misbehave,
            Kind.REPLICA_RESTART: self._restart_replica,
        }[event.kind]
        await work(event)

    def _process(self, event: Event) -> Process:
        processes = self.site.of_role(event.role)
        return processes[event.target % len(processes)]

    async def _kill(self, event: Event) -> None:
        process = self._process(event)
        if process.send(signal.SIGKILL, ends=True):
            self._ledger.note(f"SIGKILL to {process.name}")

    async def _stop(self, event: Event) -> None:
        process = self._process(event)
        if process.send(signal.SIGTERM, ends=True):
            self._ledger.note(f"SIGTERM to {process.name}")

    async def _freeze(self, event: Event) -> None:
        process = self._process(event)
        if not process.send(signal.SIGSTOP):
            return
        self._ledger.note(f"SIGSTOP to {process.name} for {event.for_s:.1f} s")
        await asyncio.sleep(event.for_s)
        process.send(signal.SIGCONT)

    async def _reload(self, event: Event) -> None:
        process = self._process(event)
        if process.starts:
            # A start on a wrong file ends with exit code 2, as it should; a reload must not.
            has_started = self._ledger.now() >= process.started_at + LONGEST_START_S
            process.may_hang_up = process.may_hang_up or not has_started
            variant = event.variant % 3 if has_started else 0
            extra = ("", "bounds.grace_s=nonsense\n", "\ud83d")[variant]
            nonsense = extra.encode("utf-8", "surrogatepass").decode("utf-8", "replace")
            self.site.write_settings(process, first_start=False, extra=nonsense)
            process.send(signal.SIGHUP)
            self._ledger.note(f"SIGHUP to {process.name}")

    async def _kill_cores(self, event: Event) -> None:
        for process in self.site.of_role("core"):
            process.send(signal.SIGKILL, ends=True)
        self._ledger.note("SIGKILL to all cores")

    async def _lose_disk(self, event: Event) -> None:
        process = self.site.of_role("core")[event.target % CORES]
        self.site.lose_disk(process)
        self._ledger.note(f"SIGKILL to {process.name}, its disk is lost")

    async def _roll(self, event: Event) -> None:
        self._ledger.note(f"SIGTERM to all {event.role} processes in turn")
        for process in self.site.of_role(event.role):
            process.send(signal.SIGTERM, ends=True)
            await asyncio.sleep(ROLL_PAUSE_S)

    async def _drain_zone(self, event: Event) -> None:
        zone = list(ZONES)[event.target % len(ZONES)]
        self._ledger.note(f"draining {zone}")
        await self._operator.drain(zone, event.for_s)

    async def _change(self, event: Event) -> None:
        await self._operator.change()

    async def _race(self, event: Event) -> None:
        await self._operator.race()

    async def _hostile_change(self, event: Event) -> None:
        self._ledger.note(f"hostile configuration {event.variant}")
        await self._operator.hostile_change(event.variant)

    async def _hostile_list(self, event: Event) -> None:
        self._ledger.note("unusable entries on the list")
        self._platform.hostile = outside.hostile_entries(self._replicas[0].entry)
        await asyncio.sleep(event.for_s)
        self._platform.hostile = []

    async def _hostile_client(self, event: Event) -> None:
        sent = await send_hostile(self.site, Random(event.variant))
        self._ledger.note(f"hostile {sent}")

    async def _misbehave(self, event: Event) -> None:
        replica = self._replicas[event.target % len(self._replicas)]
        replica.conduct = MISBEHAVIOURS[event.variant % len(MISBEHAVIOURS)]
        self._ledger.note(f"{replica.replica_id} {replica.conduct.value}")
        await asyncio.sleep(event.for_s)
        replica.conduct = Conduct.SOUND

    async def _restart_replica(self, event: Event) -> None:
        replica = self._replicas[event.target % len(self._replicas)]
        if not replica.is_up:
            return
        await replica.stop()
        await asyncio.sleep(min(event.for_s, 1.0))
        await replica.restart()
        self._ledger.note(f"{replica.replica_id} has started")
