"""What a front does for other fronts: owns shards, and tells what became of attempts."""

from collections.abc import Iterable

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.front.once_only.attempt import AttemptState
from rooklug.front.once_only.attempt_book import AttemptBook
from rooklug.front.once_only.call_book import CallBook
from rooklug.front.once_only.outcome_memory import Outcome
from rooklug.front.once_only.shard_owner import Phase, ShardOwner
from rooklug.model.internal_events import GrantsChanged
from rooklug.model.topics import CLAIM_SHARDS, ROLE_CLAIMS_PREFIX
from rooklug.wire.codec import encode
from rooklug.wire.generated.claims.ttypes import (
    ClaimRequest,
    ClaimStatusRequest,
    CopyResultAnswer,
    CopyResultRequest,
    ReadFrontClaimsAnswer,
    ReadFrontClaimsRequest,
)


class ClaimOwner(BaseComponent):
    """Owns the claim shards that this front is granted."""

    name = "claim-owner"
    call_types = (ClaimRequest,)
    subscribes_to = (GrantsChanged,)

    def __init__(self, context: ProcessContext, core_link, stores: tuple[str, ...]) -> None:
        self._calls = CallBook(context.identifiers)
        self._shards = [
            ShardOwner(shard, core_link, self._calls, stores) for shard in range(CLAIM_SHARDS)
        ]

    def shard(self, number: int) -> ShardOwner:
        """Return one shard's state."""
        return self._shards[number]

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, GrantsChanged):
            return self._grants_changed(event, now)
        if isinstance(event, ev.CallArrived):
            shard = self._shards[event.request.shard % CLAIM_SHARDS]
            return shard.claim(event.call_id, event.request, now)
        if isinstance(event, ev.TimerFired):
            kind, _, number = event.name.partition(":")
            shard = self._shards[int(number)]
            return shard.tick(now) if kind == "tick" else shard.forget(now)
        if isinstance(event, ev.CallAnswered | ev.CallFailed):
            return self._calls.end(event, now)
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the figures of the shards that are decided here."""
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

    def _grants_changed(self, event: GrantsChanged, now: float) -> list[fx.Effect]:
        effects: list[fx.Effect] = []
        for grant in event.grants:
            if grant.role_key.startswith(ROLE_CLAIMS_PREFIX):
                number = int(grant.role_key.removeprefix(ROLE_CLAIMS_PREFIX))
                effects += self._shards[number].take_grant(grant.token, now)
        return effects


class OutcomeService(BaseComponent):
    """Tells other fronts what became of attempts, and keeps copies of their results."""

    name = "claim-outcomes"
    call_types = (ClaimStatusRequest, CopyResultRequest, ReadFrontClaimsRequest)

    def __init__(self, book: AttemptBook, owner: ClaimOwner) -> None:
        self._book = book
        self._owner = owner

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Answer one call."""
        if not isinstance(event, ev.CallArrived):
            return []
        request = event.request
        if isinstance(request, ClaimStatusRequest):
            answer = self._book.status(request.claim, request.payload_digest)
        elif isinstance(request, CopyResultRequest):
            answer = self._keep_copy(request)
        else:
            answer = self._own_claims(request)
        return [fx.Answer(event.call_id, answer)]

    def _keep_copy(self, request: CopyResultRequest) -> CopyResultAnswer:
        outcome = Outcome(
            shard=-1,
            claim=request.claim,
            payload_digest=request.payload_digest,
            state=AttemptState.DONE,
            result=request.result,
        )
        self._book.memory.put(outcome)
        return CopyResultAnswer(stored=True)

    def _own_claims(self, request: ReadFrontClaimsRequest) -> ReadFrontClaimsAnswer:
        claims = [encode(claim) for claim in self._book.claims_of(request.shard)]
        claims += self._owner.shard(request.shard % CLAIM_SHARDS).table.encoded()
        return ReadFrontClaimsAnswer(
            incarnation=self._book.incarnation,
            claims=claims,
            had_claims=self._book.had_claims,
        )
