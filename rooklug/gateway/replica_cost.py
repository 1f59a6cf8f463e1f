"""What it would cost, in seconds, to send a request to a replica: waiting, and reading again."""

import attrs
import xxhash

from rooklug.gateway.prefix_table import PrefixTable
from rooklug.gateway.requests import PromptPart
from rooklug.gateway.view import GatewayReplica
from rooklug.routing.peer_loads import Use

READ_AGAIN_WEIGHT = 5.0
"""Reading shared tokens again weighs as much as waiting so many times as long."""
LIKELY_HELD_SHARE = 0.5
"""Weight of a token at the replica that all fronts agree on: another front may have sent it."""
RUNNING_TOKENS = 60.0
"""A running request slows the others as much as so many prompt tokens."""
PATIENCE_SHARE = 0.5
"""A wait of more than this part of the route's latency objective endangers it."""
LATE_WEIGHT = 10.0
"""Weight of each second beyond that."""


@attrs.frozen
class Cost:
    """What a replica would cost, in seconds, and its rank for the prompt."""

    replica: GatewayReplica
    total_s: float
    rank: int

    @property
    def order(self) -> tuple[float, int]:
        """Return what replicas are compared by: the cost, then the rank that fronts agree on."""
        return self.total_s, -self.rank


@attrs.frozen
class CostModel:
    """Costs of one request: what it shares, how long its route may wait, how fast replicas read.

    ``parts`` are shared prompt parts, ``likely`` is the replica that every front would choose
    for them, and ``tokens_per_s`` is the rate at which replicas read prompts.
    """

    parts: tuple[PromptPart, ...]
    objective_s: float
    tokens_per_s: float
    prefixes: PrefixTable
    likely: str

    def of(self, replica: GatewayReplica, load: Use, now: float) -> Cost:
        """Return the cost of one replica."""
        missing = self.prefixes.missing(replica.replica_id, self.parts, now)
        tokens_ahead = load.waiting_tokens + RUNNING_TOKENS * load.running
        wait_s = (tokens_ahead + missing) / self.tokens_per_s
        held = LIKELY_HELD_SHARE if replica.replica_id == self.likely else 1.0
        again_s = missing * held * READ_AGAIN_WEIGHT / self.tokens_per_s
        late_s = max(wait_s - self.objective_s * PATIENCE_SHARE, 0.0)
        total_s = wait_s + again_s + late_s * LATE_WEIGHT
        return Cost(replica, total_s, rank_of(self.parts, replica.replica_id))


def rank_of(parts: tuple[PromptPart, ...], replica_id: str) -> int:
    """Return a rendezvous hash: all fronts rank the replicas for a prompt alike."""
    return xxhash.xxh64_intdigest(f"{parts[-1].part_id}/{replica_id}".encode())
