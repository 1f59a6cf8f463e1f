"""What a front has observed of replicas: its own calls, peers' reports, caches and health.

The decision object reads it; the code that carries requests records into it. Every count changes
in a ``record_*`` method, so one request is counted once at its send and once at its end.
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
"""Weight of one prompt in the moving average of the share of tokens that is prefilled."""
MAX_UNREPORTED_PROMPTS = 256
"""Prompts held for the next report to peers; a front without peers never reports any."""


@attrs.define(eq=False)
class TrafficRecord:
    """One front's observations, by replica id. Times are monotonic seconds.

    Attributes:
        random: Draws the length of ejections.
        slow_start_limiter: Sends to replicas in slow start.
        rate_limiter: Sends to every replica of a service with a slow-start rate.
        loads: This front's calls in flight and the health of each replica.
        prefixes: Prefix blocks that each replica's KV cache probably holds.
        stale_endpoints: Listed addresses that have answered as another replica.
        prefill_rate: Prompt tokens that a replica reads a second.
        peers: Calls that the region's other fronts have in flight.
        prefill_share: Share of prompt tokens that replicas must read, a moving average.
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
        """Return the load of a replica, a new one at its first call."""
        load = self.loads.get(replica.replica_id)
        if load is None:
            load = self.loads[replica.replica_id] = ReplicaLoad()
        return load

    def usage_of(self, replica: GatewayReplica, now: float) -> ReplicaUsage:
        """Return what is in flight at a replica: this front's calls and those peers reported."""
        peers = self.peers.usage_at(replica.replica_id, now)
        load = self.load_of(replica)
        return ReplicaUsage(
            load.running + peers.running,
            load.queued_prefill_tokens + peers.queued_prefill_tokens,
        )

    def is_unresponsive(self, replica: GatewayReplica, now: float) -> bool:
        """Return whether a replica owes answers and sends nothing at all."""
        return self.load_of(replica).is_unresponsive(now)

    def is_ejected(self, replica: GatewayReplica, now: float) -> bool:
        """Return whether a replica is ejected, or on probation with a call in flight."""
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
        """Count a request that goes out; ``send_shares`` say which fronts send to the replica."""
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
        """Count bytes of an answer as a sign of life."""
        self.stale_endpoints.record_match(replica.replica_id)
        self.load_of(replica).record_response(call_id, now)
        self.prefill_rate.record_response(call_id, now)

    def record_end(
        self, call_id: int, replica: GatewayReplica, outcome: AttemptOutcome | None, now: float
    ) -> None:
        """Count the end of a call; ``outcome`` None says nothing about the replica's health."""
        load = self.load_of(replica)
        load.record_end(call_id, now)
        self.prefill_rate.record_end(call_id)
        if outcome is AttemptOutcome.SUCCESS:
            self.stale_endpoints.record_match(replica.replica_id)
            load.health.record_success()
        elif outcome is not None:
            load.health.record_failure(outcome, now, self.random)

    def record_address_mismatch(self, replica: GatewayReplica) -> None:
        """Note that a replica's address has answered as another replica."""
        self.stale_endpoints.record_mismatch(replica.replica_id, replica.zone)

    def take_unreported_prompts(self) -> list[SentPrompt]:
        """Return the prompts sent since the last call, for a report to peers."""
        taken, self._unreported_prompts = self._unreported_prompts, []
        return taken

    def forget_unlisted(self, listed: set[str]) -> None:
        """Drop what is held of replicas that the newest list doesn't name."""
        self.loads = {
            replica_id: load
            for replica_id, load in self.loads.items()
            if replica_id in listed or load.running
        }
        self.slow_start_limiter.forget_except(listed)
        self.rate_limiter.forget_except(listed)
        self.prefixes.forget_except(listed)
        self.stale_endpoints.take_list(listed)

    def _update_prefill_share(self, request: InboundRequest, missing: int) -> None:
        total = sum(block.tokens for block in request.prefix_blocks)
        if total:
            self.prefill_share += PREFILL_SHARE_WEIGHT * (missing / total - self.prefill_share)

    def _record_prompt(
        self, request: InboundRequest, replica: GatewayReplica, memory_tokens: int, now: float
    ) -> None:
        """Note what the replica's cache will hold, and keep the shared blocks for the peers."""
        self.prefixes.record_use(replica.replica_id, request.prefix_blocks, memory_tokens, now)
        shared = request.prefix_blocks[:-1]
        if shared and len(self._unreported_prompts) < MAX_UNREPORTED_PROMPTS:
            block_ids = [block.block_id for block in shared]
            tokens = [block.tokens for block in shared]
            prompt = SentPrompt(replica.replica_id, block_ids, tokens, memory_tokens)
            self._unreported_prompts.append(prompt)
