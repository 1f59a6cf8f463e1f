"""Faults of whole zones and regions: replicas that crash together, regions that are parted."""

from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.fleet.link_rules import LinkRule, LinkState
from rooklug_lab.fleet.site_processes import hidden

DOWN_FOR_EVER_S = 1e6


async def crash_replicas(fleet: Fleet, zone: str = "") -> None:
    """Crash the replicas and back ends of a zone (or all) until they are returned."""
    for replica in fleet.deployment.replicas:
        if zone in ("", replica.zone):
            fleet.links.close(replica.address)
            await fleet.lab(replica.address, "/lab/restart", {"down_s": DOWN_FOR_EVER_S})
    for backend in fleet.deployment.backends:
        if zone in ("", backend.zone):
            fleet.links.close(backend.address)


async def return_replicas(fleet: Fleet, zone: str = "") -> None:
    """Let crashed replicas come back cold, and back ends answer again."""
    for replica in fleet.deployment.replicas:
        if zone in ("", replica.zone):
            await fleet.lab(replica.address, "/lab/restart", {"down_s": 0.0})
            fleet.relay(replica.address, hidden(replica.address))
    for backend in fleet.deployment.backends:
        if zone in ("", backend.zone):
            fleet.relay(backend.address, hidden(backend.address))


def parting(fleet: Fleet, region: str) -> tuple[LinkRule, LinkRule]:
    """Return the rules that cut a region from all others, both ways."""
    site = fleet.deployment
    ips = {node.bind_ip for node in fleet.nodes.values()}
    ips |= {address.partition(":")[0] for address in fleet.site.standin_addresses()}
    ips |= {caller.address.partition(":")[0] for caller in site.callers()}
    here = frozenset(ip for ip in ips if site.region_of_ip(ip) == region)
    there = frozenset(ips - here)
    return (
        LinkRule(LinkState.CUT, sources=here, destinations=there),
        LinkRule(LinkState.CUT, sources=there, destinations=here),
    )
