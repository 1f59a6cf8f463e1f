"""Which fronts take the clients' traffic of a region; every front computes the same ones."""

import math

from rooklug.runtime.addresses import split_address
from rooklug.wire.generated.control.ttypes import NodeRecord

MIN_SERVING_FRONTS = 2
MAX_COLLECTORS = 3
"""The second is called when the first doesn't answer, and so on."""
SERVING_SHARE = 1 / 8
"""Share of a region's fronts that its clients are sent to: fewer fronts know more of the load of
each replica and of what it holds, and keep fewer connections; the rest stand by. With half as
many a burst of long prompts filled the links of the fronts that served."""


def serving_fronts(fronts: list[NodeRecord], core_machines: frozenset[str]) -> list[NodeRecord]:
    """Return those of a region's ready fronts that take traffic.

    Zones alternate, and machines that also run a core come last: they have other work, and a
    fault of the core's machine should not hit the traffic, too. ``core_machines`` are IP addresses.
    """
    return _ranked(fronts, core_machines)[: serving_count(len(fronts))]


def load_collectors(fronts: list[NodeRecord], core_machines: frozenset[str]) -> list[NodeRecord]:
    """Return the fronts of a region that collect loads, in the order in which they are called.

    They are the next ones after those that take traffic: they are idle.
    """
    count = serving_count(len(fronts))
    return _ranked(fronts, core_machines)[count : count + MAX_COLLECTORS]


def _ranked(fronts: list[NodeRecord], core_machines: frozenset[str]) -> list[NodeRecord]:
    """Return fronts in the order in which they are chosen to take traffic."""

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
    """Return how many of a region's ready fronts take its traffic."""
    return max(MIN_SERVING_FRONTS, math.ceil(fronts * SERVING_SHARE))


def machine_of(address: str) -> str:
    """Return the IP address of a network address "ip:port"."""
    return split_address(address)[0]
