"""Aggregates the calls in flight of a region's serving fronts; each gets the sums of the others.

If every serving front reported to every other, the number of reports would grow with the square of
the number of fronts, so each could be sent only rarely and would be stale. Instead, one standby
front collects: every serving front reports its own usage to it many times per second, and the
response contains the sums of all other fronts. No guarantee depends on the collector; when it is
lost, decisions use older reports until the next collector is called.
"""

from collections import deque

import attrs

from rooklug.routing.peer_loads import PeerLoads, ReplicaUsage
from rooklug.wire.generated.peers.ttypes import FrontUse, FrontUseTaken, ReplicaUse, SentPrompt

MAX_STORED_PROMPTS = 512
MAX_ANSWERED_PROMPTS = 128
"""Maximum number of prompts in a response; older ones are dropped, which only costs cache hits."""


def read_uses(reported: list[ReplicaUse]) -> dict[str, ReplicaUsage]:
    """Return a wire report's usages by replica id."""
    return {use.replica_id: ReplicaUsage(use.running, use.waiting_tokens) for use in reported}


@attrs.frozen
class _NumberedPrompt:
    number: int
    node_id: str
    prompt: SentPrompt


@attrs.define
class LoadCollector:
    """The latest report of each front and the prompts that the fronts have recently sent."""

    loads: PeerLoads = attrs.field(factory=PeerLoads)
    _prompts: deque[_NumberedPrompt] = attrs.field(factory=lambda: deque(maxlen=MAX_STORED_PROMPTS))
    _newest: int = 0

    def take(self, message: FrontUse, now: float) -> FrontUseTaken:
        """Record a front's report; return the other fronts' totals and their new prompts."""
        node_id = message.node_id
        uses = read_uses(message.uses)
        if self.loads.take(node_id, message.incarnation, message.sequence, uses, now):
            for prompt in message.prompts:
                self._newest += 1
                self._prompts.append(_NumberedPrompt(self._newest, node_id, prompt))
        others = self.loads.totals_without(node_id, now)
        reported = [
            ReplicaUse(replica_id, use.running, use.queued_prefill_tokens)
            for replica_id, use in sorted(others.items())
        ]
        return FrontUseTaken(reported, self._since(message.prompts_seen, node_id), self._newest)

    def _since(self, seen: int, node_id: str) -> list[SentPrompt]:
        """Return the other fronts' prompts numbered above ``seen``.

        A number that this collector has not assigned yet stems from another one and counts as 0.
        """
        after = seen if 0 <= seen <= self._newest else 0
        found = [
            entry.prompt
            for entry in self._prompts
            if entry.number > after and entry.node_id != node_id
        ]
        return found[-MAX_ANSWERED_PROMPTS:]
