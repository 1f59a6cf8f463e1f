"""Which parts of prompts each replica probably still holds in its KV cache."""

from collections import OrderedDict
from itertools import islice

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

    def use(self, part: PromptPart, memory_tokens: int, now: float) -> list[str]:
        """Note that a request with this part went to the replica; return what gave way to it."""
        known = self.parts.pop(part.part_id, None)
        self.tokens += part.tokens - (known.tokens if known else 0)
        self.parts[part.part_id] = _Held(part.tokens, now)
        displaced = []
        while self.tokens > memory_tokens and len(self.parts) > 1:
            part_id, oldest = self.parts.popitem(last=False)
            self.tokens -= oldest.tokens
            displaced.append(part_id)
        return displaced

    def holds(self, part: PromptPart, now: float) -> bool:
        """Tell whether the part is probably still there."""
        held = self.parts.get(part.part_id)
        return held is not None and now - held.used_at <= HELD_S


@attrs.define
class PrefixTable:
    """What this front has sent where; other fronts' requests are not seen."""

    _replicas: dict[str, ReplicaParts] = attrs.field(factory=dict)
    _users: dict[str, dict[str, None]] = attrs.field(factory=dict)
    """Replicas by part, the latest user last."""

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
            self._note_user(part.part_id, replica_id)
            for displaced in known.use(part, limit, now):
                self._drop_user(displaced, replica_id)

    def users(self, part_id: str, most: int) -> list[str]:
        """Return replicas that were sent a part, the latest first; some may hold it no more."""
        return list(islice(reversed(self._users.get(part_id, {})), most))

    def forget_except(self, replica_ids: set[str]) -> None:
        """Drop what is kept of replicas that are gone."""
        for replica_id in self._replicas.keys() - replica_ids:
            for part_id in self._replicas.pop(replica_id).parts:
                self._drop_user(part_id, replica_id)

    def _note_user(self, part_id: str, replica_id: str) -> None:
        users = self._users.setdefault(part_id, {})
        users.pop(replica_id, None)
        users[replica_id] = None

    def _drop_user(self, part_id: str, replica_id: str) -> None:
        users = self._users.get(part_id, {})
        users.pop(replica_id, None)
        if not users:
            self._users.pop(part_id, None)
