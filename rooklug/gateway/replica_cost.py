"""What it would cost to send a request to a replica, in seconds.

An engine reads prompts between the tokens of the streams that run on it: while a backlog of
prompts is read, every stream there pauses. So a prompt's cost at a replica has three parts: the
chance that it is late itself, the streams that its reading makes late by a pause beyond their
objective, and the shared parts that are read again.
"""

import attrs
import xxhash

from rooklug.gateway.prefix_table import PrefixTable
from rooklug.gateway.replicas import GatewayReplica
from rooklug.gateway.requests import PromptPart
from rooklug.routing.peer_loads import Use

READ_AGAIN_WEIGHT = 2.0
"""Reading shared tokens again weighs as much as waiting so many times as long."""
LIKELY_HELD_SHARE = 0.5
"""Weight of a token at the replica that all fronts agree on: another front may have sent it."""
RUNNING_S = 0.002
"""A running request slows the others as much as so long a wait."""
PATIENCE_SHARE = 0.2
"""A wait of more than this part of the route's latency objective endangers it."""
LATE_WEIGHT = 10.0
"""Weight of each second beyond that."""
PAUSE_SHARE = 0.5
"""A backlog of more than this part of the longest pause endangers the streams beside it."""
PAUSE_WEIGHT = 2.0
"""Weight of each second beyond that, for each of those streams."""
USUAL_GAP_S = 0.5
"""Taken where a route tells no longest pause."""


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
    """Costs of one request: what it shares, how long it and its neighbours may wait.

    ``parts`` are shared prompt parts, ``own_tokens`` the rest of the prompt, ``ranks`` are the
    replicas' ranks for these parts, ``likely`` is the replica that every front would choose, and
    ``tokens_per_s`` is the rate at which replicas read.
    """

    parts: tuple[PromptPart, ...]
    own_tokens: int
    objective_s: float
    gap_s: float
    tokens_per_s: float
    prefixes: PrefixTable
    ranks: dict[str, int]
    likely: str

    def of(self, replica: GatewayReplica, load: Use, now: float) -> Cost:
        """Return the cost of one replica."""
        missing = self.prefixes.missing(replica.replica_id, self.parts, now)
        before_s = load.waiting_tokens / self.tokens_per_s
        after_s = before_s + (missing + self.own_tokens) / self.tokens_per_s
        held = LIKELY_HELD_SHARE if replica.replica_id == self.likely else 1.0
        again_s = missing * held / self.tokens_per_s
        late_s = max(after_s - self.objective_s * PATIENCE_SHARE, 0.0)
        pause_s = (self.gap_s or USUAL_GAP_S) * PAUSE_SHARE
        paused_s = max(after_s - pause_s, 0.0) - max(before_s - pause_s, 0.0)
        total_s = (
            after_s
            + again_s * READ_AGAIN_WEIGHT
            + late_s * LATE_WEIGHT
            + load.running * (RUNNING_S + paused_s * PAUSE_WEIGHT)
        )
        return Cost(replica, total_s, self.ranks[replica.replica_id])


def rank_of(parts: tuple[PromptPart, ...], replica_id: str) -> int:
    """Return a rendezvous hash: all fronts rank the replicas for a prompt alike."""
    return xxhash.xxh64_intdigest(f"{parts[-1].part_id}/{replica_id}".encode())
