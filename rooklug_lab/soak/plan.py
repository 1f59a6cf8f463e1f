"""Draws the events of a soak from its seed; the same seed gives the same plan."""

from enum import Enum
from random import Random

import attrs

SETTLED_S = 2.5
"""From then on a site that nothing disturbs has its first view and configuration."""
FIRST_KILLS_S = 1.2
DISK_GAP_S = 9.0
"""At least this long before and after the loss of a disk, no core is disturbed."""


class Kind(Enum):
    """What happens to the site."""

    KILL = "SIGKILL to a process"
    STOP = "SIGTERM to a process"
    FREEZE = "SIGSTOP to a process, SIGCONT later"
    RELOAD = "SIGHUP to a process"
    KILL_CORES = "SIGKILL to all cores at once"
    LOSE_DISK = "SIGKILL to a core, and an empty disk"
    ROLL = "SIGTERM to the processes of one role, one after the other"
    DRAIN_ZONE = "a zone is drained and returned to service"
    CHANGE = "a valid configuration"
    RACE = "two configurations on top of the same version"
    HOSTILE_CHANGE = "a configuration that no field can carry"
    HOSTILE_LIST = "unusable entries on the platform's list"
    HOSTILE_CLIENT = "heads and bytes that no proper client sends"
    REPLICA_CONDUCT = "a replica misbehaves"
    REPLICA_RESTART = "a replica ends and starts again under another id"


CORE_KINDS = (Kind.KILL_CORES, Kind.LOSE_DISK)
"""Kinds that disturb cores whatever their target."""
WEIGHTS = {
    Kind.KILL: 6,
    Kind.STOP: 3,
    Kind.FREEZE: 3,
    Kind.RELOAD: 1,
    Kind.KILL_CORES: 2,
    Kind.ROLL: 1,
    Kind.DRAIN_ZONE: 2,
    Kind.CHANGE: 6,
    Kind.RACE: 2,
    Kind.HOSTILE_CHANGE: 4,
    Kind.HOSTILE_LIST: 2,
    Kind.HOSTILE_CLIENT: 4,
    Kind.REPLICA_CONDUCT: 6,
    Kind.REPLICA_RESTART: 3,
}


@attrs.frozen
class Event:
    """One event, ``at`` seconds after the processes were started.

    ``role`` and ``target`` select a process, zone or replica (by its number, modulo their count);
    ``for_s`` is how long it lasts, ``variant`` draws among its forms.
    """

    at: float
    kind: Kind
    role: str = "core"
    target: int = 0
    for_s: float = 0.0
    variant: int = 0


def draw_plan(seed: int, seconds: float, cores: int) -> list[Event]:
    """Return the events of the ``seconds`` in which a soak disturbs its site, by time."""
    random = Random(seed)
    events = _first_kills(random, cores)
    count = max(4, int(seconds * random.uniform(0.25, 0.7)))
    events += [_draw(random, random.uniform(SETTLED_S, seconds)) for _ in range(count)]
    if random.random() < 0.5 and seconds > 2 * DISK_GAP_S + SETTLED_S:
        at = random.uniform(SETTLED_S + DISK_GAP_S, seconds - DISK_GAP_S)
        lost = Event(at, Kind.LOSE_DISK, target=random.randrange(cores))
        events = [event for event in events if not _collides(event, lost)] + [lost]
    return sorted(events, key=lambda event: event.at)


def _first_kills(random: Random, cores: int) -> list[Event]:
    """Kill cores before, during and after the formation of the first view."""
    if random.random() < 0.3:
        return []
    if random.random() < 0.4:
        return [Event(random.uniform(0.0, FIRST_KILLS_S), Kind.KILL_CORES)]
    return [
        Event(random.uniform(0.0, FIRST_KILLS_S), Kind.KILL, target=random.randrange(cores))
        for _ in range(random.randint(1, 3))
    ]


def _draw(random: Random, at: float) -> Event:
    kind = random.choices(list(WEIGHTS), weights=list(WEIGHTS.values()))[0]
    return Event(
        at=at,
        kind=kind,
        role=random.choice(["core", "front"]),
        target=random.randrange(1000),
        for_s=random.uniform(0.5, 4.0),
        variant=random.randrange(1000),
    )


def _collides(event: Event, lost: Event) -> bool:
    """Return whether an event disturbs cores near the loss of a disk."""
    on_core = event.role == "core" and event.kind in (
        Kind.KILL,
        Kind.STOP,
        Kind.FREEZE,
        Kind.ROLL,
    )
    disturbs = on_core or event.kind in CORE_KINDS
    return disturbs and abs(event.at - lost.at) < DISK_GAP_S
