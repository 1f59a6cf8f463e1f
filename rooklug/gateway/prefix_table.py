"""Which parts of prompts each replica probably still holds in its KV cache."""

from collections import OrderedDict

import attrs

from rooklug.gateway.requests import PromptPart

HELD_S = 9.0
"""A part that wasn't used for so long counts as gone: others may have displaced it."""
MEMORY_SHARE = 0.8
"""Share of a replica's memory that is taken to hold cached parts; requests use the rest."""
DEFAULT_MEMORY_TOKENS = 100_000


@attrs.define
class _Held:
    tokens: int
    used_at: float


@attrs.define
class ReplicaParts:
    """The parts of one replica, least recently used first."""

    parts: OrderedDict[str, _Held] = attrs.field(factory=OrderedDict)
    tokens: int = 0

    def use(self, part: PromptPart, memory_tokens: int, now: float) -> None:
        """Note that a request with this part went to the replica."""
        known = self.parts.pop(part.part_id, None)
        self.tokens += part.tokens - (known.tokens if known else 0)
        self.parts[part.part_id] = _Held(part.tokens, now)
        while self.tokens > memory_tokens and len(self.parts) > 1:
            _, oldest = self.parts.popitem(last=False)
            self.tokens -= oldest.tokens

    def holds(self, part: PromptPart, now: float) -> bool:
        """Tell whether the part is probably still there."""
        held = self.parts.get(part.part_id)
        return held is not None and now - held.used_at <= HELD_S


@attrs.define
class PrefixTable:
    """What this front has sent where; other fronts' requests are not seen."""

    _replicas: dict[str, ReplicaParts] = attrs.field(factory=dict)

    def missing(self, replica_id: str, parts: tuple[PromptPart, ...], now: float) -> int:
        """Return how many tokens of ``parts`` the replica would read anew.

        A part counts as kept only if all parts before it are.
        """
        known = self._replicas.get(replica_id)
        left = sum(part.tokens for part in parts)
        if known is None:
            return left
        for part in parts:
            if not known.holds(part, now):
                break
            left -= part.tokens
        return left

    def used(
        self, replica_id: str, parts: tuple[PromptPart, ...], memory_tokens: int, now: float
    ) -> None:
        """Note the parts of a request that goes to a replica."""
        known = self._replicas.setdefault(replica_id, ReplicaParts())
        limit = int((memory_tokens or DEFAULT_MEMORY_TOKENS) * MEMORY_SHARE)
        for part in parts:
            known.use(part, limit, now)

    def forget_except(self, replica_ids: set[str]) -> None:
        """Drop what is kept of replicas that are gone."""
        self._replicas = {k: v for k, v in self._replicas.items() if k in replica_ids}
