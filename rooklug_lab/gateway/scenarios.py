"""Fault scenarios of a gateway deployment, and the function that runs and judges one.

A scenario is called after the warm-up and schedules its faults; the seeded generator that it
gets draws their times and targets. A run has ``FAULTS_S`` for the faults and ``SETTLE_S`` for
recovery before the oracles judge it.
"""

from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from rooklug_lab.gateway.journal import Journal
from rooklug_lab.gateway.large_days import LARGE_DAYS
from rooklug_lab.gateway.long_day import LONG_DAY_S, long_day
from rooklug_lab.gateway.oracles import judge
from rooklug_lab.gateway.random_day import random_day
from rooklug_lab.gateway.replicas import Conduct
from rooklug_lab.gateway.shape import FIXED_SHAPE, LARGE_SHAPE, WIDE_SHAPE, SiteShape, drawn_shape
from rooklug_lab.gateway.site import GatewaySite

WARM_UP_S = 6.0
FAULTS_S = 16.0
SETTLE_S = 14.0

Scenario = Callable[[GatewaySite, Random], None]


def calm(site: GatewaySite, random: Random) -> None:
    """Nothing goes wrong; a change adds a route that clients use three seconds later."""
    site.change(["late"])
    site.later(3.5, lambda: site.add_path("/late/1"))


def replicas_fail(site: GatewaySite, random: Random) -> None:
    """Replicas crash, lose power and drain; a zone is drained and restored cold."""
    models = [entry for entry in site.replicas if entry.service == "model"]
    random.shuffle(models)
    crash, dark, leaving, second = models[:4]
    _at_random_time(site, random, lambda: site.crash_replica(crash, 2.0))
    _at_random_time(site, random, lambda: site.crash_replica(dark, 3.0, dark=True))
    _at_random_time(site, random, lambda: site.drain(leaving))
    _at_random_time(site, random, lambda: site.drain(second))
    zone = random.choice(list(site.shape.zones))
    site.order_zone(zone, "empty")
    site.later(9.0, lambda: site.turn_cold(zone))
    site.later(9.1, lambda: site.order_zone(zone, "restore"))


def control_is_killed(site: GatewaySite, random: Random) -> None:
    """The primary loses power right after a change, perhaps its disk too; later all cores die."""
    site.change(["first"])
    site.world.run_for(random.uniform(0.005, 0.3))
    wiped = random.random() < 0.5
    site.kill([site.primary()], 2.0, power=True, wipe=wiped)
    site.later(8.0, lambda: site.change(["second"]))
    site.later(8.0 + random.uniform(0.005, 0.3), lambda: _kill_all_cores(site))
    leaving = random.choice(site.replicas)
    site.later(8.5, lambda: site.drain(leaving))


def everything_is_killed(site: GatewaySite, random: Random) -> None:
    """All cores and fronts are killed simultaneously, right after a change was sent."""
    site.change(["first"])
    site.world.run_for(random.uniform(0.0, 0.3))
    power = random.random() < 0.5
    site.kill([*site.cores, *site.fronts], 1.0, power=power)


def machines_are_cut_off(site: GatewaySite, random: Random) -> None:
    """Clocks jump, the primary is partitioned, a disk stalls, a core is partitioned."""
    site.jump_clocks(random.choice([-20_000, 20_000]))
    primary = site.primary()
    site.isolate([primary], random.uniform(3.0, 5.0))
    site.later(1.0, lambda: site.change(["first"]))
    site.later(1.2, lambda: site.order_zone("north-b", "empty"))
    site.later(6.0, lambda: site.order_zone("north-b", "restore"))
    other = random.choice([core for core in site.cores if core != primary])
    site.later(9.5, lambda: site.stall_disk(other, 3.0))
    site.later(10.0, lambda: site.change(["second"]))
    outbound = random.random() < 0.5
    site.later(11.0, lambda: site.isolate([random.choice(site.cores)], 3.0, outbound=outbound))


def configurations_storm(site: GatewaySite, random: Random) -> None:
    """Changes in quick succession, conflicting and invalid ones, and one of 300 routes."""
    for number in range(12):
        delay_s = 0.4 * number
        site.later(delay_s, lambda n=number: site.change([f"storm{n}"]))
        if number % 3 == 0:
            site.later(delay_s, site.rival)
        if number % 4 == 0:
            site.later(delay_s + 0.2, site.invalid)
    many = [f"many{number}" for number in range(300)]
    site.later(7.0, lambda: site.change(many))
    site.later(10.5, lambda: site.add_path("/many299/1"))
    site.later(10.5, lambda: site.add_path("/storm11/1"))


def traffic_moves(site: GatewaySite, random: Random) -> None:
    """A traffic burst in one region, then the other, while replicas there become cold."""
    site.set_rate("south", 3.0)
    site.turn_cold("south-a")
    site.later(5.0, lambda: site.set_rate("south", 0.5))
    site.later(5.0, lambda: site.set_rate("north", 3.0))
    site.later(6.0, lambda: site.turn_cold("north-a"))
    site.later(6.2, lambda: site.turn_cold("north-b"))
    site.later(10.0, lambda: site.set_rate("north", 1.0))


def zone_returns_cold(site: GatewaySite, random: Random) -> None:
    """A drained zone is restored during a burst, 0.05 s after its replicas became cold."""
    zone = "south-a"
    site.order_zone(zone, "empty")
    site.later(5.0, lambda: site.set_rate("south", 6.0))
    cold_at_s = random.uniform(7.0, 9.0)
    site.later(cold_at_s, lambda: site.turn_cold(zone))
    site.later(cold_at_s + 0.05, lambda: site.order_zone(zone, "restore"))
    site.later(14.0, lambda: site.set_rate("south", 1.0))


def region_is_lost(site: GatewaySite, random: Random) -> None:
    """A whole region loses power under load and returns with cold replicas under new ids.

    This happens twice, the second time while the primary is partitioned.
    """
    region = random.choice(site.shape.regions)
    for other in site.shape.regions:
        site.set_rate(other, 4.0)
    site.later(1.0, lambda: site.lose_region(region, random.uniform(1.5, 5.5)))
    site.later(9.0, lambda: site.isolate([site.primary()], 3.0))
    site.later(9.5, lambda: site.lose_region(region, random.uniform(1.5, 3.5)))
    for other in site.shape.regions:
        site.later(15.0, lambda place=other: site.set_rate(place, 1.0))


def control_falls_apart(site: GatewaySite, random: Random) -> None:
    """The cores are partitioned into halves, then a region is, while cold zones are restored."""
    for region in site.shape.regions:
        site.set_rate(region, 3.0)
    first, second = random.sample(list(site.shape.zones), 2)
    half, others = site.core_halves(random)
    site.order_zone(first, "empty")
    site.order_zone(second, "empty")
    site.later(1.0, lambda: site.partition(half, others, random.uniform(2.0, 4.0)))
    cold_at_s = random.uniform(1.5, 4.5)
    site.later(cold_at_s, lambda: site.turn_cold(first))
    site.later(cold_at_s + 0.05, lambda: site.order_zone(first, "restore"))
    region = random.choice(site.shape.regions)
    inside = site.nodes_in(region)
    site.later(6.0, lambda: site.isolate(inside, random.uniform(2.0, 4.0)))
    cold_at_s = random.uniform(6.5, 9.5)
    site.later(cold_at_s, lambda: site.turn_cold(second))
    site.later(cold_at_s + 0.05, lambda: site.order_zone(second, "restore"))


def replicas_lie(site: GatewaySite, random: Random) -> None:
    """Replicas that are listed as healthy fail, reject or don't answer requests.

    Some routes allow repeats, and some are bound to a region.
    """
    homes = [f"home-{region}" for region in site.shape.regions]
    site.change(["again", *homes])
    for name in ("again", *homes):
        site.later(3.5, lambda path=f"/{name}/1": site.add_path(path))
    models = [entry for entry in site.replicas if entry.service == "model"]
    ledgers = [entry for entry in site.replicas if entry.service == "ledger"]
    misbehaving = [*random.sample(models, 2), *random.sample(ledgers, 2)]
    for entry in misbehaving:
        for begin_s in (4.0, 8.0, 12.0):
            conduct = random.choice([Conduct.FAILS, Conduct.REJECTS, Conduct.SILENT])
            begin_s += random.uniform(0.0, 1.5)
            action = partial(site.misbehave, entry, conduct, random.uniform(0.5, 2.5))
            site.later(begin_s, action)


def fronts_miss_an_evacuation(site: GatewaySite, random: Random) -> None:
    """Fronts are cut off from the cores while a zone is drained, or restored cold, under load."""
    zone = random.choice(list(site.shape.zones))
    region = site.shape.zones[zone]
    fronts = [name for name in site.fronts if site.process(name).place.region == region]
    for place in site.shape.regions:
        site.set_rate(place, 4.0)
        site.later(15.0, lambda region=place: site.set_rate(region, 1.0))
    emptied_at_s, restored_at_s = 2.0, random.uniform(7.0, 10.0)
    begin_s, end_s = random.choice(
        [
            (emptied_at_s - 1.3, emptied_at_s + 3.0),
            (restored_at_s - 2.5, restored_at_s + random.uniform(-0.3, 1.0)),
            (emptied_at_s - 1.3, restored_at_s + random.uniform(-0.5, 0.6)),
        ]
    )
    cut = random.sample(fronts, random.randint(1, len(fronts)))
    site.later(begin_s, lambda: site.partition(cut, site.cores, end_s - begin_s))
    site.later(emptied_at_s, lambda: site.order_zone(zone, "empty"))
    site.later(restored_at_s - 0.05, lambda: site.turn_cold(zone))
    site.later(restored_at_s, lambda: site.order_zone(zone, "restore"))


def one_zone_is_left_and_turns_cold(site: GatewaySite, random: Random) -> None:
    """Fronts of all regions are at their limits at the only replicas, which turn cold unannounced.

    In each region two fronts are killed as well, so that standby fronts serve.
    """
    zone = random.choice(list(site.shape.zones))
    models = [entry for entry in site.replicas if entry.service == "model"]
    for entry in models:
        if entry.zone != zone:
            site.later(random.uniform(0.5, 1.5), partial(site.crash_replica, entry, FAULTS_S - 2.0))
    for region in site.shape.regions:
        site.later(2.0, lambda place=region: site.set_rate(place, 3.0))
        site.later(FAULTS_S - 2.0, lambda place=region: site.set_rate(place, 1.0))
        fronts = [name for name in site.fronts if site.process(name).place.region == region]
        site.later(random.uniform(3.0, 8.0), partial(site.kill, random.sample(fronts, 2), 2.0))
    for _ in range(4):
        site.later(random.uniform(4.0, FAULTS_S - 3.0), partial(site.turn_cold, zone))


def rejections_come_twice(site: GatewaySite, random: Random) -> None:
    """Replicas send rejections a second time, late, in the place of the next answer."""
    site.change(["again"])
    site.later(3.5, lambda: site.add_path("/again/1"))
    for entry in random.sample(site.replicas, len(site.replicas) // 2):
        for begin_s in (4.0, 8.0, 12.0):
            begin_s += random.uniform(0.0, 1.5)
            action = partial(site.misbehave, entry, Conduct.REPEATS_REJECTIONS, 2.0)
            site.later(begin_s, action)


SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        calm,
        replicas_fail,
        control_is_killed,
        everything_is_killed,
        machines_are_cut_off,
        configurations_storm,
        traffic_moves,
        zone_returns_cold,
        region_is_lost,
        control_falls_apart,
        replicas_lie,
        rejections_come_twice,
        one_zone_is_left_and_turns_cold,
        fronts_miss_an_evacuation,
        random_day,
        long_day,
        *LARGE_DAYS,
    )
}

RANDOM_SCENARIOS = frozenset({random_day.__name__})
"""Scenarios whose deployment is randomized as well."""
WIDE = frozenset({region_is_lost.__name__, control_falls_apart.__name__})
"""Scenarios that need a deployment which tolerates the loss of a region."""
LONG = frozenset({long_day.__name__})
"""Scenarios of ``LONG_DAY_S``; odd seeds have the fixed deployment, even ones a randomized one."""
LARGE = frozenset(day.__name__ for day in LARGE_DAYS)
"""Scenarios that run on a deployment of two hundred machines."""


@attrs.frozen
class GatewayRun:
    """A finished run: its journal, violations by oracle, and the share of served requests."""

    journal: Journal
    broken: dict[str, list[str]]
    served_share: float


def run_gateway_scenario(name: str, seed: int) -> GatewayRun:
    """Run one scenario with one seed and check the oracles on its journal."""
    site = GatewaySite(seed, _shape_for(name, seed))
    site.start()
    site.world.run_for(WARM_UP_S)
    SCENARIOS[name](site, Random(seed))
    site.world.run_for(LONG_DAY_S if name in LONG else FAULTS_S)
    site.world.run_for(SETTLE_S)
    site.read_back()
    attempts = [a for a in site.journal.attempts if a.ended_at]
    served = sum(attempt.served for attempt in attempts) / max(len(attempts), 1)
    return GatewayRun(site.journal, judge(site.journal, site.shape.cold_rate_per_s), served)


def _shape_for(name: str, seed: int) -> SiteShape:
    if name in RANDOM_SCENARIOS or (name in LONG and seed % 2 == 0):
        return drawn_shape(Random(seed))
    if name in LARGE:
        return LARGE_SHAPE
    return WIDE_SHAPE if name in WIDE else FIXED_SHAPE


def _at_random_time(site: GatewaySite, random: Random, action: Callable[[], None]) -> None:
    site.later(random.uniform(0.5, FAULTS_S / 2), action)


def _kill_all_cores(site: GatewaySite) -> None:
    site.kill(site.cores, 0.8)
