"""One attempt of a request at one replica, and the report that its end leaves."""

import attrs

from rooklug.front.outcomes import AttemptOutcome
from rooklug.front.routing_view import ServingReplica
from rooklug.front.streams import StreamChecker
from rooklug.front.verdicts import ServeAt


@attrs.frozen
class AttemptReport:
    """How an attempt ended, for the balancer and the demand counts.

    ``elapsed_s`` counts from the send to the end, ``first_chunk_s`` from the send to the first
    chunk (None if there was none).
    """

    serve_at: ServeAt
    outcome: AttemptOutcome
    elapsed_s: float
    prompt_tokens: int
    first_chunk_s: float | None


@attrs.define
class Attempt:
    """An attempt in flight. Times are monotonic times of this process.

    Attributes:
        last_progress_at: When the call was sent or, later, when the last chunk arrived.
        status: HTTP status of the replica, 0 until its response starts.
        is_identified: The head of the response repeats the request's id.
        refusal_body: Body received so far of a response other than 200.
    """

    call_id: int
    serve_at: ServeAt
    started_at: float
    checker: StreamChecker
    last_progress_at: float
    first_chunk_timeout_s: float
    first_chunk_at: float | None = None
    status: int = 0
    is_identified: bool = False
    refusal_body: bytes = b""

    @property
    def replica(self) -> ServingReplica:
        """The replica that the attempt was sent to."""
        return self.serve_at.replica
