"""Fault scenarios ("days") of simulated deployments; each schedules its faults at fixed times.

A fault with ``dark`` is a power loss: connections time out instead of being reset or refused.
"""

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rooklug_lab.policy.world import PolicyWorld

Day = Callable[["PolicyWorld", Random], None]


def calm(world: "PolicyWorld", random: Random) -> None:
    """No faults."""


def replicas_crash(world: "PolicyWorld", random: Random) -> None:
    """A sixth of the model replicas crash, about half without resets, and restart cold."""
    for replica in _sample(world, random, 1 / 6):
        dark = random.random() < 0.5
        at = random.uniform(6.0, 14.0)
        world.at(at, lambda r=replica, d=dark: world.stop_replica(r.address, d, 4.5))


def replicas_lie(world: "PolicyWorld", random: Random) -> None:
    """14 % of the model replicas misbehave: half fail 45 % of their requests, half never answer."""
    for number, replica in enumerate(_sample(world, random, 0.14)):
        conduct = {"hangs": True} if number % 2 else {"failing_share": 0.45}
        world.at(8.0, lambda r=replica, c=conduct: world.misbehave(r.address, 6.5, **c))


def region_is_lost(world: "PolicyWorld", random: Random) -> None:
    """All fronts and replicas of a region lose power and restart together."""
    region = random.choice(sorted({zone.region for zone in world.site.zones}))
    world.at(10.0, lambda: world.cut_region_power(region, 5.5))


def zone_returns_cold(world: "PolicyWorld", random: Random) -> None:
    """All replicas of a zone stop and restart together, cold; later another zone is evacuated."""
    zones = [zone.name for zone in world.site.zones]
    first, second = random.sample(zones, 2)
    world.at(8.0, lambda: world.stop_zone_replicas(first, 4.0))
    world.at(18.0, lambda: world.control.evacuate(second, True))
    world.at(25.0, lambda: world.control.evacuate(second, False))


def fronts_are_killed(world: "PolicyWorld", random: Random) -> None:
    """A sixth of the fronts are killed and restart; their connections are reset."""
    names = sorted(world.fronts)
    for name in random.sample(names, max(1, len(names) // 6)):
        world.at(9.0, lambda n=name: world.stop_front(n, False, 3.5))


def machines_lose_power(world: "PolicyWorld", random: Random) -> None:
    """Every front loses power and restarts; the replicas keep running."""
    world.at(20.0, lambda: world.cut_front_power(1.5))


def all_lose_power(world: "PolicyWorld", random: Random) -> None:
    """Every front and replica loses power and restarts."""
    world.at(20.0, lambda: world.cut_all_power(1.5))


DAYS: dict[str, Day] = {
    day.__name__: day
    for day in (
        calm,
        replicas_crash,
        replicas_lie,
        region_is_lost,
        zone_returns_cold,
        fronts_are_killed,
        machines_lose_power,
        all_lose_power,
    )
}


def _sample(world: "PolicyWorld", random: Random, share: float) -> list:
    models = [r for r in world.running_replicas() if r.engine is not None]
    return random.sample(models, max(1, round(len(models) * share)))
