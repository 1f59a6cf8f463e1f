"""Injects random faults into a ``tests.once_support.Site``, reproducibly by the site's seed."""

from collections.abc import Callable

from rooklug.model.topics import CLAIM_SHARDS
from tests.once_support import Site

WARM_UP_S = 7.0
STEP_S = 0.7
SETTLE_S = 14.0


class Chaos:
    """Injects faults for a while, then undoes all of them.

    Args:
        site: The site; its random generator draws the faults.
        overlaps: Also hand roles over while their owner still believes that it holds them.
        disk_losses: Also let one store lose its disk.
        stop_when_broken: Stop as soon as the oracle finds a violation.
    """

    def __init__(
        self,
        site: Site,
        overlaps: bool = False,
        disk_losses: bool = False,
        stop_when_broken: bool = False,
    ) -> None:
        self.site = site
        self.stop_when_broken = stop_when_broken
        self.random = site.random
        self.undo: list[tuple[float, Callable[[], None]]] = []
        self.lost_store = ""
        self.healed_at = 0.0
        self.injected: list[str] = []
        self.faults = [
            self.kill_front,
            self.kill_front,
            self.kill_some_fronts,
            self.freeze_front,
            self.freeze_front,
            self.cut,
            self.cut,
            self.cut_zone,
            self.cut_from_core,
            self.kill_store,
            self.stall_disk,
            self.kill_back_end,
            self.everything_down,
        ]
        if overlaps:
            self.faults += [self.move_roles] * 6
        if disk_losses:
            self.faults += [self.lose_disk] * 4

    def run(self, duration_s: float) -> None:
        """Run without faults, then with faults for ``duration_s``, then without them again."""
        world = self.site.world
        world.run_for(WARM_UP_S)
        end = world.now + duration_s
        while world.now < end and not (self.stop_when_broken and self.site.violations()):
            fault = self.random.choice(self.faults)
            self.injected.append(f"{world.now:.1f} {fault.__name__}")
            fault()
            self._run_to(world.now + STEP_S * 2 * self.random.random())
        if self.stop_when_broken and self.site.violations():
            return
        for _, undo in self.undo:
            undo()
        self.undo.clear()
        self.site.lost_share = self.site.late_share = 0.0
        world.run_for(SETTLE_S)
        self.healed_at = world.now
        world.run_for(2.0)
        self.site.calling = False
        world.run_for(SETTLE_S)

    def _run_to(self, end: float) -> None:
        world = self.site.world
        due = sorted((at, number) for number, (at, _) in enumerate(self.undo) if at <= end)
        done = set()
        for at, number in due:
            world.run_for(max(0.0, at - world.now))
            self.undo[number][1]()
            done.add(number)
        self.undo = [entry for number, entry in enumerate(self.undo) if number not in done]
        world.run_for(max(0.0, end - world.now))

    def _undo_within(self, max_delay_s: float, undo: Callable[[], None]) -> None:
        self.undo.append((self.site.world.now + max_delay_s * self.random.random(), undo))

    def _front(self):
        return self.site.fronts[self.random.choice(sorted(self.site.fronts))]

    def _store(self):
        return self.site.stores[self.random.choice(sorted(self.site.stores))]

    def _kill_for(self, process, max_delay_s: float) -> None:
        self.site.world.kill(process)
        self._undo_within(max_delay_s, lambda: self.site.world.restart(process))

    def kill_front(self) -> None:
        self._kill_for(self._front(), 3.0)

    def kill_some_fronts(self) -> None:
        for _ in range(4):
            self._kill_for(self._front(), 3.0)

    def everything_down(self) -> None:
        for process in [*self.site.fronts.values(), *self.site.stores.values()]:
            self._kill_for(process, 2.0)

    def kill_store(self) -> None:
        self._kill_for(self._store(), 3.0)

    def kill_back_end(self) -> None:
        number = self.random.randint(1, 3)
        self._kill_for(self.site.world.processes[f"backend-{number}"], 4.0)
        self.site.lost_share = self.random.choice([0.0, 0.1, 0.3])
        self.site.late_share = self.random.choice([0.0, 0.1, 0.3])

    def freeze_front(self) -> None:
        front = self._front()
        front.freeze()
        self._undo_within(self.random.choice([1.0, 8.0]), front.thaw)

    def stall_disk(self) -> None:
        disk = self._store().disk
        disk.stalled_until = self.site.world.now + 3.0 * self.random.random()

    def cut(self) -> None:
        one = [self._front().place]
        other = [self.random.choice([self._front(), self._store()]).place]
        self._cut(one, other, both_ways=self.random.random() < 0.5)

    def cut_zone(self) -> None:
        everyone = [*self.site.fronts.values(), *self.site.stores.values()]
        zone = self.random.choice(everyone).place.zone
        inside = [process.place for process in everyone if process.place.zone == zone]
        outside = [process.place for process in everyone if process.place.zone != zone]
        self._cut(inside, outside, both_ways=True)

    def _cut(self, sources: list, destinations: list, both_ways: bool) -> None:
        network = self.site.world.network
        network.cut(sources, destinations)
        if both_ways:
            network.cut(destinations, sources)

        def heal() -> None:
            network.heal(sources, destinations)
            if both_ways:
                network.heal(destinations, sources)

        self._undo_within(5.0, heal)

    def cut_from_core(self) -> None:
        name = self.random.choice(sorted(self.site.fronts))
        self.site.cut_from_core.add(name)
        self._undo_within(6.0, lambda: self.site.cut_from_core.discard(name))

    def move_roles(self) -> None:
        for shard in range(CLAIM_SHARDS):
            if self.random.random() < 0.5:
                self.site.move_role(shard, self.random.choice(sorted(self.site.fronts)))

    def lose_disk(self) -> None:
        """Lose the disk of one store, once per run.

        Only one lost disk at a time must be survived, until the owners have restored it.
        """
        store = self._store()
        if self.lost_store:
            return
        self.lost_store = store.name
        self.site.world.kill(store)
        store.disk.lose()
        self._undo_within(1.0, lambda: self.site.world.restart(store))
