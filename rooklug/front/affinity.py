"""Prefix affinity: which replica has which shared prefix blocks in its KV cache.

The table is this front's own and bounded. Where it knows nothing, rendezvous hashing gives a
first choice that all fronts agree on.
"""

from collections import OrderedDict

from xxhash import xxh3_64_intdigest

from rooklug.front.routing_view import RoutingView, ServingReplica

MAX_PREFIX_BLOCKS = 8192
MAX_REPLICAS_PER_BLOCK = 4

Homes = tuple[str, ...]


def hash_blocks(blocks: tuple[str, ...]) -> tuple[int, ...]:
    """Return a hash for each prefix block."""
    return tuple(xxh3_64_intdigest(block.encode("utf-8", "surrogatepass")) for block in blocks)


def rendezvous_rank(seed: int, replica_id: str) -> int:
    """Return the rank of a replica for ``seed``; the highest is the first choice."""
    return xxh3_64_intdigest(replica_id.encode(), seed=seed)


def combined_hash(block_hashes: tuple[int, ...]) -> int:
    """Return one hash for the blocks in their order."""
    return xxh3_64_intdigest(b"".join(block.to_bytes(8, "little") for block in block_hashes))


class AffinityTable:
    """Blocks and the replicas that cache them, in a table of its own for each set of home regions.

    A bound route's blocks are never kept outside its home, and never longer than a route with
    that home exists.
    """

    def __init__(self, max_blocks: int = MAX_PREFIX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._tables: dict[Homes, OrderedDict[int, dict[str, str]]] = {}

    def __len__(self) -> int:
        return sum(len(table) for table in self._tables.values())

    def apply_view(self, view: RoutingView) -> None:
        """Drop the tables that the configuration does not allow here any more."""
        if view.configuration is None:
            return
        allowed = {
            route.home_regions
            for route in view.configuration.routes.values()
            if view.serves_home(route)
        }
        self._tables = {homes: table for homes, table in self._tables.items() if homes in allowed}

    def record(self, homes: Homes, block_hashes: tuple[int, ...], replica: ServingReplica) -> None:
        """Note that the replica has the blocks cached now."""
        table = self._tables.setdefault(homes, OrderedDict())
        for block in block_hashes:
            caching = table.setdefault(block, {})
            caching.pop(replica.replica_id, None)
            caching[replica.replica_id] = replica.incarnation
            if len(caching) > MAX_REPLICAS_PER_BLOCK:
                del caching[next(iter(caching))]
            table.move_to_end(block)
        self._shrink(table)

    def cached_blocks(
        self, homes: Homes, block_hashes: tuple[int, ...], replica: ServingReplica
    ) -> int:
        """Return how many of the blocks this incarnation of the replica has cached."""
        table = self._tables.get(homes)
        if not table:
            return 0
        return sum(
            table.get(block, {}).get(replica.replica_id) == replica.incarnation
            for block in block_hashes
        )

    def rank(
        self, homes: Homes, block_hashes: tuple[int, ...], replicas: list[ServingReplica]
    ) -> list[ServingReplica]:
        """Return the replicas, the one with most cached blocks first."""
        seed = combined_hash(block_hashes)
        return sorted(
            replicas,
            key=lambda replica: (
                -self.cached_blocks(homes, block_hashes, replica),
                -rendezvous_rank(seed, replica.replica_id),
            ),
        )

    def _shrink(self, newest: OrderedDict[int, dict[str, str]]) -> None:
        """Keep the bound over all tables: drop the oldest blocks, of others' tables first."""
        excess = len(self) - self._max_blocks
        for table in [*(other for other in self._tables.values() if other is not newest), newest]:
            while excess > 0 and table:
                table.popitem(last=False)
                excess -= 1
