"""Selects the node for a role: rendezvous hashing with bounded load, spread over zones."""

from collections import Counter
from collections.abc import Iterable, Sequence
from math import ceil

import attrs
import xxhash

from rooklug.wire.generated.control.ttypes import NodeRecord


def rendezvous_score(role_key: str, node_id: str) -> int:
    """Return the weight of a node for a key; it doesn't depend on process or hash seed."""
    return xxhash.xxh64_intdigest(f"{role_key}\n{node_id}".encode())


@attrs.frozen
class Load:
    """The number of keys of a group that each node and each zone owns."""

    by_node: Counter[str]
    by_zone: Counter[str]

    @classmethod
    def of(cls, owners: Iterable[str], nodes: Sequence[NodeRecord]) -> "Load":
        """Count ``owners``, one node id for each key; ids that aren't in ``nodes`` are ignored."""
        zones = {node.node_id: node.zone for node in nodes}
        by_node = Counter(owner for owner in owners if owner in zones)
        by_zone: Counter[str] = Counter()
        for node_id, keys in by_node.items():
            by_zone[zones[node_id]] += keys
        return cls(by_node, by_zone)


def is_draining(node: NodeRecord, drained_zones: frozenset[str]) -> bool:
    """Return whether a node is draining by its own record, or because its zone is drained."""
    return node.draining or node.zone in drained_zones


def choose_node(
    role_key: str, candidates: Sequence[NodeRecord], load: Load, group_size: int
) -> str:
    """Return the id of the candidate with the highest score, or "" without candidates.

    ``group_size`` is the number of keys that share the candidates. Zones, then nodes, that
    already own an even share of them are skipped, unless all of them do.
    """
    if not candidates:
        return ""
    zones = {node.zone for node in candidates}
    zone_bound = ceil(group_size / len(zones))
    node_bound = ceil(group_size / len(candidates))
    eligible = [node for node in candidates if load.by_zone[node.zone] < zone_bound] or candidates
    eligible = [node for node in eligible if load.by_node[node.node_id] < node_bound] or eligible
    best = max(eligible, key=lambda node: (rendezvous_score(role_key, node.node_id), node.node_id))
    return best.node_id
