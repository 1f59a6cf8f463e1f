"""Components with which a front serves other fronts: claim shards, and outcomes of attempts."""

from collections.abc import Iterable

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.front.once_only.attempt import AttemptState
from rooklug.front.once_only.attempt_table import AttemptTable
from rooklug.front.once_only.outcome_memory import Outcome
from rooklug.front.once_only.pending_calls import PendingCalls
from rooklug.front.once_only.shard_owner import Phase, ShardOwner
from rooklug.model.internal_events import GrantsChanged
from rooklug.model.topics import CLAIM_SHARDS, ROLE_CLAIMS_PREFIX
from rooklug.wire.codec import encode
from rooklug.wire.generated.claims.ttypes import (
    ClaimRequest,
    ClaimStatusAnswer,
    ClaimStatusRequest,
    CopyResultAnswer,
    CopyResultRequest,
    ReadFrontClaimsAnswer,
    ReadFrontClaimsRequest,
)


class ClaimOwner(BaseComponent):
    """Decides claim requests of the shards whose role is granted to this front."""

    name = "claim-owner"
    call_types = (ClaimRequest,)
    subscribes_to = (GrantsChanged,)

    def __init__(
        self, context: ProcessContext, core_link: CoreLink, stores: tuple[str, ...]
    ) -> None:
        self._calls = PendingCalls(context.identifiers)
        self._shards = [
            ShardOwner(shard, core_link, self._calls, stores) for shard in range(CLAIM_SHARDS)
        ]

    def shard(self, number: int) -> ShardOwner:
        """Return the owner state of one shard, also if the shard is not granted to this front."""
        return self._shards[number]

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Pass grants, claim requests, timers and ended calls to the shards that they concern."""
        if isinstance(event, GrantsChanged):
            return self._on_grants_changed(event, now)
        if isinstance(event, ev.CallArrived):
            shard = self._shards[event.request.shard % CLAIM_SHARDS]
            return shard.claim(event.call_id, event.request, now)
        if isinstance(event, ev.TimerFired):
            kind, _, number = event.name.partition(":")
            shard = self._shards[int(number)]
            return shard.tick(now) if kind == "tick" else shard.free_table(now)
        if isinstance(event, ev.CallAnswered | ev.CallFailed):
            return self._calls.end(event, now)
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the number of shards decided here and of claims granted here."""
        deciding = sum(shard.phase is Phase.READY for shard in self._shards)
        granted = sum(shard.granted_claims for shard in self._shards)
        return (
            MetricSample(
                "rooklug_claim_shards_deciding", deciding, "gauge", "Claim shards decided here."
            ),
            MetricSample(
                "rooklug_claims_granted_total", granted, "counter", "Claims granted here."
            ),
        )

    def _on_grants_changed(self, event: GrantsChanged, now: float) -> list[fx.Effect]:
        effects: list[fx.Effect] = []
        for grant in event.grants:
            if grant.role_key.startswith(ROLE_CLAIMS_PREFIX):
                number = int(grant.role_key.removeprefix(ROLE_CLAIMS_PREFIX))
                effects += self._shards[number].handle_grant(grant.token, now)
        return effects


class OutcomeService(BaseComponent):
    """Reports outcomes and claims to other fronts, and stores replicas of their results."""

    name = "claim-outcomes"
    call_types = (ClaimStatusRequest, CopyResultRequest, ReadFrontClaimsRequest)

    def __init__(self, attempts: AttemptTable, owner: ClaimOwner) -> None:
        self._attempts = attempts
        self._owner = owner

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Answer one call of another front; other events are ignored."""
        if not isinstance(event, ev.CallArrived):
            return []
        return [fx.Answer(event.call_id, self._answer(event.request))]

    def _answer(
        self, request: ClaimStatusRequest | CopyResultRequest | ReadFrontClaimsRequest
    ) -> ClaimStatusAnswer | CopyResultAnswer | ReadFrontClaimsAnswer:
        if isinstance(request, ClaimStatusRequest):
            return self._attempts.status(request.claim, request.payload_digest)
        if isinstance(request, CopyResultRequest):
            return self._store_replica(request)
        return self._own_claims(request)

    def _store_replica(self, request: CopyResultRequest) -> CopyResultAnswer:
        outcome = Outcome(
            shard=-1,
            claim=request.claim,
            payload_digest=request.payload_digest,
            state=AttemptState.DONE,
            result=request.result,
        )
        self._attempts.memory.put(outcome)
        return CopyResultAnswer(stored=True)

    def _own_claims(self, request: ReadFrontClaimsRequest) -> ReadFrontClaimsAnswer:
        claims = [encode(claim) for claim in self._attempts.claims_of(request.shard)]
        claims += self._owner.shard(request.shard % CLAIM_SHARDS).table.encoded()
        return ReadFrontClaimsAnswer(
            incarnation=self._attempts.incarnation,
            claims=claims,
            had_claims=self._attempts.had_claims,
        )
