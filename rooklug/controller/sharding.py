"""Assignment of replicas to prober shards."""

import xxhash

from rooklug.model.topics import PROBER_SHARDS, ROLE_PROBER_PREFIX


def shard_of(replica_id: str) -> int:
    """Return the shard number of a replica, which is the same in every process and run."""
    return xxhash.xxh64_intdigest(replica_id.encode()) % PROBER_SHARDS


def shard_role(shard: int) -> str:
    """Return the role key of a shard, such as "prober/0"."""
    return f"{ROLE_PROBER_PREFIX}{shard}"
