"""State of one attempt: one submission of a once-only request that this front serves."""

from enum import Enum

import attrs

from rooklug.front.once_only.limits import CLAIM_WAIT_S, WRITE_RESERVE_S
from rooklug.front.once_only.requests import OnceHead, Payload
from rooklug.wire.generated.claims.ttypes import ClaimRecord


class AttemptState(Enum):
    """Stage of an attempt. The last three are final; the values go over the wire."""

    REQUESTING_CLAIM = "asking the shard's owner"
    WAITING = "waiting for another attempt's outcome"
    WRITING = "written, or about to be"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimStatus:
    """States of a ``ClaimStatusAnswer`` in addition to the final ones of ``AttemptState``."""

    RUNNING = "running"
    MISMATCH = "mismatch"


@attrs.define
class Attempt:
    """One attempt. It may write to a back end only in state WRITING, and only once.

    Attributes:
        number: Number of the attempt, unique in this incarnation of the front.
        claim: The claim that is requested and, once it is granted, the granted one.
        queue_wait_s: How long the operators let a request wait in a queue.
        competing_claim: Another attempt's claim of the key, while this one waits for its outcome.
        released: An earlier claim of the key whose attempt certainly has not written.
        key_was_absent: During this attempt the owner, which knows all claims, has said that the
            key had never been written, or its only other attempt was found to be released.
        status_failures: Consecutive failed requests for the competing attempt's outcome.
        answered: The caller has its answer or has disconnected.
        tried_replicas: Ids of the back end's replicas that this attempt was sent to.
        replica_id: The last one of them.
    """

    number: int
    http_id: int
    head: OnceHead
    payload: Payload
    shard: int
    claim: ClaimRecord
    queue_wait_s: float
    state: AttemptState = AttemptState.REQUESTING_CLAIM
    competing_claim: ClaimRecord | None = None
    released: ClaimRecord | None = None
    key_was_absent: bool = False
    status_failures: int = 0
    answered: bool = False
    tried_replicas: frozenset[str] = frozenset()
    replica_id: str = ""

    @property
    def certainly_not_run(self) -> bool:
        """Whether "not run" is true for the key, provided that this attempt writes nothing."""
        return self.key_was_absent or self.head.is_first_attempt

    @property
    def claim_deadline(self) -> float:
        """Monotonic time until which the claim is requested.

        If the answer would be "not run", the caller can simply retry, so the wait is that of a
        queue. Otherwise it would be "unknown", which a caller may be unable to resolve, so the
        claim is requested for ``CLAIM_WAIT_S``, as long as there would still be time to write.
        """
        wait_s = self.queue_wait_s if self.certainly_not_run else CLAIM_WAIT_S
        return min(self.head.started + wait_s, self.head.deadline - WRITE_RESERVE_S)
