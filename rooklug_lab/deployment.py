"""The two deployments of today as data: machines, processes, stand-ins and traffic.

The fleet (real processes) and the simulator are both built from a ``Deployment``.
Every machine has an IP 127.SUBNET.ZONE.NUMBER, so zone and region follow from it.
"""

import json
from collections.abc import Callable
from importlib import resources

import attrs

from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug_lab.deployment_plans import PLANS, Plan
from rooklug_lab.standins.settings import (
    CallerSettings,
    ListedReplicaSettings,
    ModelProfile,
    OnceBackendSettings,
    PlatformSettings,
    ReplicaSettings,
    RouteLoad,
)

DEFAULT_SUBNET = 20
HIDDEN_PORT_OFFSET = 10_000
CORE_PORTS = (7100, 7180)
CONTROLLER_PORTS = (7200, 7280)
FRONT_PORTS = (7300, 8080)
REPLICA_PORT = 8000
LAB_PORT = 9000
_PLATFORM_ZONE = 9
_FIRST_REPLICA_NUMBER = 101
_FIRST_BACKEND_NUMBER = 151
_FIRST_CALLER_NUMBER = 201
RESOURCE = "gpu-large"
RESOURCE_UNITS = 1.0
FRONTS_ELSEWHERE_KNOWN = 2


@attrs.frozen
class Machine:
    """A machine: its IP, zone and region, and whether it has a disk."""

    ip: str
    number: int
    zone: str
    region: str
    has_disk: bool


@attrs.frozen
class Deployment:
    """Everything that is needed to start one site, in processes or simulated.

    ``loads`` are each region's traffic. ``one_way_delay_s`` is between regions.
    """

    name: str
    subnet: int
    document: bytes
    machines: tuple[Machine, ...]
    cores: tuple[CoreSettings, ...]
    controllers: tuple[NodeSettings, ...]
    fronts: tuple[NodeSettings, ...]
    replicas: tuple[ReplicaSettings, ...]
    backends: tuple[OnceBackendSettings, ...]
    platform: PlatformSettings
    one_way_delay_s: float
    loads: tuple[RouteLoad, ...]
    zone_regions: dict[str, str]

    @property
    def regions(self) -> tuple[str, ...]:
        """The regions, in the order of their zones."""
        return tuple(dict.fromkeys(self.zone_regions.values()))

    def zone_of_ip(self, ip: str) -> str:
        """Return the zone of an IP of this deployment ("" for the platform's)."""
        number = int(ip.split(".")[2])
        names = list(self.zone_regions)
        return names[number - 1] if 1 <= number <= len(names) else ""

    def region_of_ip(self, ip: str) -> str:
        """Return the region of an IP; the platform counts to the first region."""
        zone = self.zone_of_ip(ip)
        return self.zone_regions[zone] if zone else self.regions[0]

    def front_addresses(self, region: str = "") -> tuple[str, ...]:
        """Return the HTTP addresses of all fronts, or of those of a region."""
        return tuple(front.http_address for front in self.fronts if region in ("", front.region))

    def callers(self, duration_s: float = 0.0, start_s: float = 0.0) -> list[CallerSettings]:
        """Return a caller of model and one of once-only requests for each region."""
        callers = []
        callers.extend(
            self._caller(region, kind, start_s, duration_s)
            for region in self.regions
            for kind in ("model", "once")
        )
        return callers

    def caller_ip(self, region: str, number: int) -> str:
        """Return an IP for a caller or operator in ``region``."""
        zone = list(self.zone_regions.values()).index(region) + 1
        return f"127.{self.subnet}.{zone}.{_FIRST_CALLER_NUMBER + number}"

    def _caller(self, region: str, kind: str, start_s: float, duration_s: float) -> CallerSettings:
        elsewhere = [front.http_address for front in self.fronts if front.region != region]
        known = self.front_addresses(region) + tuple(elsewhere[:FRONTS_ELSEWHERE_KNOWN])
        ip = self.caller_ip(region, 0 if kind == "model" else 1)
        return CallerSettings(
            caller_id=f"{kind}-{region}",
            address=f"{ip}:{LAB_PORT}",
            region=region,
            front_addresses=known,
            loads=tuple(load for load in self.loads if load.kind == kind),
            start_s=start_s,
            duration_s=duration_s,
        )


def build_deployment(
    name: str, subnet: int = DEFAULT_SUBNET, hidden_ports: bool = False
) -> Deployment:
    """Return the deployment ``name``.

    With ``hidden_ports`` the processes listen 10,000 ports above their advertised
    addresses, so that a relay can stand before them.

    Raises
    ------
    KeyError
        There is no deployment of that name.
    """
    plan = PLANS[name]
    document = resources.files("rooklug.config").joinpath(f"examples/{name}.json").read_bytes()
    return _Builder(plan, subnet, hidden_ports, document).build()


class _Builder:
    def __init__(self, plan: Plan, subnet: int, hidden_ports: bool, document: bytes) -> None:
        self._plan = plan
        self._subnet = subnet
        self._offset = HIDDEN_PORT_OFFSET if hidden_ports else 0
        self._document = document
        self._machines = self._build_machines()
        disks = [machine for machine in self._machines if machine.has_disk]
        self._core_addresses = {
            f"core-{machine.zone}": f"{machine.ip}:{CORE_PORTS[0]}" for machine in disks
        }
        self._platform_address = f"127.{subnet}.{_PLATFORM_ZONE}.1:{REPLICA_PORT}"

    def build(self) -> Deployment:
        plan = self._plan
        replicas = self._replicas()
        backends = self._backends()
        fronts = self._each_machine("front", lambda machine: True, FRONT_PORTS)
        return Deployment(
            name=plan.name,
            subnet=self._subnet,
            document=self._document,
            machines=self._machines,
            cores=self._cores(),
            controllers=self._controllers(),
            fronts=fronts,
            replicas=replicas,
            backends=backends,
            platform=PlatformSettings(
                self._platform_address,
                tuple(map(listed_replica, replicas)) + tuple(map(listed_backend, backends)),
                tuple(front.http_address for front in fronts),
            ),
            one_way_delay_s=plan.one_way_delay_s,
            loads=plan.loads,
            zone_regions={zone.name: zone.region for zone in plan.zones},
        )

    def _build_machines(self) -> tuple[Machine, ...]:
        machines = []
        for zone_number, zone in enumerate(self._plan.zones, start=1):
            for number in range(1, zone.machines + 1):
                ip = f"127.{self._subnet}.{zone_number}.{number}"
                machines.append(Machine(ip, number, zone.name, zone.region, number == 1))
        return tuple(machines)

    def _each_machine(
        self, role: str, wanted: Callable[[Machine], bool], ports: tuple[int, int]
    ) -> tuple[NodeSettings, ...]:
        return tuple(
            self._node(role, machine, ports) for machine in self._machines if wanted(machine)
        )

    def _node(self, role: str, machine: Machine, ports: tuple[int, int]) -> NodeSettings:
        internal, http = ports
        node_id = f"{role}-{machine.zone}"
        if role == "front":
            node_id = f"{node_id}-{machine.number}"
        return NodeSettings(
            node_id=node_id,
            role=role,
            zone=machine.zone,
            region=machine.region,
            listen_internal=f"{machine.ip}:{internal + self._offset}",
            listen_http=f"{machine.ip}:{http + self._offset}",
            internal_address=f"{machine.ip}:{internal}",
            http_address=f"{machine.ip}:{http}",
            seeds=tuple(self._core_addresses.values()),
            bind_ip=machine.ip,
            platform_address=self._platform_address,
        )

    def _cores(self) -> tuple[CoreSettings, ...]:
        nodes = self._each_machine("core", lambda machine: machine.has_disk, CORE_PORTS)
        return tuple(CoreSettings(node, dict(self._core_addresses)) for node in nodes)

    def _controllers(self) -> tuple[NodeSettings, ...]:
        return self._each_machine(
            "controller", lambda machine: machine.number == 2, CONTROLLER_PORTS
        )

    def _zone_ip(self, zone_number: int, number: int) -> str:
        return f"127.{self._subnet}.{zone_number}.{number}"

    def _replicas(self) -> tuple[ReplicaSettings, ...]:
        profiles = model_profiles(self._document)
        replicas = []
        for zone_number, zone in enumerate(self._plan.zones, start=1):
            for number in range(zone.model_replicas):
                ip = self._zone_ip(zone_number, _FIRST_REPLICA_NUMBER + number)
                replicas.append(
                    ReplicaSettings(
                        replica_id=f"model-{zone.name}-{number + 1}",
                        address=f"{ip}:{REPLICA_PORT}",
                        region=zone.region,
                        zone=zone.name,
                        resource=RESOURCE,
                        resource_units=RESOURCE_UNITS,
                        models=profiles,
                    )
                )
        return tuple(replicas)

    def _backends(self) -> tuple[OnceBackendSettings, ...]:
        backends = []
        for zone_number, zone in enumerate(self._plan.zones, start=1):
            for number in range(zone.once_replicas):
                ip = self._zone_ip(zone_number, _FIRST_BACKEND_NUMBER + number)
                backends.append(
                    OnceBackendSettings(
                        replica_id=f"{self._plan.backend}-{zone.name}-{number + 1}",
                        address=f"{ip}:{REPLICA_PORT}",
                        backend=self._plan.backend,
                        region=zone.region,
                        zone=zone.name,
                    )
                )
        return tuple(backends)


def model_profiles(document: bytes) -> dict[str, ModelProfile]:
    """Return how stand-in replicas behave, from the resource tables of a configuration."""
    models = json.loads(document)["models"]
    return {
        name: ModelProfile(
            units=need["units"],
            tokens_per_s=need["tokens_per_s"],
            concurrency=need["concurrency"],
            load_s=need["load_s"],
        )
        for name, model in models.items()
        for resource, need in model["resources"].items()
        if resource == RESOURCE
    }


def listed_replica(replica: ReplicaSettings) -> ListedReplicaSettings:
    """Return the platform's entry of a model replica."""
    return ListedReplicaSettings(
        replica_id=replica.replica_id,
        address=replica.address,
        kind="model",
        backend="",
        region=replica.region,
        zone=replica.zone,
        resource=replica.resource,
        resource_units=replica.resource_units,
    )


def listed_backend(backend: OnceBackendSettings) -> ListedReplicaSettings:
    """Return the platform's entry of a once-only back end."""
    return ListedReplicaSettings(
        replica_id=backend.replica_id,
        address=backend.address,
        kind="once",
        backend=backend.backend,
        region=backend.region,
        zone=backend.zone,
    )
