"""A replica's KV memory: parts of prompts, the longest unused give way first."""

from collections import OrderedDict

import attrs

from rooklug.gateway.requests import PrefixBlock


@attrs.define
class PartCache:
    """Cached prompt parts beside what running requests occupy, in tokens."""

    memory_tokens: int
    running_tokens: int = 0
    cached_tokens: int = 0
    _parts: OrderedDict[str, int] = attrs.field(factory=OrderedDict)

    def kept_tokens(self, parts: tuple[PrefixBlock, ...]) -> int:
        """Return the tokens of the leading parts that needn't be read again, and touch them."""
        kept = 0
        for part in parts:
            if part.block_id not in self._parts:
                break
            self._parts.move_to_end(part.block_id)
            kept += part.tokens
        return kept

    def store(self, parts: tuple[PrefixBlock, ...]) -> None:
        """Keep the parts of a prompt that has been read."""
        for part in parts:
            self.cached_tokens += part.tokens - self._parts.pop(part.block_id, 0)
            self._parts[part.block_id] = part.tokens
        self.make_room()

    def make_room(self) -> None:
        """Let parts give way while memory is short."""
        room = self.memory_tokens - self.running_tokens
        while self._parts and self.cached_tokens > room:
            _, tokens = self._parts.popitem(last=False)
            self.cached_tokens -= tokens

    def clear(self) -> None:
        """Lose everything."""
        self._parts.clear()
        self.cached_tokens = 0
        self.running_tokens = 0
