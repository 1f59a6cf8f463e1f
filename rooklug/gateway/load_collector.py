"""Collects the calls in flight of a region's serving fronts; each gets the sums of the others.

With many serving fronts, reports of every front to every other grow with the square of their
number, so each could be sent only seldom and would be old. One standby front collects instead:
every serving front calls it many times a second with its own usage, and the answer brings the
sums of all others. Nothing depends on it for safety; while a collector is lost, decisions rest on
older reports until the next one is called.
"""

from collections import deque

import attrs

from rooklug.routing.peer_loads import PeerLoads, ReplicaUsage
from rooklug.wire.generated.peers.ttypes import FrontUse, FrontUseTaken, ReplicaUse, SentPrompt

MAX_STORED_PROMPTS = 512
MAX_ANSWERED_PROMPTS = 128
"""In one answer; the rest is dropped, which costs only cache hits."""


def read_uses(reported: list[ReplicaUse]) -> dict[str, ReplicaUsage]:
    """Return a report's usage by replica id."""
    return {use.replica_id: ReplicaUsage(use.running, use.waiting_tokens) for use in reported}


@attrs.frozen
class _NumberedPrompt:
    number: int
    node_id: str
    prompt: SentPrompt


@attrs.define
class LoadCollector:
    """The newest report of each front, and the prompts that they sent last."""

    loads: PeerLoads = attrs.field(factory=PeerLoads)
    _prompts: deque[_NumberedPrompt] = attrs.field(factory=lambda: deque(maxlen=MAX_STORED_PROMPTS))
    _newest: int = 0

    def take(self, message: FrontUse, now: float) -> FrontUseTaken:
        """Take a front's report and return what the others have reported."""
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
        """Return the others' prompts after a number; one beyond ours is another collector's."""
        after = seen if 0 <= seen <= self._newest else 0
        found = [
            entry.prompt
            for entry in self._prompts
            if entry.number > after and entry.node_id != node_id
        ]
        return found[-MAX_ANSWERED_PROMPTS:]
