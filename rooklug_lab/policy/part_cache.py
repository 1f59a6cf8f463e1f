"""A replica's KV memory with a prefix cache that evicts the least recently used blocks."""

from collections import OrderedDict

import attrs

from rooklug.gateway.requests import PrefixBlock


@attrs.define
class PartCache:
    """Cached prefix blocks and the memory of running requests, in tokens."""

    memory_tokens: int
    running_tokens: int = 0
    cached_tokens: int = 0
    _parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)

    def kept_tokens(self, parts: tuple[PrefixBlock, ...]) -> int:
        """Return the tokens of the leading blocks that are cached, and mark these as used."""
        kept = 0
        for part in parts:
            if part.block_id not in self._parts:
                break
            self._parts.move_to_end(part.block_id)
            kept += part.tokens
        return kept

    def store(self, parts: tuple[PrefixBlock, ...]) -> None:
        """Cache the blocks of a prefilled prompt."""
        for part in parts:
            self.cached_tokens += part.tokens - self._parts.pop(part.block_id, 0)
            self._parts[part.block_id] = part.tokens
        self.evict_to_fit()

    def evict_to_fit(self) -> None:
        """Evict blocks until the rest fits beside the running requests."""
        room = self.memory_tokens - self.running_tokens
        while self._parts and self.cached_tokens > room:
            _, tokens = self._parts.popitem(last=False)
            self.cached_tokens -= tokens

    def clear(self) -> None:
        """Drop all cached blocks and the memory of running requests."""
        self._parts.clear()
        self.cached_tokens = 0
        self.running_tokens = 0
