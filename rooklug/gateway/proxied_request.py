"""One client request on its way through a front, and what may be done with it next."""

from enum import Enum

import attrs

from rooklug.gateway.document import Execution, Route, Service
from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.requests import InboundRequest


class ResponseState(Enum):
    """How far the answer to the client has got."""

    WAITING = "no byte of an answer has gone to the client"
    STREAMING = "the head has gone to the client"


@attrs.define(eq=False)
class ProxiedRequest:
    """State of one request. Times are monotonic seconds.

    Attributes:
        request: The client's request.
        route: The route that it matched.
        service: The service that it drew among the route's.
        arrived_at: When it came.
        deadline: When the client or the route gives up.
        response_state: How far the answer has got.
        replica: Where it was sent last.
        call_id: The call that carries it there.
        executions: Sends to a replica that may run it; the route limits them.
        sends: Sends that reached any replica, also one that rejected it because its address has
            changed hands; the retry budget counts them.
        may_have_run: False only while each replica it was sent to has said that it didn't run it.
        tried: Ids of the replicas chosen so far.
        status: HTTP status of the answer that comes in.
        headers: Headers of that answer.
        incomplete_event: Bytes of a stream after its last complete event.
        error_body: Chunks of an answer that is no success; it is held until it is complete.
        last_event_id: Id of the last event that the client got, to resume after.
        last_response_at: When the replica last sent anything.
    """

    request: InboundRequest
    route: Route
    service: Service
    arrived_at: float
    deadline: float
    response_state: ResponseState = ResponseState.WAITING
    replica: GatewayReplica | None = None
    call_id: int = 0
    executions: int = 0
    sends: int = 0
    may_have_run: bool = False
    tried: set[str] = attrs.field(factory=set)
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    incomplete_event: bytes = b""
    error_body: list[bytes] = attrs.field(factory=list)
    last_event_id: str = ""
    last_response_at: float = 0.0

    @property
    def sent_to(self) -> GatewayReplica:
        """The replica that it was sent to last.

        Raises:
            ValueError: It has not been sent.
        """
        if self.replica is None:
            raise ValueError("the request has not been sent to a replica")
        return self.replica

    @property
    def is_stream(self) -> bool:
        """Whether the answer is forwarded chunk by chunk."""
        return self.route.execution is Execution.EVENT_STREAM

    @property
    def is_success(self) -> bool:
        """Whether the answer that comes in has a status of success."""
        return 200 <= self.status < 300

    def remaining_s(self, now: float) -> float:
        """Return the time that is left for an answer."""
        return self.deadline - now

    def may_send_again(self) -> bool:
        """Return whether the route lets the request go to one more replica."""
        if self.executions >= self.route.max_replicas:
            return False
        return not self.may_have_run or self.route.is_idempotent
