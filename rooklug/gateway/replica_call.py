"""What goes to a replica for a request, and which of its answers belong to it."""

from rooklug.engine import effects as fx
from rooklug.gateway.dialect import HeaderNames
from rooklug.gateway.passage import Passage
from rooklug.gateway.requests import end_to_end

CONNECT_DEADLINE_S = 0.6
DEADLINE_SLACK_S = 0.03
"""Our own timer is a little later than the replica's, whose answer says more."""
LOWEST_PRIORITY = 9
REPLACED_STATUS = 421
"""The replica at this address is another one than the request names."""
NOT_EXECUTED_STATUSES = frozenset({400, 421, 429, 503})


def replica_call(passage: Passage, names: HeaderNames, now: float) -> fx.HttpCall:
    """Return the call that carries a request to the replica chosen for it."""
    request, replica = passage.request, passage.replica
    left_s = passage.left_s(now)
    headers = end_to_end(request.headers)
    headers["host"] = request.host
    headers[names.deadline_ms] = str(int(left_s * 1000))
    headers[names.expected_replica] = replica.replica_id
    headers[names.priority] = str(min(passage.route.priority, LOWEST_PRIORITY))
    if passage.last_event_id:
        headers[names.resume_after] = passage.last_event_id
    return fx.HttpCall(
        call_id=passage.call_id,
        address=replica.address,
        method=request.method,
        path=request.target,
        body=request.body,
        deadline_s=left_s + DEADLINE_SLACK_S,
        headers=headers,
        streaming=passage.is_stream,
        connect_deadline_s=min(CONNECT_DEADLINE_S, left_s),
    )


def is_not_executed(status: int, headers: dict[str, str], names: HeaderNames) -> bool:
    """Tell whether a replica says that it did not run the request."""
    if status == REPLACED_STATUS:
        return True
    return status in NOT_EXECUTED_STATUSES and names.not_executed in headers


def is_answer_to(passage: Passage, headers: dict[str, str], names: HeaderNames) -> bool:
    """Tell whether an answer belongs to the request: its id tells answers apart."""
    return headers.get(names.request_id) == passage.request.request_id
