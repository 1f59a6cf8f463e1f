"""One client request on its way through a front, and what may be done with it next."""

from enum import Enum

import attrs

from rooklug.gateway.document import Execution, Route, Service
from rooklug.gateway.requests import PassedRequest
from rooklug.gateway.view import GatewayReplica


class Stage(Enum):
    """How far the answer towards the client has got."""

    WAITING = "no byte of an answer has gone to the client"
    STREAMING = "the head has gone to the client"


@attrs.define(eq=False)
class Passage:
    """State of one request. Times are monotonic.

    ``sends`` counts the times it was sent to a replica that may run it, and ``arrivals`` the
    times it was sent to any, also one that rejects it because its address has changed hands:
    those spend the retry budget, too. ``may_have_run`` is False only while every replica it was
    sent to has said that it did not run it. ``tried`` are replica ids.
    """

    request: PassedRequest
    route: Route
    service: Service
    arrived_at: float
    ends_at: float
    stage: Stage = Stage.WAITING
    replica: GatewayReplica | None = None
    call_id: int = 0
    sends: int = 0
    arrivals: int = 0
    may_have_run: bool = False
    tried: set[str] = attrs.field(factory=set)
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    tail: bytes = b""
    failure_body: list[bytes] = attrs.field(factory=list)
    last_event_id: str = ""
    heard_at: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Whether the answer is passed on piece by piece."""
        return self.route.execution is Execution.EVENT_STREAM

    def left_s(self, now: float) -> float:
        """Return the time that is left for an answer."""
        return self.ends_at - now

    def may_send_again(self) -> bool:
        """Tell whether the route lets the request go to one more replica."""
        if self.sends >= self.route.max_replicas:
            return False
        return not self.may_have_run or self.route.is_repeatable
