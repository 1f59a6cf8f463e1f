"""Cost model for choosing a replica; costs are in seconds.

An engine prefills prompts between the decode steps of its running streams: while a backlog of
prompts is prefilled, every stream on the replica stalls. The cost of a request at a replica is the
sum of the time to first token, a penalty for missing the latency objective, a penalty for each
running stream whose gap between tokens exceeds its objective, and the prefill of shared blocks that
another replica has cached.
"""

import attrs
import xxhash

from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.prefix_cache_table import PrefixCacheTable
from rooklug.gateway.requests import PrefixBlock
from rooklug.routing.peer_loads import ReplicaUsage

REPREFILL_WEIGHT = 2.0
"""Weight of each second spent on prefilling shared blocks again."""
PROBABLY_CACHED_WEIGHT = 0.5
"""Weight of an uncached token at the owner: another front may already have sent its block there."""
RUNNING_REQUEST_COST_S = 0.002
"""Cost per running request, since running requests slow each other down."""
LATENCY_BUDGET_SHARE = 0.2
"""Share of the latency objective that the time to first token may take without a penalty."""
SLO_MISS_WEIGHT = 10.0
"""Weight of each second beyond that share."""
GAP_SHARE = 0.5
"""Share of the gap objective that a prefill backlog may take without a penalty."""
GAP_MISS_WEIGHT = 2.0
"""Weight of each second beyond that share, per running stream."""
DEFAULT_GAP_S = 0.5
"""Gap objective of a route that sets none."""


@attrs.frozen
class Cost:
    """Cost of sending the request to one replica, and the replica's rank for the prompt."""

    replica: GatewayReplica
    total_s: float
    rank: int

    @property
    def order(self) -> tuple[float, int]:
        """Return the sort key: lower cost first; on a tie, the higher rank."""
        return self.total_s, -self.rank


@attrs.frozen
class CostModel:
    """Inputs for the costs of one request.

    Attributes:
        shared_blocks: Leading blocks of the prompt that other prompts may share.
        unique_tokens: Number of tokens in the rest of the prompt.
        latency_objective_s: The route's objective for the time to first token.
        gap_objective_s: The route's objective for the gap between tokens; 0 means the default.
        tokens_per_s: Rate at which replicas prefill.
        prefixes: Blocks that each replica probably has cached.
        ranks: Rank of each replica for the shared blocks, by replica id.
        owner: Id of the replica that every front prefers for the shared blocks.
    """

    shared_blocks: tuple[PrefixBlock, ...]
    unique_tokens: int
    latency_objective_s: float
    gap_objective_s: float
    tokens_per_s: float
    prefixes: PrefixCacheTable
    ranks: dict[str, int]
    owner: str

    def of(self, replica: GatewayReplica, usage: ReplicaUsage, now: float) -> Cost:
        """Return the cost of the request at a replica with the given usage."""
        missing = self.prefixes.missing_tokens(replica.replica_id, self.shared_blocks, now)
        backlog_s = usage.queued_prefill_tokens / self.tokens_per_s
        first_token_s = backlog_s + (missing + self.unique_tokens) / self.tokens_per_s
        uncached_weight = PROBABLY_CACHED_WEIGHT if replica.replica_id == self.owner else 1.0
        reprefill_s = missing * uncached_weight / self.tokens_per_s
        budget_s = self.latency_objective_s * LATENCY_BUDGET_SHARE
        slo_miss_s = max(first_token_s - budget_s, 0.0)
        total_s = (
            first_token_s
            + reprefill_s * REPREFILL_WEIGHT
            + slo_miss_s * SLO_MISS_WEIGHT
            + usage.running
            * (
                RUNNING_REQUEST_COST_S
                + self._added_gap_miss_s(backlog_s, first_token_s) * GAP_MISS_WEIGHT
            )
        )
        return Cost(replica, total_s, self.ranks[replica.replica_id])

    def _added_gap_miss_s(self, backlog_s: float, first_token_s: float) -> float:
        """Return how many seconds this request adds to the running streams' gap miss."""
        allowed_s = (self.gap_objective_s or DEFAULT_GAP_S) * GAP_SHARE
        return max(first_token_s - allowed_s, 0.0) - max(backlog_s - allowed_s, 0.0)


def rank_of(blocks: tuple[PrefixBlock, ...], replica_id: str) -> int:
    """Return the rendezvous hash of a prompt and a replica; every front computes the same rank."""
    return xxhash.xxh64_intdigest(f"{blocks[-1].block_id}/{replica_id}".encode())
