"""Randomized fault scenarios on randomized deployments.

A run injects several faults of random kinds at random times; a kind may occur more than once.
Permanent loss stays within what the deployment tolerates: over the whole run no more disks are
lost than ``SiteShape.tolerance``. In half of the runs all processes are killed at the end.
"""

from collections.abc import Callable
from random import Random

import attrs

from rooklug_lab.gateway.journal import Order
from rooklug_lab.gateway.replicas import Conduct, ReplicaEntry
from rooklug_lab.gateway.site import GatewaySite

LAST_FAULT_AT_S = 9.0
MIN_FAULTS, MAX_FAULTS = 4, 8
USE_DELAY_S = 4.0
FINAL_LOSS_AT_S = 12.0
FINAL_LOSS_SHARE = 0.5


@attrs.define
class RandomDay:
    """Draws the faults of one run and schedules them.

    ``disks_left`` counts the disks that may still be lost, ``changes`` the routes added so far.
    """

    site: GatewaySite
    random: Random
    disks_left: int = 0
    changes: int = 0
    core_replaced: bool = False

    def schedule(self) -> None:
        """Draw the faults and changes of the run and schedule them."""
        self.disks_left = self.site.shape.tolerance
        homes = [f"home-{region}" for region in self.site.shape.regions]
        order = self.site.change(["again", *homes])
        for name in ("again", *homes):
            self.site.later(
                USE_DELAY_S, lambda path=f"/{name}/1": self._use_when_acknowledged(order, path)
            )
        fault_kinds = self._fault_kinds()
        for _ in range(self.random.randint(MIN_FAULTS, MAX_FAULTS)):
            self.site.later(
                self.random.uniform(0.0, LAST_FAULT_AT_S), self.random.choice(fault_kinds)
            )
        for _ in range(self.random.randint(1, 5)):
            self.site.later(self.random.uniform(0.0, FINAL_LOSS_AT_S), self.change)
        if self.random.random() < FINAL_LOSS_SHARE:
            self.site.later(FINAL_LOSS_AT_S, self.lose_everything)

    def _fault_kinds(self) -> list[Callable[[], None]]:
        return [
            self.kill_primary,
            self.kill_after_change,
            self.kill_all_cores,
            self.kill_fronts,
            self.isolate_core,
            self.isolate_front,
            self.isolate_zone,
            self.isolate_region,
            self.partition_cores,
            self.replace_core,
            self.add_machines,
            self.slow_machines,
            self.retry_immediately,
            self.stall_disk,
            self.jump_clocks,
            self.crash_replica,
            self.replica_lies,
            self.replica_leaves,
            self.replicas_turn_cold,
            self.evacuate,
            self.burst,
            self.rivals,
        ]

    # Control -----------------------------------------------------------------

    def change(self) -> None:
        """Submit a change that adds a route; clients use it once it is acknowledged."""
        self.changes += 1
        name = f"drawn{self.changes}"
        order = self.site.change([name])
        self.site.later(USE_DELAY_S, lambda: self._use_when_acknowledged(order, f"/{name}/1"))

    def rivals(self) -> None:
        """Submit two conflicting changes on one base version, and an invalid one."""
        self.change()
        self.site.rival()
        self.site.invalid()

    def kill_primary(self) -> None:
        """Kill the primary's process, or power off its machine, perhaps with loss of its disk."""
        power = self.random.random() < 0.5
        wipe = power and self.disks_left > 0 and self.random.random() < 0.5
        self.disks_left -= wipe
        self.site.kill([self.site.primary()], self._duration_s(), power=power, wipe=wipe)

    def kill_after_change(self) -> None:
        """Kill the primary at most 0.2 s after a change was sent."""
        self.change()
        self.site.later(self.random.uniform(0.0, 0.2), self.kill_primary)

    def kill_all_cores(self) -> None:
        """Kill the processes of all cores simultaneously."""
        self.site.kill(self.site.cores, self._duration_s())

    def isolate_core(self) -> None:
        """Partition one core's machine from all others, in both directions or inbound only."""
        core = self.random.choice([self.site.primary(), self.random.choice(self.site.cores)])
        self.site.isolate([core], self._duration_s(), outbound=self.random.random() < 0.6)

    def isolate_zone(self) -> None:
        """Partition all cores and fronts of a zone from everything else."""
        self.site.isolate(self.site.nodes_in(self._random_zone()), self._duration_s())

    def isolate_region(self) -> None:
        """Partition a region from everything else, or a zone if there is only one region."""
        if len(self.site.shape.regions) < 2:
            self.isolate_zone()
            return
        region = self.random.choice(self.site.shape.regions)
        self.site.isolate(self.site.nodes_in(region), self._duration_s())

    def partition_cores(self) -> None:
        """Partition the cores into halves that all other processes still reach."""
        half, others = self.site.core_halves(self.random)
        self.site.partition(half, others, self._duration_s())

    def replace_core(self) -> None:
        """Replace a core by one with an empty disk at another address, once per run at most."""
        if self.disks_left <= 0 or self.core_replaced:
            return
        self.disks_left -= 1
        self.core_replaced = True
        self.site.replace_core(self.random.choice(self.site.cores), self._duration_s())

    def stall_disk(self) -> None:
        """Stall the disk of a core, so that its writes don't finish."""
        self.site.stall_disk(self.random.choice(self.site.cores), self._duration_s())

    def jump_clocks(self) -> None:
        """Shift the wall clocks of all machines."""
        self.site.jump_clocks(self.random.choice([-30_000, -5_000, 5_000, 30_000]))

    def add_machines(self) -> None:
        """Add one to three machines with fronts to a zone."""
        self.site.add_machines(self._random_zone(), self.random.randint(1, 3))

    def slow_machines(self) -> None:
        """Slow down a third of the fronts, and in half of the cases the primary's machine."""
        names = self.random.sample(self.site.fronts, max(len(self.site.fronts) // 3, 1))
        if self.random.random() < 0.5:
            names.append(self.site.primary())
        self.site.slow(names, self._duration_s())

    def retry_immediately(self) -> None:
        """Let a region's clients retry immediately for 5 s, instead of after ``retry-after``."""
        region = self.random.choice(self.site.shape.regions)
        self.site.set_immediate_retries(region, self.random.randint(1, 4))
        self.site.later(5.0, lambda: self.site.set_immediate_retries(region, 0))

    # Fronts and replicas ---------------------------------------------------------

    def kill_fronts(self) -> None:
        """Kill a third of the fronts simultaneously."""
        count = max(len(self.site.fronts) // 3, 1)
        names = self.random.sample(self.site.fronts, count)
        self.site.kill(names, self._duration_s(), power=self.random.random() < 0.5)

    def isolate_front(self) -> None:
        """Partition one front's machine from everything else."""
        self.site.isolate([self.random.choice(self.site.fronts)], self._duration_s())

    def crash_replica(self) -> None:
        """Kill a replica or power off its machine; it restarts cold."""
        entry = self._random_replica()
        self.site.crash_replica(entry, self._duration_s(), dark=self.random.random() < 0.5)

    def replica_lies(self) -> None:
        """Let a replica fail, reject or not answer requests while it is listed as healthy."""
        conduct = self.random.choice([Conduct.FAILS, Conduct.REJECTS, Conduct.SILENT])
        self.site.misbehave(self._random_replica(), conduct, self._duration_s())

    def replica_leaves(self) -> None:
        """Drain a replica, and stop it 1 s or 6 s after the announcement."""
        self.site.drain(self._random_replica(), after_s=self.random.choice([1.0, 6.0]))

    def replicas_turn_cold(self) -> None:
        """Let the replicas of a zone become cold without a restart."""
        self.site.turn_cold(self._random_zone())

    def evacuate(self) -> None:
        """Drain a zone and restore it, in half of the cases with cold replicas."""
        zone = self._random_zone()
        restore_after_s = self.random.uniform(2.0, 8.0)
        self.site.order_zone(zone, "empty")
        if self.random.random() < 0.5:
            self.site.later(restore_after_s - 0.1, lambda: self.site.turn_cold(zone))
        self.site.later(restore_after_s, lambda: self.site.order_zone(zone, "restore"))

    def burst(self) -> None:
        """Multiply the request rate of a region by two to three for 4 s."""
        region = self.random.choice(self.site.shape.regions)
        self.site.set_rate(region, self.random.uniform(2.0, 3.0))
        self.site.later(4.0, lambda: self.site.set_rate(region, 1.0))

    def lose_everything(self) -> None:
        """Kill all cores and fronts, or power off their machines, simultaneously."""
        power = self.random.random() < 0.5
        self.site.kill([*self.site.cores, *self.site.fronts], 1.0, power=power)

    # Internals ---------------------------------------------------------------------

    def _use_when_acknowledged(self, order: Order, path: str) -> None:
        """Let clients use a route once its change is acknowledged; check again until then."""
        if order.acknowledged_at:
            self.site.add_path(path)
        elif not order.refused:
            self.site.later(USE_DELAY_S, lambda: self._use_when_acknowledged(order, path))

    def _duration_s(self) -> float:
        return self.random.uniform(0.8, 4.0)

    def _random_zone(self) -> str:
        return self.random.choice(list(self.site.shape.zones))

    def _random_replica(self) -> ReplicaEntry:
        return self.random.choice(self.site.replicas)


def random_day(site: GatewaySite, random: Random) -> None:
    """Several faults of random kinds at random times, on a randomized deployment."""
    RandomDay(site, random).schedule()
