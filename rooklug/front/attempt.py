"""One attempt of a request at one replica, and what the executor reports of it."""

import attrs

from rooklug.front.outcomes import AttemptOutcome
from rooklug.front.routing_view import ServingReplica
from rooklug.front.streams import StreamChecker
from rooklug.front.verdicts import ServeAt


@attrs.frozen
class AttemptReport:
    """The end of an attempt.

    ``first_chunk_s`` is the time from the send to the first chunk, None without one.
    """

    serve_at: ServeAt
    outcome: AttemptOutcome
    elapsed_s: float
    prompt_tokens: int
    first_chunk_s: float | None


@attrs.define
class Attempt:
    """An attempt in flight."""

    call_id: int
    serve_at: ServeAt
    started_at: float
    checker: StreamChecker
    last_progress_at: float
    first_chunk_timeout_s: float
    first_chunk_at: float | None = None
    status: int = 0
    refusal_body: bytes = b""

    @property
    def replica(self) -> ServingReplica:
        """The replica it runs at."""
        return self.serve_at.replica
