"""Requests an attempt's claim, or the outcome of the attempt that holds the key's claim."""

from collections.abc import Callable

import attrs

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front.once_only.attempt import Attempt, AttemptState, ClaimStatus
from rooklug.front.once_only.attempt_table import AttemptTable
from rooklug.front.once_only.claims import role_key_of
from rooklug.front.once_only.limits import (
    CLAIM_DEADLINE_S,
    CLAIM_RETRY_S,
    MAX_STATUS_FAILURES,
    STATUS_DEADLINE_S,
    STATUS_POLL_S,
)
from rooklug.front.once_only.outages import Outages
from rooklug.front.once_only.pending_calls import CallEnd, OnEnd, PendingCalls
from rooklug.front.once_only.shard_owner import ClaimOutcome
from rooklug.wire.generated.claims.ttypes import (
    ClaimAnswer,
    ClaimRecord,
    ClaimRequest,
    ClaimStatusAnswer,
    ClaimStatusRequest,
)

NEXT_TIMER = "next:"


@attrs.frozen
class Granted:
    """The claim was granted: this attempt, and no other one of the key, may write."""


@attrs.frozen
class AlreadyDone:
    """An earlier attempt has run; ``result`` is its JSON, b"" if it is no longer stored."""

    result: bytes


@attrs.frozen
class MayHaveRun:
    """An earlier attempt may have run; its outcome can't be determined."""


@attrs.frozen
class PayloadDiffers:
    """The key was used with another payload before."""


@attrs.frozen
class ClaimUnavailable:
    """No shard owner decided in time; this attempt must not write."""


ClaimResolution = Granted | AlreadyDone | MayHaveRun | PayloadDiffers | ClaimUnavailable
OnResolved = Callable[[Attempt, ClaimResolution, float], list[fx.Effect]]


class ClaimRequester:
    """Requests claims and outcomes for attempts until each has a ``ClaimResolution``.

    ``on_resolved`` is called once with the resolution of each attempt.
    """

    def __init__(
        self,
        core_link: CoreLink,
        attempts: AttemptTable,
        calls: PendingCalls,
        on_resolved: OnResolved,
    ) -> None:
        self._core_link = core_link
        self._attempts = attempts
        self._calls = calls
        self._on_resolved = on_resolved
        self._outages = Outages()

    def proceed(self, attempt: Attempt, now: float) -> list[fx.Effect]:
        """Send the next request of an attempt that has no resolution yet; called by its timer."""
        if attempt.state is AttemptState.REQUESTING_CLAIM:
            return self._request_claim(attempt, now)
        if attempt.state is AttemptState.WAITING:
            return self._request_competitor_status(attempt, now)
        return []

    # Claim requests to the shard's owner --------------------------------------------------

    def _request_claim(self, attempt: Attempt, now: float) -> list[fx.Effect]:
        remaining_s = attempt.claim_deadline - now
        if remaining_s <= 0:
            return self._on_resolved(attempt, ClaimUnavailable(), now)
        owner = self._core_link.role_owner(role_key_of(attempt.shard))
        if owner is None:
            return self._retry_or_give_up(attempt, now)
        request = ClaimRequest(shard=attempt.shard, claim=attempt.claim, released=attempt.released)

        def on_end(event: CallEnd, at: float) -> list[fx.Effect]:
            if attempt.state is not AttemptState.REQUESTING_CLAIM:
                return []
            if isinstance(event, ev.CallFailed):
                return self._retry_or_give_up(attempt, at)
            return self._owner_answered(attempt, event.answer, at)

        deadline_s = min(CLAIM_DEADLINE_S, remaining_s)
        return [self._calls.call(owner.internal_address, request, deadline_s, on_end)]

    def _owner_answered(self, attempt: Attempt, answer: ClaimAnswer, now: float) -> list[fx.Effect]:
        if answer.outcome == ClaimOutcome.RUN:
            self._outages.record_grant(attempt.shard)
            attempt.key_was_absent = True
            attempt.claim = answer.claim
            return self._on_resolved(attempt, Granted(), now)
        if answer.outcome == ClaimOutcome.CLAIMED_BY_OTHER:
            attempt.state = AttemptState.WAITING
            attempt.competing_claim = answer.claim
            attempt.status_failures = 0
            return self._request_competitor_status(attempt, now)
        if answer.outcome == ClaimOutcome.NOT_RECORDED:
            attempt.key_was_absent = True
        return self._retry_or_give_up(attempt, now)

    def _retry_or_give_up(self, attempt: Attempt, now: float) -> list[fx.Effect]:
        """Retry after ``CLAIM_RETRY_S``; give up at once in an outage that has lasted."""
        if self._outages.record_failure(attempt.shard, now):
            return self._on_resolved(attempt, ClaimUnavailable(), now)
        return [self._schedule_retry(attempt, CLAIM_RETRY_S)]

    # Status requests: the competing attempt's front, or the one with a replica of its result ---

    def _request_competitor_status(self, attempt: Attempt, now: float) -> list[fx.Effect]:
        competing_claim = attempt.competing_claim
        assert competing_claim is not None
        if self._attempts.is_own(competing_claim):
            answer = self._attempts.status(competing_claim, attempt.payload.digest)
            return self._competitor_answered(attempt, answer, now)
        address = self._address_of(competing_claim.asker_id, competing_claim.asker_incarnation)
        if not address:
            return self._request_replica_status(attempt, now, competitor_is_gone=True)

        def on_end(event: CallEnd, at: float) -> list[fx.Effect]:
            if not _is_waiting_for(attempt, competing_claim):
                return []
            if isinstance(event, ev.CallAnswered):
                return self._competitor_answered(attempt, event.answer, at)
            attempt.status_failures += 1
            return self._request_replica_status(attempt, at, competitor_is_gone=False)

        return [self._status_call(address, attempt, on_end)]

    def _competitor_answered(
        self, attempt: Attempt, answer: ClaimStatusAnswer, now: float
    ) -> list[fx.Effect]:
        attempt.status_failures = 0
        if answer.state == ClaimStatus.RUNNING:
            return [self._schedule_retry(attempt, STATUS_POLL_S)]
        if answer.state == AttemptState.RELEASED.value:
            # The owner knows all claims and named this attempt only, which has not written.
            attempt.key_was_absent = True
            attempt.released = attempt.competing_claim
            attempt.competing_claim = None
            attempt.state = AttemptState.REQUESTING_CLAIM
            return self._request_claim(attempt, now)
        return self._on_resolved(attempt, _resolution_of(answer), now)

    def _request_replica_status(
        self, attempt: Attempt, now: float, *, competitor_is_gone: bool
    ) -> list[fx.Effect]:
        competing_claim = attempt.competing_claim
        assert competing_claim is not None
        if competing_claim.copy_id == self._attempts.node_id:
            answer = self._attempts.status(competing_claim, attempt.payload.digest)
            return self._replica_answered(
                attempt, answer, now, competitor_is_gone=competitor_is_gone
            )
        address = self._address_of(competing_claim.copy_id, "")
        if not address:
            return self._replica_answered(attempt, None, now, competitor_is_gone=competitor_is_gone)

        def on_end(event: CallEnd, at: float) -> list[fx.Effect]:
            if not _is_waiting_for(attempt, competing_claim):
                return []
            answer = event.answer if isinstance(event, ev.CallAnswered) else None
            return self._replica_answered(
                attempt, answer, at, competitor_is_gone=competitor_is_gone
            )

        return [self._status_call(address, attempt, on_end)]

    def _replica_answered(
        self,
        attempt: Attempt,
        answer: ClaimStatusAnswer | None,
        now: float,
        *,
        competitor_is_gone: bool,
    ) -> list[fx.Effect]:
        if answer is not None and answer.state != AttemptState.UNKNOWN.value:
            return self._on_resolved(attempt, _resolution_of(answer), now)
        if competitor_is_gone or attempt.status_failures >= MAX_STATUS_FAILURES:
            return self._on_resolved(attempt, MayHaveRun(), now)
        return [self._schedule_retry(attempt, STATUS_POLL_S)]

    def _status_call(self, address: str, attempt: Attempt, on_end: OnEnd) -> fx.Call:
        request = ClaimStatusRequest(
            claim=attempt.competing_claim, payload_digest=attempt.payload.digest
        )
        return self._calls.call(address, request, STATUS_DEADLINE_S, on_end)

    def _address_of(self, node_id: str, incarnation: str) -> str:
        """Return a live front's address, "" if unknown; ``incarnation`` "" matches any."""
        for node in self._core_link.members():
            if node.node_id == node_id and incarnation in ("", node.incarnation):
                return node.internal_address
        return ""

    @staticmethod
    def _schedule_retry(attempt: Attempt, delay_s: float) -> fx.StartTimer:
        return fx.StartTimer(f"{NEXT_TIMER}{attempt.number}", delay_s)


def _is_waiting_for(attempt: Attempt, competing_claim: ClaimRecord) -> bool:
    return attempt.state is AttemptState.WAITING and attempt.competing_claim is competing_claim


def _resolution_of(answer: ClaimStatusAnswer) -> ClaimResolution:
    if answer.state == AttemptState.DONE.value:
        return AlreadyDone(answer.result)
    if answer.state == ClaimStatus.MISMATCH:
        return PayloadDiffers()
    return MayHaveRun()
