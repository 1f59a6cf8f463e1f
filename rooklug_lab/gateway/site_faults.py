"""The faults that can be injected into a simulated gateway deployment.

Each method that injects a fault for ``for_s`` seconds schedules its end itself.
"""

from collections.abc import Callable, Iterable
from random import Random

from rooklug_lab.gateway.journal import Disturbance, Journal
from rooklug_lab.gateway.replicas import Conduct, ReplicaEntry
from rooklug_lab.sim.network import Place
from rooklug_lab.sim.process import SimulatedProcess
from rooklug_lab.sim.world import World

SLOW_EVENT_S = 0.004
"""Time per event on a slow machine: about ten times what an event costs a front."""


class SiteFaults:
    """Disturbs the processes, machines, links and replicas of a deployment.

    ``cores`` and ``fronts`` are the names of its processes. Every fault of these is recorded in
    the journal; those of replicas are not.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.journal = Journal()
        self.replicas: list[ReplicaEntry] = []
        self.cores: list[str] = []
        self.fronts: list[str] = []

    def later(self, delay_s: float, action: Callable[[], object]) -> None:
        """Schedule an action ``delay_s`` seconds from now in virtual time."""
        self.world.scheduler.after(delay_s, action)

    def process(self, name: str) -> SimulatedProcess:
        """Return a process by name."""
        return self.world.processes[name]

    def nodes_in(self, place: str) -> list[str]:
        """Return the cores and fronts of a zone or of a region."""
        nodes = [*self.cores, *self.fronts]
        return [name for name in nodes if self._is_in(place, self.process(name).place)]

    def core_halves(self, random: Random) -> tuple[list[str], list[str]]:
        """Split the cores at random; of an odd number the second half gets one more."""
        half = random.sample(self.cores, len(self.cores) // 2)
        return half, [name for name in self.cores if name not in half]

    # Processes, links, disks and clocks --------------------------------------

    def kill(self, names: Iterable[str], for_s: float, power: bool = False, wipe: bool = False):
        """Kill processes, or their machines with ``power``; they restart after ``for_s``.

        With ``wipe`` their disks are lost, and they restart on empty ones.
        """
        names = list(names)
        for name in names:
            process = self.process(name)
            (self.world.machine_fails if power else self.world.kill)(process)
            if wipe and process.disk is not None:
                process.disk.lose()
        self._record_fault("kill", for_s)
        self.later(for_s, lambda: [self._restart(name) for name in names])

    def isolate(self, names: Iterable[str], for_s: float, outbound: bool = True) -> None:
        """Partition machines from all others; without ``outbound``, drop only inbound packets."""
        inside = [self.process(name).place for name in names]
        ips = {place.ip for place in inside}
        outside = [p.place for p in self.world.processes.values() if p.place.ip not in ips]
        network = self.world.network
        network.cut(outside, inside)
        self.later(for_s, lambda: network.heal(outside, inside))
        if outbound:
            network.cut(inside, outside)
            self.later(for_s, lambda: network.heal(inside, outside))
        self._record_fault("cut", for_s)

    def isolate_zone(self, zone: str, for_s: float) -> None:
        """Partition a zone's cores, fronts and replicas from others; clients still reach them."""
        names = [*self.cores, *self.fronts, *(entry.name for entry in self.replicas)]
        inside = [name for name in names if self._is_in(zone, self.process(name).place)]
        self.partition(inside, [name for name in names if name not in inside], for_s)

    def partition(self, some: Iterable[str], others: Iterable[str], for_s: float) -> None:
        """Partition two sets of processes from each other; all others still reach both."""
        side = [self.process(name).place for name in some]
        other_side = [self.process(name).place for name in others]
        network = self.world.network
        for source, target in ((side, other_side), (other_side, side)):
            network.cut(source, target)
            self.later(for_s, lambda s=source, t=target: network.heal(s, t))
        self._record_fault("cut", for_s)

    def slow(self, names: Iterable[str], for_s: float) -> None:
        """Let machines take ``SLOW_EVENT_S`` for each event of their processes."""
        slowed = [self.process(name) for name in names]
        for process in slowed:
            process.event_s = SLOW_EVENT_S
        self.later(for_s, lambda: [setattr(process, "event_s", 0.0) for process in slowed])
        self._record_fault("slow", for_s)

    def stall_disk(self, name: str, for_s: float) -> None:
        """Stall a process's disk: no write finishes for ``for_s`` seconds."""
        self.process(name).disk.stalled_until = self.world.now + for_s
        self._record_fault("stall", for_s)

    def jump_clocks(self, by_ms: int) -> None:
        """Shift the wall clock of every process by ``by_ms`` milliseconds."""
        for process in self.world.processes.values():
            process.wall_offset_ms += by_ms

    # Replicas ------------------------------------------------------------------

    def lose_region(self, region: str, for_s: float) -> None:
        """Power off all machines and replicas of a region; they restart after ``for_s``."""
        self.kill(self.nodes_in(region), for_s, power=True)
        for entry in self.replicas:
            if entry.region == region:
                self.crash_replica(entry, for_s, dark=True)

    def crash_replica(self, entry: ReplicaEntry, for_s: float, dark: bool = False) -> None:
        """Kill a replica, or with ``dark`` its machine; it restarts cold under a new id."""
        (self.world.machine_fails if dark else self.world.kill)(entry.process)
        self.later(for_s, lambda: self._restart_replica(entry))

    def misbehave(self, entry: ReplicaEntry, conduct: Conduct, for_s: float) -> None:
        """Let a replica stay listed as healthy while it treats requests as ``conduct`` says."""
        entry.conduct = conduct
        self.later(for_s, lambda: setattr(entry, "conduct", Conduct.SOUND))

    def drain(self, entry: ReplicaEntry, after_s: float = 6.0, for_s: float = 1.0) -> None:
        """Mark a replica as leaving, and kill it after ``after_s``; it restarts cold."""
        entry.leaving = True
        self.later(after_s, lambda: self.crash_replica(entry, for_s))

    def turn_cold(self, zone: str) -> None:
        """Let the replicas of a zone become cold without a restart."""
        for entry in self.replicas:
            if entry.zone == zone:
                entry.turn_cold(self.world.now)

    # Internals -------------------------------------------------------------------

    @staticmethod
    def _is_in(place: str, where: Place) -> bool:
        return place in (where.zone, where.region)

    def _record_fault(self, kind: str, for_s: float) -> None:
        now = self.world.now
        self.journal.disturbances.append(Disturbance(kind, now, now + for_s))

    def _restart(self, name: str) -> None:
        self.world.restart(self.process(name))

    def _restart_replica(self, entry: ReplicaEntry) -> None:
        entry.leaving = False
        entry.turn_cold(self.world.now)
        self.world.restart(entry.process)
