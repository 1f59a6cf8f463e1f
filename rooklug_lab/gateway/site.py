"""A gateway deployment in the simulated world, with its clients and its operator."""

import json
from collections.abc import Callable, Iterable

import attrs

from rooklug.gateway.build import GatewayLimits, compose_gateway_core, compose_gateway_front
from rooklug.gateway.replica_rate_limiter import SlowStartBound
from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug_lab.gateway.clients import ClientStandIn, OperatorStandIn
from rooklug_lab.gateway.journal import Order
from rooklug_lab.gateway.oracles import (
    COLD_OVERSHOOT,
    COLD_SLACK,
    RETRY_BUDGET,
)
from rooklug_lab.gateway.protocols import client_protocol, operator_protocol
from rooklug_lab.gateway.replicas import PlatformStandIn, ReplicaEntry, ReplicaStandIn
from rooklug_lab.gateway.shape import FIXED_SHAPE, SiteShape
from rooklug_lab.gateway.site_document import site_document
from rooklug_lab.gateway.site_faults import SiteFaults
from rooklug_lab.sim.network import Place
from rooklug_lab.sim.process import SimulatedProcess
from rooklug_lab.sim.world import World

SEEDS = 3
"""Number of cores that form the first membership view; the others join it."""
MODEL_COLD_S = 3.0
LIST_ADDRESS = "10.200.0.1:80"


class GatewaySite(SiteFaults):
    """A deployment of cores, fronts and replicas, with clients per region and an operator.

    The replicas serve two services, "model" and "ledger".
    """

    def __init__(
        self,
        seed: int,
        shape: SiteShape = FIXED_SHAPE,
        limits: GatewayLimits | None = None,
    ) -> None:
        super().__init__(World(seed, shape.region_delay_s))
        self.shape = shape
        self.cores = _core_names(shape)
        self._core_ips: dict[int, str] = {}
        self._limits = limits or GatewayLimits(
            slow_start_bound=SlowStartBound(COLD_OVERSHOOT, COLD_SLACK), retry_budget=RETRY_BUDGET
        )
        self._first_start = True
        self._version = 0
        self._routes: list[str] = []
        self._zone_numbers = {zone: n for n, zone in enumerate(shape.zones, start=1)}
        for place, zone in enumerate(shape.core_zones):
            self._add_core(place, zone)
        for zone in shape.zones:
            self._add_fronts(zone)
            self._add_replicas(zone)
        self._add_stand_ins()

    def start(self) -> None:
        """Start all processes and submit the first configuration."""
        for process in self.world.processes.values():
            process.start()
        self.world.run_for(0.6)
        self._first_start = False
        self.change(["s", "once"])

    # Orders ---------------------------------------------------------------

    def change(self, routes: Iterable[str] = (), version_step: int = 1) -> Order:
        """Submit a complete configuration that adds routes to the present ones."""
        self._routes = sorted({*self._routes, *routes})
        self._skip_refused_versions()
        base, self._version = self._version, self._version + version_step
        order = Order("change", self._version, document=self._document(self._version, self._routes))
        self._act_as_operator(lambda operator, now: operator.change(order, base, False, now))
        return order

    def rival(self) -> Order:
        """Submit a conflicting change with the version and the base of the newest one."""
        document = self._document(self._version, [*self._routes, "rival"])
        order = Order("change", self._version, document=document)
        base = self._version - 1
        self._act_as_operator(lambda operator, now: operator.change(order, base, False, now))
        return order

    def invalid(self) -> Order:
        """Submit a change that names an unknown service and so must be refused."""
        document = json.loads(self._document(self._version + 1, self._routes))
        document["routes"][0]["service"] = "nobody"
        order = Order("change", self._version + 1, document=json.dumps(document).encode())
        self._act_as_operator(
            lambda operator, now: operator.change(order, self._version, False, now)
        )
        return order

    def order_zone(self, zone: str, kind: str) -> Order:
        """Order that a zone be drained (``kind`` "empty") or restored ("restore")."""
        order = Order(kind, zone=zone)
        self._act_as_operator(lambda operator, now: operator.order_zone(order, now))
        return order

    def read_back(self) -> None:
        """Let the operator read the configuration, and run 6 s for the answer to arrive."""
        self._act_as_operator(lambda operator, now: operator.read())
        self.world.run_for(6.0)

    # Faults ---------------------------------------------------------------

    def primary(self) -> str:
        """Return the core that reports itself as primary, or the first core if none does."""

        def serves(name: str) -> bool:
            process = self.process(name)
            samples = process.reducer.metrics(process.local_now()) if process.running else ()
            return any(sample.name == "core_primary" and sample.value for sample in samples)

        return next((name for name in self.cores if serves(name)), self.cores[0])

    def add_machines(self, zone: str, count: int) -> list[str]:
        """Add machines to a zone, start their fronts, and return the names of these fronts."""
        number, region = self._zone_numbers[zone], self.shape.zones[zone]
        present = [n for n in self.fronts if self.process(n).place.zone == zone]
        names = []
        for machine in range(len(present) + 1, len(present) + count + 1):
            names.append(f"front-{zone}-{machine}")
            self._add_front(names[-1], f"10.{number}.0.{machine}", zone, region, self._seeds())
            self.process(names[-1]).start()
        return names

    def replace_core(self, name: str, after_s: float) -> str:
        """Remove a core for good; its successor has an empty disk and another address.

        Returns the name of the successor, which starts after ``after_s``.
        """
        self.world.machine_fails(self.process(name))
        self._record_fault("replace", after_s)
        successor = self._add_successor(name)
        self.later(after_s, lambda: self.process(successor).start())
        return successor

    def replace_core_as_planned(self, name: str, after_s: float) -> str:
        """Start a core's successor now, and remove the core without notice after ``after_s``."""
        successor = self._add_successor(name)
        self.process(successor).start()
        self.later(after_s, lambda: self.world.machine_fails(self.process(name)))
        return successor

    def _add_successor(self, name: str) -> str:
        """Add a core in the place of another, at a new address, and return its name."""
        place = self.cores.index(name)
        zone = self.shape.core_zones[place]
        earlier = name.count("-new")
        network = 7 if not earlier else 70 + earlier
        successor = f"{name}-new"
        self.cores[place] = successor
        self._core_ips[place] = f"10.{self._zone_numbers[zone]}.{network}.{place + 1}"
        self._add_core(place, zone)
        self.process("operator").reducer.cores = self._operator_addresses()
        return successor

    def set_rate(self, region: str, factor: float) -> None:
        """Set a region's request rate to a multiple of the deployment's usual rate."""
        reducer = self.process(f"client-{region}").reducer
        reducer.rate_per_s = self.shape.client_rate_per_s * factor

    def set_immediate_retries(self, region: str, repeats: int) -> None:
        """Let a region's clients immediately retry what isn't served, ``repeats`` times."""
        self.process(f"client-{region}").reducer.immediate_retries = repeats

    def add_path(self, path: str) -> None:
        """Let the clients of all regions use a further path."""
        for region in self.shape.regions:
            self.process(f"client-{region}").reducer.paths.append(path)

    # Internals ------------------------------------------------------------

    def _skip_refused_versions(self) -> None:
        """Build on the newest version that was not refused, as an operator would."""
        changes = [order for order in self.journal.orders if order.kind == "change"]
        standing = {order.version for order in changes if not order.refused}
        while self._version and self._version not in standing:
            self._version -= 1

    def _document(self, version: int, routes: list[str]) -> bytes:
        return site_document(version, routes, self.shape.cold_rate_per_s)

    def _act_as_operator(self, action: Callable[[OperatorStandIn, float], list]) -> None:
        self.process("operator").act(action)

    def _core_ip(self, place: int) -> str:
        """Return the IP address of a core: it shares a machine with a front of its zone."""
        if place in self._core_ips:
            return self._core_ips[place]
        zone = self.shape.core_zones[place]
        earlier = self.shape.core_zones[:place].count(zone)
        return f"10.{self._zone_numbers[zone]}.0.{earlier + 1}"

    def _seeds(self) -> tuple[str, ...]:
        """Return the present internal addresses of the first ``SEEDS`` cores."""
        return tuple(f"{self._core_ip(place)}:7000" for place in range(SEEDS))

    def _add_core(self, place: int, zone: str) -> None:
        seeds = self._seeds()
        members = dict(zip(self.cores[:SEEDS], seeds, strict=True))
        region = self.shape.zones[zone]
        ip = self._core_ip(place)
        core = _node(self.cores[place], "core", zone, region, ip, "8002", seeds)

        def build_core(context):
            settings = CoreSettings(
                core,
                members,
                self._first_start,
                min_in_sync_replicas=self.shape.min_in_sync_replicas,
                disk_never_voted=self._first_start,
            )
            return compose_gateway_core(settings, context, operator_protocol())

        self.world.add(
            core.node_id,
            Place(ip, zone, region),
            build_core,
            core.http_address,
            core.internal_address,
            True,
        )
        self.world.http.listeners[core.http_address] = "operators"

    def _add_fronts(self, zone: str) -> None:
        number, region = self._zone_numbers[zone], self.shape.zones[zone]
        for machine in range(1, self.shape.fronts_per_zone + 1):
            ip = f"10.{number}.0.{machine}"
            self._add_front(f"front-{zone}-{machine}", ip, zone, region, self._seeds())

    def _add_front(
        self, name: str, ip: str, zone: str, region: str, seeds: tuple[str, ...]
    ) -> None:
        node = _node(name, "front", zone, region, ip, "8000", seeds)

        def build(context):
            present = attrs.evolve(node, started_with_group=self._first_start)
            return compose_gateway_front(present, context, client_protocol(), self._limits)

        http = self.world.http
        process = self.world.add(
            name, Place(ip, zone, region), build, node.http_address, node.internal_address
        )
        http.listeners[node.http_address] = "clients"
        http.by_address[f"{ip}:8001"] = process
        http.listeners[f"{ip}:8001"] = "directory"
        self.fronts.append(name)

    def _add_replicas(self, zone: str) -> None:
        number = self._zone_numbers[zone]
        for place in range(1, self.shape.models_per_zone + 1):
            self._add_replica(f"model-{zone}-{place}", f"10.{number}.9.{place}", "model", zone, 40)
        self._add_replica(f"ledger-{zone}", f"10.{number}.8.1", "ledger", zone, 6)

    def _add_replica(self, name: str, ip: str, service: str, zone: str, slots: int) -> None:
        cold_s = MODEL_COLD_S if service == "model" else 0.0
        region = self.shape.zones[zone]
        entry = ReplicaEntry(name, f"{ip}:80", service, zone, region, slots, cold_s=cold_s)
        entry.process = self._add_stand_in(
            name, entry.address, zone, lambda context: ReplicaStandIn(entry, context, self.journal)
        )
        self.replicas.append(entry)

    def _add_stand_ins(self) -> None:
        self._add_stand_in(
            "platform",
            LIST_ADDRESS,
            next(iter(self.shape.zones)),
            lambda context: PlatformStandIn(lambda: self.replicas, context, self.journal),
        )
        directories = [f"{self.process(name).place.ip}:8001" for name in self.fronts]
        for number, region in enumerate(self.shape.regions, start=1):
            zone = next(zone for zone, place in self.shape.zones.items() if place == region)
            near = [a for a in directories if self._region_of(a) == region]
            self._add_stand_in(
                f"client-{region}",
                f"10.100.0.{number}:80",
                zone,
                lambda context, r=region, z=zone, d=near: ClientStandIn(
                    r, z, d, self.shape.client_rate_per_s, context, self.journal
                ),
            )
        self._add_stand_in(
            "operator",
            "10.100.0.9:80",
            next(iter(self.shape.zones)),
            lambda context: OperatorStandIn(self._operator_addresses(), context, self.journal),
        )

    def _operator_addresses(self) -> list[str]:
        return [f"{self._core_ip(place)}:8002" for place in range(len(self.cores))]

    def _region_of(self, address: str) -> str:
        return list(self.shape.zones.values())[int(address.split(".")[1]) - 1]

    def _add_stand_in(self, name: str, address: str, zone: str, build) -> SimulatedProcess:
        place = Place(address.split(":")[0], zone, self.shape.zones[zone])
        return self.world.add(name, place, build, address, true_clock=True)


def _core_names(shape: SiteShape) -> list[str]:
    """Return each core's name: its zone, and a number from the second core of a zone on."""
    names = []
    for place, zone in enumerate(shape.core_zones):
        earlier = shape.core_zones[:place].count(zone)
        names.append(f"core-{zone}" + (f"-{earlier + 1}" if earlier else ""))
    return names


def _node(
    name: str, role: str, zone: str, region: str, ip: str, port: str, seeds: tuple[str, ...]
) -> NodeSettings:
    internal = f"{ip}:7000" if role == "core" else f"{ip}:7001"
    http = f"{ip}:{port}"
    return NodeSettings(
        node_id=name,
        role=role,
        zone=zone,
        region=region,
        listen_internal=internal,
        listen_http=http,
        internal_address=internal,
        http_address=http,
        seeds=seeds,
        bind_ip=ip,
        platform_address=LIST_ADDRESS,
    )
