"""Sizes of simulated gateway deployments: three fixed ones, and randomized ones."""

from random import Random

import attrs

MIN_REPLICAS = 3
MAX_CORES = 7


@attrs.frozen
class SiteShape:
    """Sizes and bounds of a deployment.

    ``zones`` maps each zone to its region, and ``core_zones`` names the zone of each core, the
    three seeds first. ``client_rate_per_s`` applies to each region, ``cold_rate_per_s`` to each
    replica of a model. ``min_in_sync_replicas`` is the number of disks that must hold a change
    before it is acknowledged; one fewer may be lost at once.
    """

    zones: dict[str, str]
    core_zones: tuple[str, ...]
    min_in_sync_replicas: int = 2
    fronts_per_zone: int = 3
    models_per_zone: int = 2
    region_delay_s: float = 0.02
    client_rate_per_s: float = 12.0
    cold_rate_per_s: float = 6.0

    @property
    def regions(self) -> list[str]:
        """The names of the regions, sorted."""
        return sorted(set(self.zones.values()))

    @property
    def tolerance(self) -> int:
        """How many disks may be lost at once without loss of an acknowledged change."""
        return self.min_in_sync_replicas - 1


def zones_of(regions: tuple[str, ...], letters: str) -> dict[str, str]:
    """Return one zone per region and letter, mapped to its region, with regions alternating."""
    return {f"{region}-{letter}": region for letter in letters for region in regions}


FIXED_ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
FIXED_SHAPE = SiteShape(zones=FIXED_ZONES, core_zones=tuple(FIXED_ZONES))
"""Three cores, nine fronts, two regions: the deployment of most scenarios."""

WIDE_ZONES = zones_of(("north", "south", "west"), "ab")
WIDE_SHAPE = SiteShape(
    zones=WIDE_ZONES,
    core_zones=tuple(WIDE_ZONES),
    min_in_sync_replicas=3,
    fronts_per_zone=5,
    models_per_zone=4,
    region_delay_s=0.055,
    client_rate_per_s=30.0,
)
"""Six cores, thirty fronts, three regions, one of which may be lost."""


LARGE_ZONES = zones_of(("north", "south"), "abc")
LARGE_SHAPE = SiteShape(
    zones=LARGE_ZONES,
    core_zones=tuple(LARGE_ZONES),
    min_in_sync_replicas=3,
    fronts_per_zone=33,
    models_per_zone=10,
    region_delay_s=0.02,
    client_rate_per_s=60.0,
    cold_rate_per_s=9.0,
)
"""Two hundred machines in two regions, six of them with a core, two of which may be lost."""


def drawn_shape(random: Random) -> SiteShape:
    """Return a randomized deployment of one to three regions and three to seven cores."""
    zones = _drawn_zones(random)
    core_zones = _drawn_core_zones(random, list(zones))
    models = random.randint(1, 3)
    if models * len(zones) < MIN_REPLICAS:
        models = MIN_REPLICAS
    return SiteShape(
        zones=zones,
        core_zones=core_zones,
        min_in_sync_replicas=2 if len(core_zones) < 5 else random.choice([2, 3]),
        fronts_per_zone=random.randint(2, 4),
        models_per_zone=models,
        region_delay_s=random.uniform(0.005, 0.05),
        client_rate_per_s=random.uniform(6.0, 12.0),
        cold_rate_per_s=random.uniform(5.0, 12.0),
    )


def _drawn_zones(random: Random) -> dict[str, str]:
    zones = {
        f"region{region}-{letter}": f"region{region}"
        for region in range(1, random.randint(1, 3) + 1)
        for letter in "abc"[: random.randint(1, 3)]
    }
    return zones if len(zones) > 1 else {"region1-a": "region1", "region1-b": "region1"}


def _drawn_core_zones(random: Random, zones: list[str]) -> tuple[str, ...]:
    """Return each core's zone, assigned round-robin so that the seeds are spread over zones."""
    count = random.choice([3, 3, 5, 6, MAX_CORES])
    return tuple(zones[number % len(zones)] for number in range(count))
