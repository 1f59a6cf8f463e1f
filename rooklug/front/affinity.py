"""Prefix affinity: which replica has which shared prefix blocks in its KV cache.

Each front learns its bounded table from its own requests; the table is not shared. For blocks
that it doesn't know, rendezvous hashing gives the same first choice at every front.
"""

from collections import OrderedDict

from xxhash import xxh3_64_intdigest

from rooklug.front.routing_view import RoutingView, ServingReplica

MAX_PREFIX_BLOCKS = 8192
MAX_REPLICAS_PER_BLOCK = 4

Homes = tuple[str, ...]


def hash_blocks(blocks: tuple[str, ...]) -> tuple[int, ...]:
    """Return the 64-bit hash of each prefix block, in the given order."""
    return tuple(xxh3_64_intdigest(block.encode("utf-8", "surrogatepass")) for block in blocks)


def rendezvous_rank(seed: int, replica_id: str) -> int:
    """Return the rendezvous rank of a replica for ``seed``; the highest rank is preferred."""
    return xxh3_64_intdigest(replica_id.encode(), seed=seed)


def combined_hash(block_hashes: tuple[int, ...]) -> int:
    """Return one hash that depends on all blocks and their order."""
    return xxh3_64_intdigest(b"".join(block.to_bytes(8, "little") for block in block_hashes))


class AffinityTable:
    """Maps prefix blocks to the replicas that cache them, separately for each set of home regions.

    Blocks of a bound route are kept only at fronts inside its home regions, and only while the
    configuration has a route with those home regions.
    """

    def __init__(self, max_blocks: int = MAX_PREFIX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._tables: dict[Homes, OrderedDict[int, dict[str, str]]] = {}

    def __len__(self) -> int:
        return sum(len(table) for table in self._tables.values())

    def apply_view(self, view: RoutingView) -> None:
        """Drop the tables of home regions that no route has any more or that exclude this front."""
        if view.configuration is None:
            return
        allowed = {
            route.home_regions
            for route in view.configuration.routes.values()
            if view.serves_home(route)
        }
        self._tables = {homes: table for homes, table in self._tables.items() if homes in allowed}

    def record(self, homes: Homes, block_hashes: tuple[int, ...], replica: ServingReplica) -> None:
        """Record that the replica caches the blocks, and make them the newest of their table.

        A block keeps its last ``MAX_REPLICAS_PER_BLOCK`` replicas.
        """
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
        """Return how many of the blocks the replica caches; a new incarnation starts with none."""
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
        """Return the replicas sorted by cached blocks, most first, then by rendezvous rank."""
        seed = combined_hash(block_hashes)
        return sorted(
            replicas,
            key=lambda replica: (
                -self.cached_blocks(homes, block_hashes, replica),
                -rendezvous_rank(seed, replica.replica_id),
            ),
        )

    def _shrink(self, newest: OrderedDict[int, dict[str, str]]) -> None:
        """Evict the oldest blocks beyond the total limit, from ``newest`` only at last."""
        excess = len(self) - self._max_blocks
        for table in [*(other for other in self._tables.values() if other is not newest), newest]:
            while excess > 0 and table:
                table.popitem(last=False)
                excess -= 1
