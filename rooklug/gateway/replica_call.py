"""Builds the call to a replica and checks whether a response belongs to the request."""

from rooklug.engine import effects as fx
from rooklug.gateway.gateway_replica import GatewayReplica
from rooklug.gateway.protocols import HeaderNames
from rooklug.gateway.proxied_request import ProxiedRequest
from rooklug.gateway.requests import end_to_end

CONNECT_DEADLINE_S = 0.6
DEADLINE_SLACK_S = 0.03
"""The front's timer ends this much later than the replica's, whose response is more specific."""
LOWEST_PRIORITY = 9
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
    )


def is_not_executed(status: int, headers: dict[str, str], names: HeaderNames) -> bool:
    """Return whether the response states that the replica did not run the request."""
    if status == REPLACED_STATUS:
        return True
    return status in NOT_EXECUTED_STATUSES and names.not_executed in headers


def is_answer_to(proxied: ProxiedRequest, headers: dict[str, str], names: HeaderNames) -> bool:
    """Return whether the response carries the request's id; otherwise it is another's response."""
    return headers.get(names.request_id) == proxied.request.request_id
