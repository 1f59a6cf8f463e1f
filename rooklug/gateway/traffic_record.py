"""A front's observations of replicas: its own calls, peers' reports, cached blocks and health.

The decision object reads the record; the code that forwards requests updates it. Counts change
only in the ``record_*`` methods: each call is recorded once when it is sent and once when it ends.
"""

from random import Random

import attrs

from rooklug.front.outcomes import AttemptOutcome
from rooklug.gateway.document import Service
from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.prefill_rate import PrefillRate
from rooklug.gateway.prefix_cache_table import PrefixCacheTable
from rooklug.gateway.replica_load import ReplicaLoad
from rooklug.gateway.replica_rate_limiter import ReplicaRateLimiter
from rooklug.gateway.requests import InboundRequest
from rooklug.gateway.slow_start_limiter import SlowStartLimiter
from rooklug.gateway.stale_endpoint_detector import StaleEndpointDetector
from rooklug.routing.peer_loads import PeerLoads, ReplicaUsage
from rooklug.routing.send_shares import SendShares
from rooklug.wire.generated.peers.ttypes import SentPrompt

PREFILL_SHARE_WEIGHT = 0.01
"""Weight of one prompt in the moving average of the share of tokens that are prefilled."""
MAX_UNREPORTED_PROMPTS = 256
"""Maximum number of prompts held for the next report to peers; a front without peers never
reports them."""


@attrs.define(eq=False)
class TrafficRecord:
    """One front's observations, by replica id. Times are monotonic seconds.

    Attributes:
        random: Randomizes the length of ejections.
        slow_start_limiter: Limits requests to replicas in slow start.
        rate_limiter: Limits requests to all replicas of a service with a slow-start rate.
        loads: This front's calls in flight at each replica, and the replica's health.
        prefixes: Prefix blocks that each replica probably has in its KV cache.
        stale_endpoints: Listed addresses that have answered as a different replica.
        prefill_rate: Estimated rate at which a replica prefills prompts.
        peers: Calls in flight of the region's other fronts.
        prefill_share: Moving average of the share of prompt tokens that replicas must prefill.
    """

    random: Random
    slow_start_limiter: SlowStartLimiter
    rate_limiter: ReplicaRateLimiter = attrs.field(factory=ReplicaRateLimiter)
    loads: dict[str, ReplicaLoad] = attrs.field(factory=dict)
    prefixes: PrefixCacheTable = attrs.field(factory=PrefixCacheTable)
    stale_endpoints: StaleEndpointDetector = attrs.field(factory=StaleEndpointDetector)
    prefill_rate: PrefillRate = attrs.field(factory=PrefillRate)
    peers: PeerLoads = attrs.field(factory=PeerLoads)
    prefill_share: float = 1.0
    _unreported_prompts: list[SentPrompt] = attrs.field(factory=list)

    def load_of(self, replica: GatewayReplica) -> ReplicaLoad:
        """Return the load of a replica; created at the first use."""
        load = self.loads.get(replica.replica_id)
        if load is None:
            load = self.loads[replica.replica_id] = ReplicaLoad()
        return load

    def usage_of(self, replica: GatewayReplica, now: float) -> ReplicaUsage:
        """Return the load at a replica: this front's calls plus those that peers reported."""
        peers = self.peers.usage_at(replica.replica_id, now)
        load = self.load_of(replica)
        return ReplicaUsage(
            load.running + peers.running,
            load.queued_prefill_tokens + peers.queued_prefill_tokens,
        )

    def is_unresponsive(self, replica: GatewayReplica, now: float) -> bool:
        """Return whether a replica has calls in flight and has stopped sending anything."""
        return self.load_of(replica).is_unresponsive(now)

    def is_ejected(self, replica: GatewayReplica, now: float) -> bool:
        """Return whether a replica is ejected, or on probation with a call already in flight."""
        load = self.loads.get(replica.replica_id)
        if load is None:
            return False
        return load.health.is_ejected(now) or (load.health.on_probation and load.running > 0)

    def record_send(
        self,
        call_id: int,
        request: InboundRequest,
        replica: GatewayReplica,
        service: Service,
        send_shares: SendShares,
        now: float,
    ) -> None:
        """Record a request sent to a replica; ``send_shares`` tells which fronts may send there."""
        missing = self.prefixes.missing_tokens(replica.replica_id, request.prefix_blocks, now)
        load = self.load_of(replica)
        queued_before = load.queued_prefill_tokens
        load.record_send(call_id, missing, now)
        if service.engine is not None:
            self._update_prefill_share(request, missing)
            self.prefill_rate.record_send(call_id, queued_before + missing, now)
            self._record_prompt(request, replica, service.engine.key_value_tokens, now)
        rate_per_s = service.slow_start_rate_per_s
        if rate_per_s > 0:
            self.rate_limiter.record_send(replica.replica_id, now)
        if replica.is_in_slow_start(now):
            senders = send_shares.senders(replica.region)
            self.slow_start_limiter.record_send(replica.replica_id, rate_per_s, senders, now)

    def record_response(self, call_id: int, replica: GatewayReplica, now: float) -> None:
        """Record that a replica has sent bytes of a response, under its listed id."""
        self.stale_endpoints.record_match(replica.replica_id)
        self.load_of(replica).record_response(call_id, now)
        self.prefill_rate.record_response(call_id, now)

    def record_end(
        self, call_id: int, replica: GatewayReplica, outcome: AttemptOutcome | None, now: float
    ) -> None:
        """Record the end of a call; an ``outcome`` of None leaves the replica's health as it is."""
        load = self.load_of(replica)
        load.record_end(call_id, now)
        self.prefill_rate.record_end(call_id)
        if outcome is AttemptOutcome.SUCCESS:
            self.stale_endpoints.record_match(replica.replica_id)
            load.health.record_success()
        elif outcome is not None:
            load.health.record_failure(outcome, now, self.random)

    def record_address_mismatch(self, replica: GatewayReplica) -> None:
        """Record that a replica's address has answered as a different replica."""
        self.stale_endpoints.record_mismatch(replica.replica_id, replica.zone)

    def take_unreported_prompts(self) -> list[SentPrompt]:
        """Return and clear the prompts sent since the last report to peers."""
        prompts, self._unreported_prompts = self._unreported_prompts, []
        return prompts

    def forget_unlisted(self, listed: set[str]) -> None:
        """Drop the records of replicas that are not listed; loads with running calls are kept."""
        self.loads = {
            replica_id: load
            for replica_id, load in self.loads.items()
            if replica_id in listed or load.running
        }
        self.slow_start_limiter.forget_except(listed)
        self.rate_limiter.forget_except(listed)
        self.prefixes.forget_except(listed)
        self.stale_endpoints.apply_list(listed)

    def _update_prefill_share(self, request: InboundRequest, missing: int) -> None:
        total = sum(block.tokens for block in request.prefix_blocks)
        if total:
            self.prefill_share += PREFILL_SHARE_WEIGHT * (missing / total - self.prefill_share)

    def _record_prompt(
        self, request: InboundRequest, replica: GatewayReplica, memory_tokens: int, now: float
    ) -> None:
        """Record the blocks that the replica will cache, and queue the shared ones for peers."""
        self.prefixes.record_use(replica.replica_id, request.prefix_blocks, memory_tokens, now)
        shared = request.prefix_blocks[:-1]
        if shared and len(self._unreported_prompts) < MAX_UNREPORTED_PROMPTS:
            block_ids = [block.block_id for block in shared]
            tokens = [block.tokens for block in shared]
            prompt = SentPrompt(replica.replica_id, block_ids, tokens, memory_tokens)
            self._unreported_prompts.append(prompt)
