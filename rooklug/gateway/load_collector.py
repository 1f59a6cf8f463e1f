"""Collects what the serving fronts of a region have under way, and tells each the others' sums.

With many serving fronts, messages of everybody to everybody grow with the square of their
number, so that each could be sent only seldom, and news was old. One front that stands by
collects instead: every serving front calls it many times a second with its own uses, and the
answer brings the sums of all the others. Nothing is promised by it; a collector that is lost
costs some news until the next one is asked.
"""

from collections import deque

import attrs

from rooklug.routing.peer_loads import PeerLoads, Use
from rooklug.wire.generated.peers.ttypes import FrontUse, FrontUseTaken, ReplicaUse, SentPrompt

MOST_PROMPTS_KEPT = 512
MOST_PROMPTS_TOLD = 128
"""In one answer; what is beyond is not told: it only saves reading."""


def read_uses(told: list[ReplicaUse]) -> dict[str, Use]:
    """Return what a message tells of each replica."""
    return {use.replica_id: Use(use.running, use.waiting_tokens) for use in told}


@attrs.frozen
class _NumberedPrompt:
    number: int
    node_id: str
    prompt: SentPrompt


@attrs.define
class LoadCollector:
    """The newest word of each front, and the prompts that they sent last."""

    loads: PeerLoads = attrs.field(factory=PeerLoads)
    _prompts: deque[_NumberedPrompt] = attrs.field(factory=lambda: deque(maxlen=MOST_PROMPTS_KEPT))
    _newest: int = 0

    def take(self, message: FrontUse, now: float) -> FrontUseTaken:
        """Take a front's word and return what the others told."""
        node_id = message.node_id
        uses = read_uses(message.uses)
        if self.loads.take(node_id, message.incarnation, message.sequence, uses, now):
            for prompt in message.prompts:
                self._newest += 1
                self._prompts.append(_NumberedPrompt(self._newest, node_id, prompt))
        others = self.loads.all_but(node_id, now)
        told = [
            ReplicaUse(replica_id, use.running, use.waiting_tokens)
            for replica_id, use in sorted(others.items())
        ]
        return FrontUseTaken(told, self._since(message.prompts_seen, node_id), self._newest)

    def _since(self, seen: int, node_id: str) -> list[SentPrompt]:
        """Return the others' prompts after a number; one beyond ours is another collector's."""
        after = seen if 0 <= seen <= self._newest else 0
        found = [
            entry.prompt
            for entry in self._prompts
            if entry.number > after and entry.node_id != node_id
        ]
        return found[-MOST_PROMPTS_TOLD:]
