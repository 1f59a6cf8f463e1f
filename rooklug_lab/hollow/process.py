"""One process with many hollow nodes, and a desk that answers the lab."""

import asyncio
import gc
import json
import resource
import signal
import sys
from collections import Counter

import attrs

from rooklug.runtime.host import Host
from rooklug.runtime.process_metrics import resident_bytes
from rooklug_lab.hollow.demand import route_table
from rooklug_lab.hollow.figures_endpoint import FiguresEndpoint
from rooklug_lab.hollow.front import FrontTraffic, HollowFront, build_hollow_front
from rooklug_lab.hollow.sharing import SharedViews, share_decoding
from rooklug_lab.hollow.site import HollowSite, build_site
from rooklug_lab.hollow.size import HollowSize
from rooklug_lab.hollow.timed import SharedComputations
from rooklug_lab.standins.process import StandinSpec, build_standin

FRONTS = "fronts"
REPLICAS = "replicas"
_GC_THRESHOLDS = (50_000, 20, 50)
"""Dozens of nodes' objects in one heap: each full collection costs dozens of times as much."""


@attrs.frozen
class HollowSpec:
    """Which nodes of which site one process runs: those from ``first`` up to ``last``."""

    kind: str
    fronts: int
    replicas: int
    subnet: int
    first: int
    last: int
    number: int

    def text(self) -> str:
        """Return the spec as a command-line argument."""
        return json.dumps(attrs.asdict(self))


def read_spec(text: str) -> HollowSpec:
    """Read a spec made by ``HollowSpec.text``."""
    return HollowSpec(**json.loads(text))


def run_hollow_process(text: str) -> int:
    """Run the nodes of a spec until SIGTERM or SIGINT."""
    asyncio.run(_serve(read_spec(text)))
    return 0


async def _serve(spec: HollowSpec) -> None:
    site = build_site(HollowSize(spec.fronts, spec.replicas), spec.subnet)
    gc.set_threshold(*_GC_THRESHOLDS)
    hosts = _front_hosts(spec, site) if spec.kind == FRONTS else _replica_hosts(spec, site)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    for host in hosts:
        await host.start()
    await stopping.wait()
    for host in hosts:
        host.kill()
    await asyncio.gather(*(host.stopped() for host in hosts))


def _front_hosts(spec: HollowSpec, site: HollowSite) -> list[Host]:
    shared = SharedComputations()
    share_decoding(shared)
    views = SharedViews(shared)
    tables = {region: route_table(site.routes, region) for region in site.regions}
    fronts: list[HollowFront] = []
    hosts: list[Host] = []
    for settings in site.fronts[spec.first : spec.last]:
        traffic = FrontTraffic(
            tables[settings.region],
            site.front_rate_per_s(settings.region),
            site.size.answer_tokens,
        )
        front = build_hollow_front(settings, traffic, shared, views)
        fronts.append(front)
        hosts.append(
            Host(
                front.reducer,
                listen_internal=settings.listen_internal,
                listen_http=settings.listen_http,
                bind_ip=settings.bind_ip,
                node_id=settings.node_id,
                log_level="error",
                log_stream=sys.stderr,
            )
        )

    def figures() -> dict:
        nodes = [_front_figures(*pair) for pair in zip(fronts, hosts, strict=True)]
        return {**_process_figures(), "shared_s": shared.seconds, "nodes": nodes}

    return [*hosts, _desk_host(spec, site, FiguresEndpoint(figures, lambda: _standing(fronts)))]


def _standing(fronts: list[HollowFront]) -> dict:
    """Return what conditions need: how many fronts serve under which version, and the placers."""
    serving = [front for front in fronts if front.serves()]
    return {
        "serving": dict(Counter(front.version() for front in serving)),
        "placers": dict(Counter(front.placer() for front in fronts)),
    }


def _front_figures(front: HollowFront, host: Host) -> dict:
    reducer, channel = front.reducer, host.channel
    return {
        "node_id": front.settings.node_id,
        "connected": front.core_link.connected,
        "has_plan": front.keeper.view.has_plan,
        "placer": front.placer(),
        "primary": front.core_link.primary_address,
        "version": front.version(),
        "started_at": reducer.started_at,
        "in_force": reducer.in_force,
        "reducer_s": reducer.reducer_s,
        "events": dict(reducer.events),
        "messages": dict(reducer.messages),
        "sent_bytes": channel.sent_bytes,
        "received_bytes": channel.received_bytes,
    }


def _replica_hosts(spec: HollowSpec, site: HollowSite) -> list[Host]:
    hosts = []
    for settings in site.replicas[spec.first : spec.last]:
        ip = settings.address.partition(":")[0]
        standin = build_standin(StandinSpec("model_replica", settings.address, ip, 1, settings))
        hosts.append(
            Host(
                standin,
                listen_internal="",
                listen_http=settings.address,
                bind_ip=ip,
                node_id=settings.replica_id,
                log_level="error",
                log_stream=sys.stderr,
            )
        )

    def figures() -> dict:
        probes = sum(host.reducer.journal.probes for host in hosts)
        orders = sum(len(host.reducer.journal.orders) for host in hosts)
        loaded = sum(len(host.reducer.models.loaded()) for host in hosts)
        counts = {"probes": probes, "orders": orders, "loaded": loaded}
        return {**_process_figures(), **counts}

    return [*hosts, _desk_host(spec, site, FiguresEndpoint(figures, dict))]


def _process_figures() -> dict:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "processor_s": usage.ru_utime + usage.ru_stime,
        "resident_bytes": resident_bytes(),
    }


def _desk_host(spec: HollowSpec, site: HollowSite, desk: FiguresEndpoint) -> Host:
    return Host(
        desk,
        listen_internal="",
        listen_http=site.desk_address(spec.number),
        node_id=f"desk-{spec.number}",
        log_level="error",
        log_stream=sys.stderr,
    )
