"""State of one client request while a front forwards it, and whether it may be sent again."""

from enum import Enum

import attrs

from rooklug.gateway.document import Execution, Route, Service
from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.requests import InboundRequest


class ResponseState(Enum):
    """Whether the response to the client has started."""

    WAITING = "no byte of an answer has gone to the client"
    STREAMING = "the head has gone to the client"


@attrs.define(eq=False)
class ProxiedRequest:
    """State of one request. Times are monotonic seconds.

    Attributes:
        request: The client's request.
        route: The route that it matched.
        service: The service chosen by the route's weights.
        arrived_at: When the request arrived.
        deadline: When the client's or the route's time-out ends, whichever is earlier.
        response_state: Whether the response to the client has started.
        replica: The replica that the request was last sent to.
        call_id: The call to that replica.
        executions: Number of sends to replicas that may run the request; limited by the route.
        sends: Number of sends that reached a replica, including those rejected because another
            replica had taken over the address; counted by the retry budget.
        may_have_run: False only while every replica it was sent to has said that it didn't run it.
        tried: Ids of the replicas chosen so far.
        status: HTTP status of the replica's current response.
        headers: Headers of that response.
        incomplete_event: Bytes of a stream after its last complete event.
        error_body: Chunks of an unsuccessful response, which is buffered until it is complete.
        last_event_id: Id of the last event sent to the client; a stream is resumed after it.
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
        """The replica that the request was last sent to.

        Raises:
            ValueError: The request has not been sent to any replica.
        """
        if self.replica is None:
            raise ValueError("the request has not been sent to a replica")
        return self.replica

    @property
    def is_stream(self) -> bool:
        """Whether the response is forwarded chunk by chunk."""
        return self.route.execution is Execution.EVENT_STREAM

    @property
    def is_success(self) -> bool:
        """Whether the replica's current response has a 2xx status."""
        return 200 <= self.status < 300

    def remaining_s(self, now: float) -> float:
        """Return the seconds left until the deadline; negative after it."""
        return self.deadline - now

    def may_send_again(self) -> bool:
        """Return whether the route allows the request to be sent to one more replica."""
        if self.executions >= self.route.max_replicas:
            return False
        return not self.may_have_run or self.route.is_idempotent
