"""One sending of a once-only request at this front."""

from enum import Enum

import attrs

from rooklug.front.once_only.limits import CLAIM_WAIT_S, WRITE_RESERVE_S
from rooklug.front.once_only.requests import OnceHead, Payload
from rooklug.wire.generated.claims.ttypes import ClaimRecord


class AttemptState(Enum):
    """Where an attempt is. The last three are final; the values go over the wire."""

    REQUESTING_CLAIM = "asking the shard's owner"
    WAITING = "waiting for another attempt's outcome"
    WRITING = "written, or about to be"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimStatus:
    """States of a ``ClaimStatusAnswer`` beside the final ones of ``AttemptState``."""

    RUNNING = "running"
    MISMATCH = "mismatch"


@attrs.define
class Attempt:
    """The state of one attempt. It may write only while WRITING, and only once.

    ``claim`` is what it asks for, then what it was granted. ``key_was_absent``: the owner,
    knowing all claims, has said during this attempt that the key had never been written (or
    was recorded by an attempt that then was found to be released).
    ``answered``: the caller has its answer or has gone.
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
        """Whether "not run" is true of the key, given that this attempt writes nothing."""
        return self.key_was_absent or self.head.is_first_attempt

    @property
    def claim_deadline(self) -> float:
        """Until when it asks for its claim.

        Where "not run" is true, a caller loses nothing by coming back: the wait is that of a
        queue. Else the answer would be "unknown", which a caller may be unable to mend, so
        it goes on asking as long as there would still be time to write.
        """
        wait_s = self.queue_wait_s if self.certainly_not_run else CLAIM_WAIT_S
        return min(self.head.started + wait_s, self.head.deadline - WRITE_RESERVE_S)
