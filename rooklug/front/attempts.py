"""One try of a request at one replica, and what the executor reports of it."""

import attrs

from rooklug.front.outcomes import AttemptOutcome
from rooklug.front.routing_view import ServingReplica
from rooklug.front.streams import StreamChecker
from rooklug.front.verdicts import ServeAt


@attrs.frozen
class AttemptReport:
    """The end of a try. ``first_piece_s``: from the send to the first piece, None without one."""

    serve_at: ServeAt
    outcome: AttemptOutcome
    elapsed_s: float
    prompt_tokens: int
    first_piece_s: float | None


@attrs.define
class Attempt:
    """A try that is under way."""

    call_id: int
    serve_at: ServeAt
    started_at: float
    checker: StreamChecker
    last_progress_at: float
    first_piece_limit_s: float
    first_piece_at: float | None = None
    status: int = 0
    refusal_body: bytes = b""

    @property
    def replica(self) -> ServingReplica:
        """The replica it runs at."""
        return self.serve_at.replica
