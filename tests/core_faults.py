"""Seeded random faults for a simulated cluster, and a command that runs many seeds.

``python -m tests.core_faults FIRST LAST`` runs the seeds from ``FIRST`` to ``LAST``.
"""

import argparse
from random import Random

from rooklug.engine import events as ev
from tests.core_cluster import Cluster
from tests.core_machine import CORE_IDS, LATER_IDS
from tests.core_oracle import BrokenGuaranteeError, Operator, Oracle


class Faults:
    """Random crashes, freezes, stalled disks, partitions, message loss and lost disks.

    A disk is lost only while all others are in sync: more simultaneous losses than that need
    an operator.
    """

    def __init__(self, cluster: Cluster, random: Random, mean_s: float = 2.0) -> None:
        self.cluster = cluster
        self.random = random
        self.mean_s = mean_s
        self.active = True
        self.counts: dict[str, int] = {}

    def begin(self) -> None:
        self.cluster.schedule(self.random.expovariate(1 / self.mean_s), self._act)

    def _act(self) -> None:
        if not self.active:
            return
        self.begin()
        kinds = (
            self._crash,
            self._crash,
            self._freeze,
            self._stall,
            self._isolate,
            self._one_way,
            self._loss,
            self._power_cut,
            self._lose_disk,
        )
        self.random.choice(kinds)(self.random.choice(list(self.cluster.cores)))

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def _crash(self, core_id: str) -> None:
        if self._is_alive(core_id):
            self._count("crash")
            self.cluster.crash(core_id)
            self.cluster.schedule(self.random.uniform(0.01, 4.0), lambda: self._restart(core_id))

    def _power_cut(self, core_id: str) -> None:
        """Crash two cores at the same time, with writes in flight."""
        self._count("power cut")
        other = self.random.choice([other for other in self.cluster.cores if other != core_id])
        delay = self.random.uniform(0.05, 0.9)
        for stopped in (core_id, other):
            disk = self.cluster.cores[stopped].disk
            if self.random.random() < 0.7:
                disk.stalled_until = self.cluster.now + delay + 0.1
            self.cluster.schedule(delay, lambda stopped=stopped: self._crash(stopped))

    def _restart(self, core_id: str) -> None:
        if core_id in self.cluster.cores and not self._is_alive(core_id):
            self.cluster.start(core_id)

    def _is_alive(self, core_id: str) -> bool:
        core = self.cluster.cores.get(core_id)
        return core is not None and core.alive

    def _freeze(self, core_id: str) -> None:
        core = self.cluster.cores[core_id]
        if core.alive and not core.frozen:
            self._count("freeze")
            incarnation = core.incarnation
            self.cluster.freeze(core_id)
            self.cluster.schedule(
                self.random.uniform(0.5, 20.0), lambda: self._unfreeze(core_id, incarnation)
            )

    def _unfreeze(self, core_id: str, incarnation: int) -> None:
        core = self.cluster.cores.get(core_id)
        if core is not None and core.incarnation == incarnation:
            self.cluster.unfreeze(core_id)

    def _stall(self, core_id: str) -> None:
        self._count("stall")
        disk = self.cluster.cores[core_id].disk
        disk.stalled_until = self.cluster.now + self.random.uniform(0.3, 5.0)

    def _isolate(self, core_id: str) -> None:
        self._count("isolate")
        self.cluster.isolate(core_id)
        self.cluster.schedule(self.random.uniform(0.5, 8.0), self.cluster.blocked_links.clear)

    def _one_way(self, core_id: str) -> None:
        self._count("one way")
        others = [other for other in self.cluster.cores if other != core_id]
        self.cluster.block_link(core_id, self.random.choice(others))
        self.cluster.schedule(self.random.uniform(0.5, 8.0), self.cluster.blocked_links.clear)

    def _loss(self, core_id: str) -> None:
        self._count("loss")
        self.cluster.lost_share = 0.15

        def end() -> None:
            self.cluster.lost_share = 0.0

        self.cluster.schedule(self.random.uniform(0.5, 5.0), end)

    def _lose_disk(self, core_id: str) -> None:
        if self._all_in_sync() and self.cluster.cores[core_id].alive:
            self._count("lost disk")
            self.cluster.crash(core_id)
            self.cluster.lose_disk(core_id)
            self.cluster.schedule(self.random.uniform(0.01, 4.0), lambda: self._restart(core_id))

    def _all_in_sync(self) -> bool:
        primary = self.cluster.primary()
        cores = [
            core
            for core in self.cluster.cores.values()
            if primary is not None and core.core_id in primary.component.peers.members
        ]
        if primary is None or not all(core.alive for core in cores):
            return False
        view = primary.component.primary.view
        current = {core.component.witness.state.own for core in cores}
        voting = all(core.component.witness.state.voting for core in cores)
        everybody = len(view.in_sync) == len(view.member_ids) == self.cluster.size
        return voting and set(view.in_sync) <= current and everybody and not view.previous


class Replacements(Faults):
    """Also replaces machines, unplanned or planned, by new ones at other addresses.

    At most one machine is removed at a time, and only while all others are in sync: this is what
    the system has to tolerate. A new machine is in the zone of the one that it replaces.
    """

    def __init__(self, cluster: Cluster, random: Random, mean_s: float = 2.0) -> None:
        super().__init__(cluster, random, mean_s)
        self._names = iter(LATER_IDS)
        cluster.zones = {core_id: f"zone-{core_id}" for core_id in cluster.cores}

    def _power_cut(self, core_id: str) -> None:
        """Replace a machine instead of cutting the power of two."""
        if not self._all_in_sync() or core_id not in self.cluster.primary().component.peers.members:
            return
        new_id = next(self._names, "")
        if not new_id:
            return
        self.cluster.zones[new_id] = self.cluster.zones[core_id]
        if self.random.random() < 0.5:
            self._count("replaced")
            self.cluster.replace(core_id, new_id)
        else:
            self._count("replaced as planned")
            self.cluster.add(new_id)
            self.cluster.schedule(self.random.uniform(0.5, 3.0), lambda: self._leave(core_id))

    def _leave(self, core_id: str) -> None:
        """Stop the old machine gracefully and remove it, once all members are in sync."""
        if core_id not in self.cluster.cores:
            return
        if not self._all_in_sync():
            self.cluster.schedule(0.5, lambda: self._leave(core_id))
            return
        self.cluster.deliver(core_id, ev.StopRequested())
        self.cluster.schedule(0.6, lambda: self._remove(core_id))

    def _remove(self, core_id: str) -> None:
        if core_id not in self.cluster.cores:
            return
        if self._is_alive(core_id):
            self.cluster.crash(core_id)
        self.cluster.remove(core_id)


def run_seed(
    seed: int,
    seconds: float = 40.0,
    mean_s: float = 2.0,
    kind: type[Faults] = Faults,
    core_ids: tuple[str, ...] = CORE_IDS,
    min_in_sync_replicas: int = 2,
) -> tuple[Oracle, Faults]:
    """Run one seeded history; the oracle raises if a guarantee is broken."""
    cluster = Cluster(seed, core_ids=core_ids, min_in_sync_replicas=min_in_sync_replicas)
    cluster.delayed_share = 0.01
    oracle = Oracle(cluster)
    random = Random(seed)
    operators = [Operator(oracle, random, name) for name in ("amal", "berit")]
    faults = kind(cluster, random, mean_s)
    cluster.start_all()
    for source in (*operators, faults):
        source.begin()
    cluster.run(seconds)
    for source in (*operators, faults):
        source.active = False
    cluster.run(cluster.now + 1.0)
    oracle.finish()
    return oracle, faults


def main() -> None:
    """Run many seeds and print each one that breaks a guarantee."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--replacements", action="store_true", help="machines are replaced, too")
    options = parser.parse_args()
    kind = Replacements if options.replacements else Faults
    broken, acknowledged = 0, 0
    for seed in range(options.first, options.last + 1):
        try:
            oracle, _ = run_seed(seed, kind=kind)
            acknowledged += len(oracle.acknowledged)
        except BrokenGuaranteeError as problem:
            broken += 1
            print(f"seed {seed}: {problem}")
    seeds = options.last + 1 - options.first
    print(f"{seeds} seeds, {acknowledged} changes acknowledged, {broken} seeds broke a guarantee")


if __name__ == "__main__":
    main()
