"""Builds the request of an attempt to a back end, and checks the back end's response."""

import json

from rooklug.engine import effects as fx
from rooklug.front.once_only.attempt import Attempt
from rooklug.front.once_only.limits import CONNECT_DEADLINE_S, LATE_RESULT_ALLOWANCE_S
from rooklug.front.once_only.requests import KEY_HEADER
from rooklug.front.requests import DEADLINE_HEADER, REQUEST_ID_HEADER
from rooklug.wire.generated.control.ttypes import ListedReplica

BACKEND_PATH = "/api/once"


def backend_call(call_id: int, replica: ListedReplica, attempt: Attempt, now: float) -> fx.HttpCall:
    """Return the call that writes the attempt's payload to a replica of the back end.

    It is not sent after the caller's deadline, but may end later than that, so that a repeat of
    the key can get the result.
    """
    head = attempt.head
    remaining_s = head.deadline - now
    key = json.dumps(head.key).encode()
    return fx.HttpCall(
        call_id=call_id,
        address=replica.address,
        method="POST",
        path=BACKEND_PATH,
        body=b'{"key":' + key + b',"payload":' + attempt.payload.data + b"}",
        deadline_s=remaining_s + LATE_RESULT_ALLOWANCE_S,
        headers={
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: head.request_id,
            KEY_HEADER: head.key,
            DEADLINE_HEADER: str(max(1, int(remaining_s * 1000))),
        },
        connect_deadline_s=min(CONNECT_DEADLINE_S, remaining_s),
        not_after=head.deadline,
        echoed_header=REQUEST_ID_HEADER,
    )


def result_of(attempt: Attempt, status: int, body: bytes) -> bytes | None:
    """Return the result as JSON; None if the response is not a valid one to this request.

    A valid response has status 200 and repeats the request id and the key.
    """
    if status != 200:
        return None
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(document, dict) or "result" not in document:
        return None
    expected = (attempt.head.request_id, attempt.head.key)
    if (document.get("request_id"), document.get("key")) != expected:
        return None
    return json.dumps(document["result"], separators=(",", ":")).encode()
