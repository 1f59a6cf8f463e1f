"""The state of one request at this front, from its head to its last byte."""

from enum import Enum

import attrs

from rooklug.front.attempt import Attempt
from rooklug.front.requests import GenerateBody, RequestHead
from rooklug.front.verdicts import PlacementRequest


class RequestState(Enum):
    """How far a request has got."""

    RECEIVING_BODY = "receiving the body"
    QUEUED = "queued"
    RUNNING = "running"


@attrs.define
class ActiveRequest:
    """A request that has not got its final answer yet."""

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
            ValueError: There is none.
        """
        if self.attempt is None:
            raise ValueError("no attempt of the request is in flight")
        return self.attempt

    @property
    def generate_body(self) -> GenerateBody:
        """The parsed body.

        Raises:
            ValueError: The body has not come yet.
        """
        if self.body is None:
            raise ValueError("the request's body has not come yet")
        return self.body

    def placement_request(self) -> PlacementRequest:
        """Return what the decision object needs; only the first one earns a slow-start share."""
        is_first_decision = not self.was_decided
        self.was_decided = True
        return PlacementRequest(self.head, self.generate_body, self.tried, is_first_decision)
