"""The owner of one claim shard: decides which attempt may write a key.

With a new fencing token it first reads a quorum of claim stores, which also fences off its
predecessor. It grants a claim once a quorum of stores has recorded it.
"""

from enum import Enum

import attrs

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.front.once_only.claims import role_key_of, same_attempt
from rooklug.front.once_only.front_claim_recovery import FrontClaimCollector
from rooklug.front.once_only.limits import (
    DAMAGED_STORE_CHECK_S,
    STORE_CHECK_S,
    STORE_RETRY_S,
)
from rooklug.front.once_only.pending_calls import PendingCalls
from rooklug.front.once_only.shard_stores import ShardStores
from rooklug.front.once_only.shard_table import ShardTable
from rooklug.wire.generated.claims.ttypes import (
    ClaimAnswer,
    ClaimRecord,
    ClaimRequest,
    RecordClaimsAnswer,
)
from rooklug.wire.generated.control.ttypes import VersionMark

FREE_TABLE_AFTER_S = 60.0


class Phase(Enum):
    """Phase of an owner under its present token. Claims are decided only in READY."""

    IDLE = "never granted"
    QUERYING_STORES = "querying the stores"
    RECOVERING = "asking the fronts, as two or more stores have lost their claims"
    RESTORING = "restoring the stores"
    READY = "deciding"
    FENCED = "a successor has begun"


class ClaimOutcome:
    """Outcomes of a ``ClaimAnswer``; the values go over the wire.

    ``CLAIMED_BY_OTHER`` answers carry the other attempt's claim. ``NOT_RECORDED``: too few stores
    have recorded the claim; the request may be repeated.
    """

    RUN = "run"
    CLAIMED_BY_OTHER = "held"
    NOT_OWNER = "not_owner"
    NOT_READY = "not_ready"
    NOT_RECORDED = "not_recorded"


@attrs.define
class _Recording:
    """A claim that is being recorded by the stores, and the calls that wait for the outcome."""

    claim: ClaimRecord
    waiting: list[int]
    open_calls: int = 0
    recorded: int = 0


class ShardOwner:
    """Owner state of one shard; decides only while ``core_link`` holds a valid grant of the role.

    ``handle_grant`` starts it; from then on ``tick`` is called by a timer while the grant is valid,
    and ``free_table`` once it has been invalid for ``FREE_TABLE_AFTER_S``.
    """

    def __init__(
        self, shard: int, core_link: CoreLink, calls: PendingCalls, store_addresses: tuple[str, ...]
    ) -> None:
        self.shard = shard
        self.phase = Phase.IDLE
        self.table = ShardTable()
        self.granted_claims = 0
        self._role_key = role_key_of(shard)
        self._core_link = core_link
        self._stores = ShardStores(
            shard, store_addresses, calls, self._on_store_answered, self._on_fenced
        )
        self._front_claims = FrontClaimCollector(shard, core_link, calls)
        self._token: VersionMark | None = None
        self._sequence = 0
        self._recordings: dict[bytes, _Recording] = {}
        self._ticking = False

    # Grants and timers -------------------------------------------------------------------

    def handle_grant(self, token: VersionMark, now: float) -> list[fx.Effect]:
        """Start over under a new token, or continue under the same one; starts the tick timer."""
        effects: list[fx.Effect] = []
        if token != self._token:
            effects += self._begin_term(token)
        if self._ticking:
            return effects
        self._ticking = True
        return effects + self.tick(now)

    def tick(self, now: float) -> list[fx.Effect]:
        """Do the work of the present phase and restart the timer.

        Without a valid grant, a timer to free the table is started instead.
        """
        if not self._may_decide(now):
            self._ticking = False
            return [fx.StartTimer(self._timer("forget"), FREE_TABLE_AFTER_S)]
        effects = self._run_phase(now)
        return [*effects, fx.StartTimer(self._timer("tick"), self._tick_delay_s())]

    def free_table(self, now: float) -> list[fx.Effect]:
        """Free the table, unless the role has been granted again."""
        if not self._may_decide(now):
            self.table = ShardTable()
            self.phase = Phase.IDLE
            self._token = None
        return []

    def _run_phase(self, now: float) -> list[fx.Effect]:
        until = self._grant_until(now)
        if self.phase is Phase.QUERYING_STORES:
            return self._stores.read_unanswered(until)
        if self.phase is Phase.RECOVERING:
            return [*self._front_claims.request_claims(until), *self._recover(now)]
        if self.phase is Phase.RESTORING:
            return self._stores.restore_damaged(self.table.encoded, until)
        if self.phase is Phase.READY:
            return self._stores.check(self.table.encoded, self._grant_until, now)
        return []

    def _begin_term(self, token: VersionMark) -> list[fx.Effect]:
        effects = self._answer_all_waiting(ClaimOutcome.NOT_READY)
        self._token = token
        self._sequence = 0
        self._stores.begin_token(token)
        self._front_claims.reset()
        self.phase = Phase.QUERYING_STORES
        self._ticking = False
        return effects

    def _may_decide(self, now: float) -> bool:
        grant = self._core_link.grant(self._role_key, now)
        return grant is not None and grant.token == self._token

    def _grant_until(self, now: float) -> float:
        return self._core_link.grant_until(self._role_key, now)

    def _tick_delay_s(self) -> float:
        if self.phase not in (Phase.READY, Phase.FENCED):
            return STORE_RETRY_S
        all_intact = all(view.intact for view in self._stores.views)
        return STORE_CHECK_S if all_intact else DAMAGED_STORE_CHECK_S

    def _timer(self, kind: str) -> str:
        return f"{kind}:{self.shard}"

    # Stores ------------------------------------------------------------------------------

    def _on_store_answered(self, now: float) -> list[fx.Effect]:
        if self.phase is Phase.RESTORING and self._stores.has_quorum:
            self.phase = Phase.READY
        if self.phase is not Phase.QUERYING_STORES:
            return []
        views = self._stores.views
        if self._stores.has_quorum:
            self.table.merge(views.claims())
            self.phase = Phase.READY
            return []
        if not views.all_answered:
            return []
        self.phase = Phase.RECOVERING
        self._front_claims.begin(now, no_store_intact=views.intact_count == 0)
        return [self._recovery_log(), *self._front_claims.request_claims(self._grant_until(now))]

    def _recovery_log(self) -> fx.Log:
        intact = self._stores.views.intact_count
        if intact == 0:
            message = "no store is intact (a first start, or all disks lost); asking the fronts"
            return fx.Log("warning", message, {"shard": self.shard})
        message = "two or more stores have lost their claims; asking the fronts"
        return fx.Log("error", message, {"shard": self.shard, "intact": intact})

    def _recover(self, now: float) -> list[fx.Effect]:
        if not self._front_claims.is_complete(now):
            return []
        self.table.merge([*self._stores.views.claims(), *self._front_claims.claims()])
        self.phase = Phase.RESTORING
        return self._stores.restore_damaged(self.table.encoded, self._grant_until(now))

    def _on_fenced(self) -> list[fx.Effect]:
        self.phase = Phase.FENCED
        return self._answer_all_waiting(ClaimOutcome.NOT_OWNER)

    def _answer_all_waiting(self, outcome: str) -> list[fx.Effect]:
        waiting = [call for recording in self._recordings.values() for call in recording.waiting]
        self._recordings.clear()
        return [fx.Answer(call, ClaimAnswer(outcome)) for call in waiting]

    # Claims ------------------------------------------------------------------------------

    def claim(self, call_id: int, request: ClaimRequest, now: float) -> list[fx.Effect]:
        """Decide one claim request: answer now, or record the claim and answer later."""
        if not self._may_decide(now) or self.phase is Phase.FENCED:
            return [fx.Answer(call_id, ClaimAnswer(ClaimOutcome.NOT_OWNER))]
        if self.phase is not Phase.READY:
            return [fx.Answer(call_id, ClaimAnswer(ClaimOutcome.NOT_READY))]
        recorded = self.table.find(request.claim.key_digest)
        if recorded is None or _is_released(recorded.claim, request):
            return self._record(call_id, request.claim, now)
        if not same_attempt(recorded.claim, request.claim):
            return [fx.Answer(call_id, ClaimAnswer(ClaimOutcome.CLAIMED_BY_OTHER, recorded.claim))]
        if recorded.confirmed:
            return [fx.Answer(call_id, ClaimAnswer(ClaimOutcome.RUN, recorded.claim))]
        recording = self._recordings.get(request.claim.key_digest)
        if recording is not None:
            recording.waiting.append(call_id)
            return []
        return self._record(call_id, request.claim, now)

    def _record(self, call_id: int, requested: ClaimRecord, now: float) -> list[fx.Effect]:
        token = self._token
        assert token is not None
        self._sequence += 1
        claim = ClaimRecord(
            key_digest=requested.key_digest,
            epoch=token.epoch,
            counter=token.counter,
            sequence=self._sequence,
            asker_id=requested.asker_id,
            asker_incarnation=requested.asker_incarnation,
            attempt=requested.attempt,
            copy_id=requested.copy_id,
        )
        self.table.put(claim)
        recording = _Recording(claim, [call_id])
        self._recordings[claim.key_digest] = recording
        calls = self._stores.record(
            claim,
            self._grant_until(now),
            lambda answer, at: self._recorded(recording, answer, at),
        )
        recording.open_calls = len(calls)
        return calls

    def _recorded(
        self, recording: _Recording, answer: RecordClaimsAnswer | None, now: float
    ) -> list[fx.Effect]:
        digest = recording.claim.key_digest
        if self._recordings.get(digest) is not recording:
            return []
        recording.open_calls -= 1
        recording.recorded += bool(answer is not None and answer.recorded)
        if recording.recorded >= self._stores.views.quorum:
            del self._recordings[digest]
            return self._grant(recording, now)
        if recording.open_calls == 0:
            del self._recordings[digest]
            not_recorded = ClaimAnswer(ClaimOutcome.NOT_RECORDED)
            return [fx.Answer(call, not_recorded) for call in recording.waiting]
        return []

    def _grant(self, recording: _Recording, now: float) -> list[fx.Effect]:
        recorded = self.table.find(recording.claim.key_digest)
        if recorded is not None and recorded.claim is recording.claim:
            recorded.confirmed = True
        if not self._may_decide(now):
            answer = ClaimAnswer(ClaimOutcome.NOT_OWNER)
        else:
            self.granted_claims += 1
            answer = ClaimAnswer(ClaimOutcome.RUN, recording.claim)
        return [fx.Answer(call, answer) for call in recording.waiting]


def _is_released(claim: ClaimRecord, request: ClaimRequest) -> bool:
    return request.released is not None and same_attempt(claim, request.released)
