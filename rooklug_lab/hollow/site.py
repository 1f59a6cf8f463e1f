"""Generates a hollow deployment: machines, nodes, replicas and their first models."""

from collections import Counter

import attrs

from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug_lab.deployment import (
    CONTROLLER_PORTS,
    CORE_PORTS,
    FRONT_PORTS,
    LAB_PORT,
    REPLICA_PORT,
    listed_replica,
)
from rooklug_lab.hollow.document import (
    CONCURRENCY_A_UNIT,
    LOAD_S,
    REGION_WEIGHTS,
    REGIONS,
    RESOURCE,
    TOKENS_PER_S_A_UNIT,
    HollowRoute,
    build_document,
    build_routes,
    model_units,
    zone_regions,
)
from rooklug_lab.hollow.size import HollowSize
from rooklug_lab.standins.settings import ModelProfile, PlatformSettings, ReplicaSettings

CORES = 3
CONTROLLERS = 3
_LAB_ZONE = 99
_FIRST_FRONT = 10
_FIRST_REPLICA = 100


@attrs.frozen
class HollowSite:
    """Everything of one deployment. ``fronts`` may be real or hollow."""

    size: HollowSize
    subnet: int
    document: bytes
    routes: tuple[HollowRoute, ...]
    cores: tuple[CoreSettings, ...]
    controllers: tuple[NodeSettings, ...]
    fronts: tuple[NodeSettings, ...]
    replicas: tuple[ReplicaSettings, ...]
    platform: PlatformSettings

    @property
    def regions(self) -> tuple[str, ...]:
        """The regions, the largest first."""
        return REGIONS

    def desk_address(self, number: int) -> str:
        """Return where the hollow process ``number`` answers the lab."""
        return f"127.{self.subnet}.{_LAB_ZONE}.{number + 10}:{LAB_PORT}"

    def front_rate_per_s(self, region: str) -> float:
        """Return the requests that each front of a region gets."""
        fronts = sum(front.region == region for front in self.fronts)
        return self.size.requests_per_s * region_share(region) / max(1, fronts)


def region_share(region: str) -> float:
    """Return a region's share of capacity and traffic."""
    return REGION_WEIGHTS[REGIONS.index(region)] / sum(REGION_WEIGHTS)


def spread_over_zones(count: int) -> list[str]:
    """Return the zone of each of ``count`` machines: regions by weight, their zones evenly."""
    zones = zone_regions()
    zones_in = Counter(zones.values())
    shares = {zone: region_share(region) / zones_in[region] for zone, region in zones.items()}
    counts = {zone: max(1, int(share * count)) for zone, share in shares.items()}
    while sum(counts.values()) < count:
        behind = max(counts, key=lambda zone: shares[zone] * count - counts[zone])
        counts[behind] += 1
    while sum(counts.values()) > count:
        ahead = max(counts, key=lambda zone: counts[zone] - shares[zone] * count)
        counts[ahead] -= 1
    return [zone for zone, number in counts.items() for _ in range(number)]


def build_site(size: HollowSize, subnet: int) -> HollowSite:
    """Return the deployment; the same arguments give the same one, in every process."""
    builder = _Builder(size, subnet)
    replicas = builder.replicas()
    return HollowSite(
        size=size,
        subnet=subnet,
        document=build_document(size),
        routes=build_routes(size),
        cores=builder.cores(),
        controllers=tuple(
            builder.node("controller", zone, number + 5, CONTROLLER_PORTS)
            for number, zone in enumerate(builder.control_zones[:CONTROLLERS])
        ),
        fronts=builder.fronts(),
        replicas=replicas,
        platform=PlatformSettings(builder.platform_address, tuple(map(listed_replica, replicas))),
    )


class _Builder:
    def __init__(self, size: HollowSize, subnet: int) -> None:
        self._size = size
        self._subnet = subnet
        self._regions = zone_regions()
        self._zone_numbers = {zone: number for number, zone in enumerate(self._regions, 1)}
        self.control_zones = list(self._regions)[:CORES]
        self.platform_address = f"127.{subnet}.{_LAB_ZONE}.1:{REPLICA_PORT}"
        self._core_addresses = {
            f"core-{zone}": f"{self._ip(zone, 1)}:{CORE_PORTS[0]}" for zone in self.control_zones
        }

    def _ip(self, zone: str, number: int) -> str:
        return f"127.{self._subnet}.{self._zone_numbers[zone]}.{number}"

    def node(self, role: str, zone: str, number: int, ports: tuple[int, int]) -> NodeSettings:
        """Return the settings of one node."""
        ip = self._ip(zone, number)
        internal, http = (f"{ip}:{port}" for port in ports)
        return NodeSettings(
            node_id=f"{role}-{zone}" if role == "core" else f"{role}-{zone}-{number}",
            role=role,
            zone=zone,
            region=self._regions[zone],
            listen_internal=internal,
            listen_http=http,
            internal_address=internal,
            http_address=http,
            seeds=tuple(self._core_addresses.values()),
            bind_ip=ip,
            platform_address=self.platform_address,
        )

    def cores(self) -> tuple[CoreSettings, ...]:
        """Return the cores, one a zone."""
        nodes = [self.node("core", zone, 1, CORE_PORTS) for zone in self.control_zones]
        return tuple(CoreSettings(node, dict(self._core_addresses)) for node in nodes)

    def fronts(self) -> tuple[NodeSettings, ...]:
        """Return the fronts."""
        numbers: Counter = Counter()
        fronts = []
        for zone in spread_over_zones(self._size.fronts):
            number = _FIRST_FRONT + numbers[zone]
            numbers[zone] += 1
            fronts.append(self.node("front", zone, number, FRONT_PORTS))
        return tuple(fronts)

    def replicas(self) -> tuple[ReplicaSettings, ...]:
        """Return the replicas with models loaded as the traffic needs them."""
        units = self._units()
        zones = spread_over_zones(self._size.replicas)
        profiles = _profiles(self._size)
        first_models = _first_models(self._size, zones, units)
        numbers: Counter = Counter()
        replicas = []
        for index, zone in enumerate(zones):
            number = numbers[zone]
            numbers[zone] += 1
            replicas.append(
                ReplicaSettings(
                    replica_id=f"replica-{zone}-{number + 1}",
                    address=f"{self._ip(zone, _FIRST_REPLICA + number)}:{REPLICA_PORT}",
                    region=self._regions[zone],
                    zone=zone,
                    resource=RESOURCE,
                    resource_units=units[index],
                    models=profiles,
                    initial_models=first_models[index],
                    warm_requests=0,
                )
            )
        return tuple(replicas)

    def _units(self) -> list[float]:
        """Share the accelerators out: all replicas have as many, up to one."""
        count, total = self._size.replicas, self._size.accelerators
        least, more = divmod(total, count)
        return [float(least + (index * more % count < more)) for index in range(count)]


def _profiles(size: HollowSize) -> dict[str, ModelProfile]:
    return {
        name: ModelProfile(
            units, units * TOKENS_PER_S_A_UNIT, int(units * CONCURRENCY_A_UNIT), LOAD_S
        )
        for name, units in model_units(size).items()
    }


def _first_models(
    size: HollowSize, zones: list[str], units: list[float]
) -> dict[int, tuple[str, ...]]:
    """Fill each replica with the models that are shortest in its region, by their traffic."""
    needs = model_units(size)
    weights = dict.fromkeys(needs, 0.0)
    for route in build_routes(size):
        weights[route.model] += route.weight
    regions = zone_regions()
    placed: dict[str, Counter] = {region: Counter() for region in REGIONS}
    chosen = {}
    for index, zone in enumerate(zones):
        held = placed[regions[zone]]
        chosen[index] = _fill(units[index], needs, weights, held)
    return chosen


def _fill(
    free: float, needs: dict[str, float], weights: dict[str, float], held: Counter
) -> tuple[str, ...]:
    models: list[str] = []
    while True:
        fitting = [name for name in needs if needs[name] <= free and name not in models]
        if not fitting:
            return tuple(models)
        shortest = min(fitting, key=lambda name: (held[name] / weights[name], name))
        models.append(shortest)
        held[shortest] += needs[shortest]
        free -= needs[shortest]
