"""Estimates which prefix blocks of prompts each replica has in its KV cache."""

from collections import OrderedDict
from itertools import islice

import attrs

from rooklug.gateway.requests import PrefixBlock

CACHE_TTL_S = 9.0
"""A block that has not been used for this long counts as evicted."""
MEMORY_SHARE = 0.8
"""Share of a replica's KV memory assumed to be available for cached blocks; running requests use
the rest."""
DEFAULT_MEMORY_TOKENS = 100_000
"""KV memory assumed for a replica whose service doesn't state it."""


@attrs.define
class _CachedBlock:
    tokens: int
    used_at: float


@attrs.define
class ReplicaPrefixes:
    """The cached blocks of one replica by block id, least recently used first."""

    blocks: OrderedDict[str, _CachedBlock] = attrs.field(factory=OrderedDict)
    tokens: int = 0

    def use(self, block: PrefixBlock, memory_tokens: int, now: float) -> list[str]:
        """Mark a block as most recently used; return the ids of the blocks that it evicts."""
        known = self.blocks.pop(block.block_id, None)
        self.tokens += block.tokens - (known.tokens if known else 0)
        self.blocks[block.block_id] = _CachedBlock(block.tokens, now)
        evicted = []
        while self.tokens > memory_tokens and len(self.blocks) > 1:
            block_id, oldest = self.blocks.popitem(last=False)
            self.tokens -= oldest.tokens
            evicted.append(block_id)
        return evicted

    def is_cached(self, block: PrefixBlock, now: float) -> bool:
        """Return whether the block is probably still cached."""
        cached = self.blocks.get(block.block_id)
        return cached is not None and now - cached.used_at <= CACHE_TTL_S


@attrs.define
class PrefixCacheTable:
    """The blocks sent to each replica by this front and by the peers that reported them."""

    _replicas: dict[str, ReplicaPrefixes] = attrs.field(factory=dict)
    _users: dict[str, dict[str, None]] = attrs.field(factory=dict)
    """Replica ids by block id, the most recent user last; the inner dict is an ordered set."""

    def missing_tokens(self, replica_id: str, blocks: tuple[PrefixBlock, ...], now: float) -> int:
        """Return how many tokens of ``blocks`` the replica would have to prefill.

        A block counts as cached only if all blocks before it are.
        """
        known = self._replicas.get(replica_id)
        left = sum(block.tokens for block in blocks)
        if known is None:
            return left
        for block in blocks:
            if not known.is_cached(block, now):
                break
            left -= block.tokens
        return left

    def record_use(
        self, replica_id: str, blocks: tuple[PrefixBlock, ...], memory_tokens: int, now: float
    ) -> None:
        """Record a prompt sent to a replica; ``memory_tokens`` 0 means the default memory."""
        known = self._replicas.setdefault(replica_id, ReplicaPrefixes())
        limit = int((memory_tokens or DEFAULT_MEMORY_TOKENS) * MEMORY_SHARE)
        for block in blocks:
            self._record_user(block.block_id, replica_id)
            for evicted in known.use(block, limit, now):
                self._forget_user(evicted, replica_id)

    def users(self, block_id: str, most: int) -> list[str]:
        """Return up to ``most`` ids of replicas that were sent a block, most recent first."""
        return list(islice(reversed(self._users.get(block_id, {})), most))

    def forget_except(self, replica_ids: set[str]) -> None:
        """Drop the blocks of replicas that are not in ``replica_ids``."""
        for replica_id in self._replicas.keys() - replica_ids:
            for block_id in self._replicas.pop(replica_id).blocks:
                self._forget_user(block_id, replica_id)

    def _record_user(self, block_id: str, replica_id: str) -> None:
        users = self._users.setdefault(block_id, {})
        users.pop(replica_id, None)
        users[replica_id] = None

    def _forget_user(self, block_id: str, replica_id: str) -> None:
        users = self._users.get(block_id, {})
        users.pop(replica_id, None)
        if not users:
            self._users.pop(block_id, None)
