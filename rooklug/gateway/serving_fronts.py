"""Selects the fronts that serve a region's clients; every front computes the same selection."""

import math

from rooklug.runtime.addresses import split_address
from rooklug.wire.generated.control.ttypes import NodeRecord

MIN_SERVING_FRONTS = 2
MAX_COLLECTORS = 3
"""Number of load collectors per region; each is called only if those before it don't answer."""
SERVING_SHARE = 1 / 8
"""Share of a region's fronts that serve its clients; the others are on standby. With fewer serving
fronts, each knows a larger part of the load and the cached blocks of each replica, and there are
fewer connections. With half this share, a burst of long prompts saturated the network links of the
serving fronts."""


def serving_fronts(fronts: list[NodeRecord], core_machines: frozenset[str]) -> list[NodeRecord]:
    """Return the fronts that serve a region's clients, out of its ready fronts.

    Zones alternate. Machines that also run a core come last: they have other work, and the failure
    of a core's machine should not affect traffic as well. ``core_machines`` are IP addresses.
    """
    return _ranked(fronts, core_machines)[: serving_count(len(fronts))]


def load_collectors(fronts: list[NodeRecord], core_machines: frozenset[str]) -> list[NodeRecord]:
    """Return the fronts of a region that collect loads, in the order in which they are called.

    They are the ones ranked next after the serving fronts, since standby fronts are idle.
    """
    count = serving_count(len(fronts))
    return _ranked(fronts, core_machines)[count : count + MAX_COLLECTORS]


def _ranked(fronts: list[NodeRecord], core_machines: frozenset[str]) -> list[NodeRecord]:
    """Return fronts in the order in which they are selected to serve."""

    def runs_core(node: NodeRecord) -> bool:
        return machine_of(node.http_address) in core_machines

    by_zone: dict[str, list[NodeRecord]] = {}
    for node in sorted(fronts, key=lambda n: (runs_core(n), n.node_id)):
        by_zone.setdefault(node.zone, []).append(node)
    ranked = [
        (rank, zone, node) for zone, nodes in by_zone.items() for rank, node in enumerate(nodes)
    ]
    ranked.sort(key=lambda entry: (runs_core(entry[2]), *entry[:2]))
    return [node for _, _, node in ranked]


def serving_count(fronts: int) -> int:
    """Return how many of a region's ready fronts serve its clients."""
    return max(MIN_SERVING_FRONTS, math.ceil(fronts * SERVING_SHARE))


def machine_of(address: str) -> str:
    """Return the IP address of a network address "ip:port"."""
    return split_address(address)[0]
