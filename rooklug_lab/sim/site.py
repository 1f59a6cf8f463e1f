"""A complete deployment in the simulated world, and the faults that a scenario can inject."""

import json
from collections.abc import Callable, Iterable

from rooklug.cli.compose import compose_controller, compose_core, compose_front
from rooklug.engine.effects import HttpCall
from rooklug_lab.deployment import Deployment
from rooklug_lab.oracles.configuration import acknowledged_changes
from rooklug_lab.oracles.evidence import Evidence, Fault, OrderSent
from rooklug_lab.sim.network import Place
from rooklug_lab.sim.orders import OrderBook, send
from rooklug_lab.sim.process import BuildReducer, SimulatedProcess
from rooklug_lab.sim.readback import ReadBackClient
from rooklug_lab.sim.world import World
from rooklug_lab.standins.caller import ModelCaller, OnceCaller
from rooklug_lab.standins.model_replica import ModelReplica
from rooklug_lab.standins.once_backend import OnceBackend
from rooklug_lab.standins.operator import Operator
from rooklug_lab.standins.platform import Platform
from rooklug_lab.standins.records import (
    BackendJournal,
    CallerJournal,
    OperatorJournal,
    ReplicaJournal,
)
from rooklug_lab.standins.settings import OperatorSettings, OperatorStep

CORES = "cores"
FRONTS = "fronts"
CONTROLLERS = "controllers"
LAB_PORT = 9000
ORDER_PATHS = ("/api/load", "/api/unload")


class Site:
    """The daemons of one deployment and the stand-ins around them.

    The stand-ins (callers, operators, back ends, the platform) record what they see in
    journals, which are gathered in ``evidence`` for the oracles.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.world = World(seed, deployment.one_way_delay_s)
        self.evidence = Evidence(orders_sent=[])
        self.world.http.watch = self._record_order
        self.groups: dict[str, list[str]] = {CORES: [], FRONTS: [], CONTROLLERS: []}
        self._add_nodes()
        self._add_back_ends()
        self.orders = OrderBook(deployment.document)
        self._operators: list[str] = []

    # -- building -------------------------------------------------------------------

    def add_callers(self, start_s: float, duration_s: float) -> None:
        """Add a model caller and a once-only caller in each region."""
        for settings in self.deployment.callers(duration_s, start_s):
            journal = CallerJournal(settings.caller_id)
            self.evidence.callers.append(journal)
            is_once_only = all(load.kind == "once" for load in settings.loads)
            caller = OnceCaller if is_once_only else ModelCaller
            self._add_stand_in(
                settings.caller_id,
                settings.address,
                lambda context, c=caller, s=settings, j=journal: c(s, context, j),
            )
        self.evidence.traffic_started_s = start_s
        self.evidence.traffic_ended_s = start_s + duration_s

    def add_operator(
        self, steps: tuple[OperatorStep, ...], region: str = "", watch_interval_s: float = 0.2
    ) -> OperatorJournal:
        """Add an operator that carries out ``steps`` in order and polls the fronts.

        ``region`` is the first region by default; an interval of 0 turns the polling off.
        """
        region = region or self.deployment.regions[0]
        number = len(self._operators)
        name = f"operator-{number}"
        self._operators.append(name)
        address = f"{self.deployment.caller_ip(region, 10 + number)}:{LAB_PORT}"
        settings = OperatorSettings(
            name, address, self.deployment.front_addresses(), steps, watch_interval_s
        )
        journal = OperatorJournal(name)
        self.evidence.operators.append(journal)
        self._add_stand_in(name, address, lambda context: Operator(settings, context, journal))
        return journal

    def start_all(self) -> None:
        """Start every process that has been added so far."""
        for process in self.world.processes.values():
            process.start()

    def read_back(self, limit_s: float = 20.0) -> None:
        """Read the configuration through a front into the evidence.

        ``read_back`` there stays None if no front answers 200 within ``limit_s``.
        """
        reader = ReadBackClient(self.deployment.front_addresses())
        address = f"{self.deployment.caller_ip(self.deployment.regions[0], 40)}:{LAB_PORT}"
        process = self._add_stand_in("reader", address, lambda context: reader.attach(context))
        process.start()
        end = self.world.now + limit_s
        while reader.result is None and self.world.now < end:
            self.world.run_for(0.2)
        self.evidence.read_back_expected = True
        self.evidence.read_back = reader.result

    # -- orders ---------------------------------------------------------------------

    def order_first_document(self) -> None:
        """Make the first operator put the deployment's configuration, as version 1."""
        send(self.process(self._operators[0]), self.orders.put_first())

    def order_patch(self, invalid: bool = False) -> None:
        """Make the first operator send a small change on top of the newest acknowledged version."""
        version = self._newest_acknowledged() + 1
        send(self.process(self._operators[0]), self.orders.patch(version, invalid))

    def order_race(self) -> None:
        """Make two operators send different changes with the same version at the same time."""
        version = self._newest_acknowledged() + 1
        for name in self._operators[:2]:
            send(self.process(name), self.orders.patch(version))

    def order_zone(self, zone: str, kind: str) -> None:
        """Make the first operator drain a zone (``kind`` "empty") or restore it ("restore")."""
        send(self.process(self._operators[0]), OperatorStep(0.0, kind, zone=zone))

    def set_rate(self, region: str, factor: float) -> None:
        """Set the request rate of a region's callers to ``factor`` times their configured rate."""
        for kind in ("model", "once"):
            self.process(f"{kind}-{region}").reducer.rate_factor = factor

    def _newest_acknowledged(self) -> int:
        versions = [change.version for change in acknowledged_changes(self.evidence)]
        return max(versions, default=0)

    # -- faults ---------------------------------------------------------------------

    def process(self, name: str) -> SimulatedProcess:
        """Return a daemon or stand-in by name; raises KeyError for an unknown one."""
        return self.world.processes[name]

    def primary(self) -> str:
        """Return the core that reports itself primary with the highest epoch, or else the first."""
        return max(self.groups[CORES], key=lambda name: self._primary_epoch(name))

    def kill(self, names: Iterable[str], for_s: float, lose_disk: bool = False) -> None:
        """Kill processes now, with their disks if ``lose_disk``; restart them after ``for_s``."""
        names = list(names)
        for name in names:
            self.world.kill(self.process(name))
            if lose_disk and self.process(name).disk is not None:
                self.process(name).disk.lose()
        self._record_fault("kill", names, for_s)
        self.world.scheduler.after(for_s, lambda: self._restart(names))

    def freeze(self, names: Iterable[str], for_s: float) -> None:
        """Suspend processes silently, as SIGSTOP does; they resume after ``for_s``."""
        names = list(names)
        for name in names:
            self.process(name).freeze()
        self._record_fault("freeze", names, for_s)
        self.world.scheduler.after(for_s, lambda: [self.process(name).thaw() for name in names])

    def cut(self, names: Iterable[str], for_s: float, inbound: bool = True, outbound: bool = True):
        """Drop all packets between the machines of processes and all others for ``for_s``."""
        names = list(names)
        inside = [self.process(name).place for name in names]
        ips = {place.ip for place in inside}
        outside = [p.place for p in self.world.processes.values() if p.place.ip not in ips]
        self.cut_places(inside, outside, for_s, inbound, outbound)
        on_machine = [p.name for p in self.world.processes.values() if p.place.ip in ips]
        self._record_fault("cut", on_machine, for_s)

    def cut_regions(self, for_s: float) -> None:
        """Drop all packets between the first region and the others for ``for_s``."""
        first = self.deployment.regions[0]
        processes = list(self.world.processes.values())
        inside = [p.place for p in processes if p.place.region == first]
        outside = [p.place for p in processes if p.place.region != first]
        self.cut_places(inside, outside, for_s)
        self._record_fault("region-cut", ["all"], for_s)

    def cut_places(
        self,
        inside: list[Place],
        outside: list[Place],
        for_s: float,
        inbound: bool = True,
        outbound: bool = True,
    ) -> None:
        """Drop all packets between two sets of places, in one direction or both, for ``for_s``."""
        inside, outside = _unique_places(inside), _unique_places(outside)
        network = self.world.network
        if outbound:
            network.cut(inside, outside)
            self.world.scheduler.after(for_s, lambda: network.heal(inside, outside))
        if inbound:
            network.cut(outside, inside)
            self.world.scheduler.after(for_s, lambda: network.heal(outside, inside))

    def stall_disk(self, name: str, for_s: float) -> None:
        """Stall the disk of a process: none of its writes finishes for ``for_s``."""
        self.process(name).disk.stalled_until = self.world.now + for_s
        self._record_fault("core-disk-stall", [name], for_s)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action of the scenario at a virtual time, in seconds since the start."""
        self.world.scheduler.at(time, action)

    def in_zone(self, zone: str) -> list[str]:
        """Return the daemons, replicas and back ends of a zone, by name."""
        outside = {journal.caller_id for journal in self.evidence.callers}
        return [
            process.name
            for process in self.world.processes.values()
            if process.place.zone == zone
            and process.name not in outside
            and not process.name.startswith(("operator", "platform"))
        ]

    def _record_order(self, sender: SimulatedProcess, call: HttpCall) -> None:
        if call.path in ORDER_PATHS:
            token = tuple(json.loads(call.body)["token"])
            order = OrderSent(self.world.now, sender.name, token)
            self.evidence.orders_sent.append(order)

    # -- inside -----------------------------------------------------------------------

    def _add_nodes(self) -> None:
        for core in self.deployment.cores:
            build = lambda context, s=core: compose_core(s, context)  # noqa: E731
            self._add_node(CORES, core.node, build, has_disk=True)
        for controller in self.deployment.controllers:
            build = lambda context, s=controller: compose_controller(s, context)  # noqa: E731
            self._add_node(CONTROLLERS, controller, build)
        for front in self.deployment.fronts:
            build = lambda context, s=front: compose_front(s, context)  # noqa: E731
            self._add_node(FRONTS, front, build)
            self.evidence.name_of_front[front.http_address] = front.node_id

    def _add_node(self, group: str, node, build: BuildReducer, has_disk: bool = False) -> None:
        place = Place(node.bind_ip, node.zone, node.region)
        self.world.add(
            node.node_id, place, build, node.http_address, node.internal_address, has_disk
        )
        self.groups[group].append(node.node_id)

    def _add_back_ends(self) -> None:
        for settings in self.deployment.replicas:
            journal = ReplicaJournal(settings.replica_id)
            self.evidence.replicas.append(journal)
            self._add_stand_in(
                settings.replica_id,
                settings.address,
                lambda context, s=settings, j=journal: ModelReplica(s, context, j),
            )
        for settings in self.deployment.backends:
            journal = BackendJournal(settings.replica_id)
            self.evidence.backends.append(journal)
            self.evidence.zone_of_backend[settings.replica_id] = settings.zone
            self.evidence.region_of_backend[settings.replica_id] = settings.region
            self._add_stand_in(
                settings.replica_id,
                settings.address,
                lambda context, s=settings, j=journal: OnceBackend(s, context, j),
            )
        platform = self.deployment.platform
        journal = self.evidence.platform
        self._add_stand_in(
            "platform", platform.address, lambda context: Platform(platform, context, journal)
        )

    def _add_stand_in(self, name: str, address: str, build: BuildReducer) -> SimulatedProcess:
        ip = address.split(":")[0]
        place = Place(ip, self.deployment.zone_of_ip(ip), self.deployment.region_of_ip(ip))
        return self.world.add(name, place, build, address, true_clock=True)

    def _restart(self, names: list[str]) -> None:
        for name in names:
            self.world.restart(self.process(name))

    def _record_fault(self, kind: str, names: list[str], for_s: float) -> None:
        started = self.world.now
        for name in names:
            is_core = name in self.groups[CORES] and not kind.startswith("core")
            label = f"core-{kind}" if is_core else kind
            self.evidence.faults.append(Fault(label, name, started, started + for_s))

    def _primary_epoch(self, name: str) -> tuple[float, float]:
        process = self.process(name)
        if not process.running:
            return (-1.0, 0.0)
        samples = process.reducer.metrics(process.local_now())
        figures = {sample.name: sample.value for sample in samples}
        return (figures["core_primary"], figures["core_epoch"])


def _unique_places(places: list[Place]) -> list[Place]:
    return list({place.ip: place for place in places}.values())
