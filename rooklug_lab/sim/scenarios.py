"""The faults that scenarios inject, with random parameters drawn from the seed.

Each action gets a running site and injects or schedules its faults on it, while traffic and
small configuration changes continue. ``FAULTS`` holds the single actions by scenario name;
``rooklug_lab.sim.runner`` draws their start times and combines several of them. The first line
of each docstring is printed by ``rooklug-lab sim list``.
"""

from collections.abc import Callable
from random import Random

from rooklug_lab.sim.site import CONTROLLERS, CORES, FRONTS, Site
from rooklug_lab.standins.generation import ReplicaFaults
from rooklug_lab.standins.once_backend import BackendFaults

FaultAction = Callable[[Site, Random], None]
LONG_OUTAGE_S = 20.0
SHORT_OUTAGE_S = 4.0
FAULT_DURATION_S = 12.0
TRAFFIC_WINDOW_S = 5.0


def _random_member(site: Site, random: Random, group: str) -> str:
    return random.choice(site.groups[group])


def _random_busy_replica(site: Site, random: Random) -> str:
    """Return a replica with recent traffic, if any: a fault of an idle one tests nothing."""
    since = site.world.now - TRAFFIC_WINDOW_S
    busy = [
        journal.replica_id
        for journal in site.evidence.replicas
        if any(generation.started_s >= since for generation in journal.generations)
    ]
    return random.choice(busy or [replica.replica_id for replica in site.deployment.replicas])


def _random_backend(site: Site, random: Random) -> str:
    return random.choice(site.deployment.backends).replica_id


def no_fault(site: Site, random: Random) -> None:
    """No fault: the baseline for the other scenarios."""


def kill_core(site: Site, random: Random) -> None:
    """Kill a random core."""
    site.kill([_random_member(site, random, CORES)], random.uniform(1.0, 10.0))


def kill_primary(site: Site, random: Random) -> None:
    """Kill the primary core."""
    site.kill([site.primary()], random.uniform(1.0, 10.0))


def kill_primary_with_disk(site: Site, random: Random) -> None:
    """Kill the primary core and lose its disk."""
    site.kill([site.primary()], random.uniform(1.0, 10.0), lose_disk=True)


def freeze_primary(site: Site, random: Random) -> None:
    """Suspend the primary core for twenty seconds, then resume it."""
    site.freeze([site.primary()], LONG_OUTAGE_S)


def cut_primary(site: Site, random: Random) -> None:
    """Cut the primary's machine off from the network silently for twenty seconds."""
    site.cut([site.primary()], LONG_OUTAGE_S)


def isolate_primary(site: Site, random: Random) -> None:
    """Cut the primary off from the other cores only, during many changes; then lose its disk."""
    primary = site.primary()
    others = [site.process(name).place for name in site.groups[CORES] if name != primary]
    site.cut_places([site.process(primary).place], others, SHORT_OUTAGE_S)
    for number in range(20):
        site.at(site.world.now + number * 0.1, site.order_patch)
    site.at(site.world.now + 2.2, lambda: site.kill([primary], 6.0, lose_disk=True))


def cut_core_one_way(site: Site, random: Random) -> None:
    """Cut a core off in one direction: it can receive but not send, or the reverse."""
    inbound = random.random() < 0.5
    site.cut([_random_member(site, random, CORES)], 10.0, inbound=inbound, outbound=not inbound)


def stall_disk(site: Site, random: Random) -> None:
    """Stall a core's disk for two to twelve seconds."""
    site.stall_disk(_random_member(site, random, CORES), random.uniform(2.0, 12.0))


def freeze_controllers(site: Site, random: Random) -> None:
    """Suspend all controllers but one for twenty seconds, probably including the placer."""
    names = list(site.groups[CONTROLLERS])
    random.shuffle(names)
    site.freeze(names[:-1], LONG_OUTAGE_S)


def cut_controllers(site: Site, random: Random) -> None:
    """Cut two controllers off from the network silently for twenty seconds."""
    names = list(site.groups[CONTROLLERS])
    random.shuffle(names)
    site.cut(names[:2], LONG_OUTAGE_S)


def kill_controllers(site: Site, random: Random) -> None:
    """Kill all controllers at once."""
    site.kill(site.groups[CONTROLLERS], random.uniform(1.0, 6.0))


def kill_control(site: Site, random: Random) -> None:
    """Kill all cores and controllers at once."""
    site.kill([*site.groups[CORES], *site.groups[CONTROLLERS]], random.uniform(1.0, 5.0))


def kill_everything(site: Site, random: Random) -> None:
    """Kill every daemon at once; callers and back ends keep running."""
    site.kill([name for group in site.groups.values() for name in group], random.uniform(1.0, 4.0))


def cut_cores_from_fronts(site: Site, random: Random) -> None:
    """Cut all cores off from every other machine; they still reach one another."""
    site.cut(site.groups[CORES], random.uniform(5.0, 20.0))


def kill_fronts(site: Site, random: Random) -> None:
    """Kill one to four fronts at once."""
    names = random.sample(site.groups[FRONTS], random.randint(1, 4))
    site.kill(names, random.uniform(1.0, 8.0))


def freeze_fronts(site: Site, random: Random) -> None:
    """Suspend one to three fronts for up to twenty seconds, then resume them."""
    names = random.sample(site.groups[FRONTS], random.randint(1, 3))
    site.freeze(names, random.uniform(3.0, LONG_OUTAGE_S))


def cut_front(site: Site, random: Random) -> None:
    """Cut a front's machine off from the network, in one direction or both."""
    inbound = random.random() < 0.7
    outbound = not inbound or random.random() < 0.7
    site.cut([_random_member(site, random, FRONTS)], random.uniform(3.0, 15.0), inbound, outbound)


def kill_zone(site: Site, random: Random) -> None:
    """Kill all daemons and back ends of a zone at once; they restart together."""
    zone = random.choice(list(site.deployment.zone_regions))
    site.kill(site.in_zone(zone), random.uniform(2.0, 10.0))


def cut_regions(site: Site, random: Random) -> None:
    """Cut the first region off from the others."""
    site.cut_regions(random.uniform(4.0, 20.0))


def kill_replica(site: Site, random: Random) -> None:
    """Kill a replica; it restarts cold, with an empty cache."""
    site.kill([_random_busy_replica(site, random)], random.uniform(1.0, 6.0))


def kill_replica_twice(site: Site, random: Random) -> None:
    """Kill a replica, and kill it again shortly after its recovery."""
    replica = _random_busy_replica(site, random)
    site.kill([replica], 2.0)
    site.at(site.world.now + random.uniform(9.0, 14.0), lambda: site.kill([replica], 2.0))


def kill_all_replicas(site: Site, random: Random) -> None:
    """Kill all replicas; they restart together, cold."""
    site.kill([replica.replica_id for replica in site.deployment.replicas], SHORT_OUTAGE_S)


def freeze_replica(site: Site, random: Random) -> None:
    """Suspend a replica for three to ten seconds."""
    site.freeze([_random_busy_replica(site, random)], random.uniform(3.0, 10.0))


def cut_backend(site: Site, random: Random) -> None:
    """Cut a once-only back end off, sometimes outbound only: answers are lost or late."""
    inbound = random.random() < 0.5
    site.cut([_random_backend(site, random)], random.uniform(2.0, 10.0), inbound, outbound=True)


def kill_backend(site: Site, random: Random) -> None:
    """Kill a once-only back end; it restarts within seconds."""
    site.kill([_random_backend(site, random)], random.uniform(1.0, 6.0))


def freeze_backend(site: Site, random: Random) -> None:
    """Suspend a once-only back end for a few seconds: its answers are late."""
    site.freeze([_random_backend(site, random)], random.uniform(2.0, 8.0))


def bad_streams(site: Site, random: Random) -> None:
    """Replicas truncate, skip, repeat and mix up parts of their streams for twelve seconds."""
    faults = (
        ReplicaFaults(break_after=2),
        ReplicaFaults(skip_index=2),
        ReplicaFaults(repeat_index=1),
        ReplicaFaults(foreign_id=True),
    )
    for number, replica in enumerate(site.deployment.replicas):
        _switch_faults(site, replica.replica_id, faults[number % len(faults)], ReplicaFaults())


def bad_backend(site: Site, random: Random) -> None:
    """Once-only back ends lose, delay and mix up answers for twelve seconds."""
    for backend in site.deployment.backends:
        faults = BackendFaults(
            lose_share=random.uniform(0.1, 0.4),
            late_share=random.uniform(0.1, 0.4),
            late_s=random.uniform(0.5, 6.0),
            cross_share=random.uniform(0.0, 0.3),
        )
        _switch_faults(site, backend.replica_id, faults, BackendFaults())


def stalled_loads(site: Site, random: Random) -> None:
    """Model loads stall on all replicas for twelve seconds while one of them restarts."""
    for replica in site.deployment.replicas:
        _switch_faults(site, replica.replica_id, ReplicaFaults(stall_loads=True), ReplicaFaults())
    kill_replica(site, random)


def replica_leaves(site: Site, random: Random) -> None:
    """The platform marks a replica as leaving, and unmarks it twelve seconds later."""
    replica = _random_busy_replica(site, random)
    _mark_leaving(site, replica, True)
    site.at(site.world.now + 12.0, lambda: _mark_leaving(site, replica, False))


def backend_leaves(site: Site, random: Random) -> None:
    """The platform marks a once-only back end as leaving, and unmarks it twelve seconds later."""
    backend = _random_backend(site, random)
    _mark_leaving(site, backend, True)
    site.at(site.world.now + 12.0, lambda: _mark_leaving(site, backend, False))


def zone_emptied(site: Site, random: Random) -> None:
    """An operator drains a zone and restores it twelve seconds later."""
    zone = random.choice(list(site.deployment.zone_regions))
    site.order_zone(zone, "empty")
    site.at(site.world.now + 12.0, lambda: site.order_zone(zone, "restore"))


def race_of_operators(site: Site, random: Random) -> None:
    """Two operators send different changes with the same version, six times."""
    for number in range(6):
        site.at(site.world.now + number * random.uniform(0.5, 1.5), site.order_race)


def storm_of_changes(site: Site, random: Random) -> None:
    """Forty changes in four seconds, some of them invalid."""
    for number in range(40):
        site.at(site.world.now + number * 0.1, lambda n=number: site.order_patch(n % 7 == 3))


def burst(site: Site, random: Random) -> None:
    """The traffic of one region triples for ten seconds."""
    region = random.choice(site.deployment.regions)
    site.set_rate(region, 3.0)
    site.at(site.world.now + 10.0, lambda: site.set_rate(region, 1.0))


def wall_clocks_jump(site: Site, random: Random) -> None:
    """Wall clocks jump by up to two hours, some forward and some back."""
    for process in site.world.processes.values():
        process.wall_offset_ms += random.randint(-7_200_000, 7_200_000)


def _switch_faults(site: Site, name: str, faults, no_faults) -> None:
    process = site.process(name)
    process.act(lambda reducer, now: _set_faults(reducer, faults, now))
    later = site.world.now + FAULT_DURATION_S
    site.at(later, lambda: process.act(lambda reducer, now: _set_faults(reducer, no_faults, now)))


def _set_faults(reducer, faults, now: float) -> list:
    if hasattr(reducer, "set_faults"):
        return reducer.set_faults(faults, now)
    reducer.faults = faults
    return []


def _mark_leaving(site: Site, replica: str, leaving: bool) -> None:
    platform = site.process("platform")
    platform.act(lambda reducer, now: reducer.mark_leaving(replica, leaving, now))


FAULTS: dict[str, FaultAction] = {
    action.__name__.replace("_", "-"): action
    for action in (
        no_fault,
        kill_core,
        kill_primary,
        kill_primary_with_disk,
        freeze_primary,
        cut_primary,
        isolate_primary,
        cut_core_one_way,
        stall_disk,
        freeze_controllers,
        cut_controllers,
        kill_controllers,
        kill_control,
        kill_everything,
        cut_cores_from_fronts,
        kill_fronts,
        freeze_fronts,
        cut_front,
        kill_zone,
        cut_regions,
        kill_replica,
        kill_replica_twice,
        kill_all_replicas,
        freeze_replica,
        cut_backend,
        kill_backend,
        freeze_backend,
        bad_streams,
        bad_backend,
        stalled_loads,
        replica_leaves,
        backend_leaves,
        zone_emptied,
        race_of_operators,
        storm_of_changes,
        burst,
        wall_clocks_jump,
    )
}
