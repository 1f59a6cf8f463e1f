"""State of one model request at this front, from its headers to the end of its answer."""

from enum import Enum

import attrs

from rooklug.front.attempt import Attempt
from rooklug.front.requests import GenerateBody, RequestHead
from rooklug.front.verdicts import PlacementRequest


class RequestState(Enum):
    """Stage of a request that has no final answer yet."""

    RECEIVING_BODY = "receiving the body"
    QUEUED = "queued"
    RUNNING = "running"


@attrs.define
class ActiveRequest:
    """A request without a final answer, changed by the executor and its attempt runner.

    Attributes:
        http_id: Id of the caller's HTTP request, to which answers are addressed.
        tried: Ids of the replicas at which an attempt has failed.
        was_decided: Whether a placement has been requested before.
        may_have_run: Whether any failed attempt may have run at its replica.
        answer_started: Whether a streamed answer has begun; after that there are no retries.
        attempt: The attempt in flight, if any.
        chunks: Texts received so far, for an answer that is sent as one document.
        chunk_count: Chunks received in the current attempt.
        answer_bytes: Size of the received chunks of an answer that is sent as one document.
    """

    http_id: int
    head: RequestHead
    state: RequestState = RequestState.RECEIVING_BODY
    body: GenerateBody | None = None
    tried: frozenset[str] = frozenset()
    was_decided: bool = False
    may_have_run: bool = False
    answer_started: bool = False
    attempt: Attempt | None = None
    chunks: list[str] = attrs.field(factory=list)
    chunk_count: int = 0
    answer_bytes: int = 0

    @property
    def running_attempt(self) -> Attempt:
        """The attempt in flight.

        Raises:
            ValueError: No attempt is in flight.
        """
        if self.attempt is None:
            raise ValueError("no attempt of the request is in flight")
        return self.attempt

    @property
    def generate_body(self) -> GenerateBody:
        """The parsed body.

        Raises:
            ValueError: The body has not been received yet.
        """
        if self.body is None:
            raise ValueError("the request's body has not been received yet")
        return self.body

    def placement_request(self) -> PlacementRequest:
        """Return the input for ``Decision.choose``; marks the request as decided once.

        Only the first decision of a request earns a share for replicas in slow start.
        """
        is_first_decision = not self.was_decided
        self.was_decided = True
        return PlacementRequest(self.head, self.generate_body, self.tried, is_first_decision)
