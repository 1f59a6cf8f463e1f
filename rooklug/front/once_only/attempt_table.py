"""All attempts of this front: the live ones, and the outcomes of finished ones."""

from rooklug.front.once_only.attempt import Attempt, AttemptState, ClaimStatus
from rooklug.front.once_only.outcome_memory import Outcome, OutcomeMemory
from rooklug.wire.generated.claims.ttypes import ClaimRecord, ClaimStatusAnswer


class AttemptTable:
    """Attempts by number and by HTTP request.

    ``memory`` holds the outcomes of finished attempts and replicas of other fronts' results.
    ``had_claims`` is set once this process has been granted a claim.
    """

    def __init__(self, node_id: str, incarnation: str) -> None:
        self.node_id = node_id
        self.incarnation = incarnation
        self.memory = OutcomeMemory()
        self.had_claims = False
        self._live: dict[int, Attempt] = {}
        self._by_http: dict[int, Attempt] = {}
        self._last_number = 0

    def __len__(self) -> int:
        """Return the number of live attempts."""
        return len(self._live)

    @property
    def unanswered(self) -> int:
        """Number of callers that are waiting for an answer."""
        return len(self._by_http)

    def next_number(self) -> int:
        """Return a new attempt number, unique in this incarnation of the front."""
        self._last_number += 1
        return self._last_number

    def add(self, attempt: Attempt) -> None:
        """Add a new live attempt."""
        self._live[attempt.number] = attempt
        self._by_http[attempt.http_id] = attempt

    def live(self, number: int) -> Attempt | None:
        """Return the live attempt of that number, None if it has finished."""
        return self._live.get(number)

    def by_http(self, http_id: int) -> Attempt | None:
        """Return the attempt whose caller is still waiting on ``http_id``, None if none is."""
        return self._by_http.get(http_id)

    def mark_answered(self, attempt: Attempt) -> None:
        """Record that the caller has its answer or has disconnected."""
        attempt.answered = True
        self._by_http.pop(attempt.http_id, None)

    def finish(self, attempt: Attempt, state: AttemptState, result: bytes = b"") -> None:
        """Set the final state and store the outcome; the attempt can't write any more."""
        attempt.state = state
        self._live.pop(attempt.number, None)
        outcome = Outcome(attempt.shard, attempt.claim, attempt.payload.digest, state, result)
        self.memory.put(outcome)

    def status(self, claim: ClaimRecord, payload_digest: bytes) -> ClaimStatusAnswer:
        """Return the state and result of an attempt of this front or of a replicated result.

        ``payload_digest`` is that of the asking request; MISMATCH if the attempt's differs.
        """
        live = self._live.get(claim.attempt) if self.is_own(claim) else None
        if live is None or live.claim.key_digest != claim.key_digest:
            return self.memory.status(claim, payload_digest)
        writing = live.state is AttemptState.WRITING
        differs = writing and live.payload.digest != payload_digest
        state = ClaimStatus.MISMATCH if differs else ClaimStatus.RUNNING
        return ClaimStatusAnswer(state=state, result=b"")

    def is_own(self, claim: ClaimRecord) -> bool:
        """Return whether a claim was requested by this incarnation of this front."""
        return (claim.asker_id, claim.asker_incarnation) == (self.node_id, self.incarnation)

    def claims_of(self, shard: int) -> list[ClaimRecord]:
        """Return every claim of a shard whose attempt here may have written or may yet write."""
        live = [attempt.claim for attempt in self._live.values() if attempt.shard == shard]
        return live + self.memory.claims_of(shard)
