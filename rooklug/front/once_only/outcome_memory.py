"""Bounded store of the outcomes of finished attempts, with replicas for other fronts."""

from collections import OrderedDict

import attrs

from rooklug.front.once_only.attempt import AttemptState, ClaimStatus
from rooklug.front.once_only.claims import attempt_identity
from rooklug.front.once_only.limits import (
    MAX_OUTCOMES,
    MAX_RESULT_BYTES,
    MAX_STORED_RESULT_BYTES,
)
from rooklug.wire.generated.claims.ttypes import ClaimRecord, ClaimStatusAnswer


@attrs.define
class Outcome:
    """A finished attempt.

    ``result`` is JSON, b"" if there is none or it is no longer kept. ``shard`` is -1 for a
    replica of another front's outcome.
    """

    shard: int
    claim: ClaimRecord
    payload_digest: bytes
    state: AttemptState
    result: bytes = b""


class OutcomeMemory:
    """Outcomes by attempt, oldest first; results are evicted before the outcomes themselves.

    The number of outcomes and the total size of the results are limited.
    """

    def __init__(self) -> None:
        self._outcomes: OrderedDict[tuple, Outcome] = OrderedDict()
        self._with_result: OrderedDict[tuple, Outcome] = OrderedDict()
        self._result_bytes = 0

    def __len__(self) -> int:
        """Return the number of stored outcomes."""
        return len(self._outcomes)

    def put(self, outcome: Outcome) -> None:
        """Store an outcome, without a result that is too large; a known attempt is ignored."""
        identity = attempt_identity(outcome.claim)
        if identity in self._outcomes:
            return
        if len(outcome.result) > MAX_RESULT_BYTES:
            outcome.result = b""
        self._outcomes[identity] = outcome
        if outcome.result:
            self._with_result[identity] = outcome
            self._result_bytes += len(outcome.result)
        self._shrink()

    def status(self, claim: ClaimRecord, payload_digest: bytes) -> ClaimStatusAnswer:
        """Return the state and result of an attempt; UNKNOWN if it is not stored."""
        outcome = self._outcomes.get(attempt_identity(claim))
        if outcome is None:
            return ClaimStatusAnswer(state=AttemptState.UNKNOWN.value, result=b"")
        wrote = outcome.state is not AttemptState.RELEASED
        if wrote and outcome.payload_digest != payload_digest:
            return ClaimStatusAnswer(state=ClaimStatus.MISMATCH, result=b"")
        return ClaimStatusAnswer(state=outcome.state.value, result=outcome.result)

    def claims_of(self, shard: int) -> list[ClaimRecord]:
        """Return the claims of a shard whose attempts have written or may have written."""
        return [
            outcome.claim
            for outcome in self._outcomes.values()
            if outcome.shard == shard and outcome.state is not AttemptState.RELEASED
        ]

    def _shrink(self) -> None:
        while self._result_bytes > MAX_STORED_RESULT_BYTES:
            self._drop_result(next(iter(self._with_result)))
        while len(self._outcomes) > MAX_OUTCOMES:
            identity, _ = self._outcomes.popitem(last=False)
            self._drop_result(identity)

    def _drop_result(self, identity: tuple) -> None:
        outcome = self._with_result.pop(identity, None)
        if outcome is not None:
            self._result_bytes -= len(outcome.result)
            outcome.result = b""
