"""Builds the call to a replica and checks whether a response belongs to the request."""

from enum import Enum

from rooklug.engine import effects as fx
from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.protocols import HeaderNames
from rooklug.gateway.proxied_request import ProxiedRequest
from rooklug.gateway.requests import end_to_end

CONNECT_DEADLINE_S = 0.6
DEADLINE_SLACK_S = 0.03
"""The front's timer ends this much later than the replica's, whose response is more specific."""
LOWEST_PRIORITY = 9
BAD_REQUEST_STATUS = 400
REPLACED_STATUS = 421
"""A replica's status for a request that names another replica: the address has been taken over."""
NOT_EXECUTED_STATUSES = frozenset({400, 421, 429, 503})


def replica_call(
    proxied: ProxiedRequest, replica: GatewayReplica, names: HeaderNames, now: float
) -> fx.HttpCall:
    """Return the call that forwards a request to the chosen replica with the remaining time."""
    request = proxied.request
    remaining_s = proxied.remaining_s(now)
    headers = end_to_end(request.headers)
    headers["host"] = request.host
    headers[names.deadline_ms] = str(int(remaining_s * 1000))
    headers[names.expected_replica] = replica.replica_id
    headers[names.priority] = str(min(proxied.route.priority, LOWEST_PRIORITY))
    if proxied.last_event_id:
        headers[names.resume_after] = proxied.last_event_id
    return fx.HttpCall(
        call_id=proxied.call_id,
        address=replica.address,
        method=request.method,
        path=request.target,
        body=request.body,
        deadline_s=remaining_s + DEADLINE_SLACK_S,
        headers=headers,
        streaming=proxied.is_stream,
        connect_deadline_s=min(CONNECT_DEADLINE_S, remaining_s),
        echoed_header=names.request_id,
    )


class Promise(Enum):
    """What a response says of the request in flight."""

    ANSWER = "it is the request's answer"
    NOT_EXECUTED = "the replica did not run the request"
    NONE = "nothing: it has no id, so that it may be any request's"
    FOREIGN = "nothing: it belongs to another request"


def promise_of(
    proxied: ProxiedRequest, status: int, headers: dict[str, str], names: HeaderNames
) -> Promise:
    """Return what a response promises; the id is looked at before the status.

    Only a rejection of a request that the replica could not parse comes without the id. Connections
    are not used again after a response without one, so it can't be late.
    """
    response_id = headers.get(names.request_id)
    is_rejection = names.not_executed in headers and status in NOT_EXECUTED_STATUSES
    if response_id is None:
        is_unparsed = is_rejection and status == BAD_REQUEST_STATUS
        return Promise.NOT_EXECUTED if is_unparsed else Promise.NONE
    if response_id != proxied.request.request_id:
        return Promise.FOREIGN
    if is_rejection or status == REPLACED_STATUS:
        return Promise.NOT_EXECUTED
    return Promise.ANSWER
