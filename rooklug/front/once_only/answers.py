"""Builds the HTTP answers to callers of once-only requests."""

import json
from collections.abc import Mapping
from typing import Any

from rooklug.engine import effects as fx
from rooklug.front.answers import front_document, json_answer, not_run_answer, unknown_answer
from rooklug.front.once_only.limits import RETRY_AFTER_S
from rooklug.front.once_only.requests import ATTEMPT_HEADER, FIRST_ATTEMPT, OnceHead
from rooklug.front.requests import REQUEST_ID_HEADER, RequestProblem
from rooklug.front.routing_view import FrontNode
from rooklug.front.verdicts import Refuse

ONCE_PATH = "/v1/once"
OUTCOME_OF_STATUS = {
    200: "done",
    307: "redirected",
    409: "key_reused",
    503: "not_run",
    504: "unknown",
}
"""Values of the ``outcome`` label of the answers' metric, by HTTP status."""


def done_answer(http_id: int, head: OnceHead, result: bytes, *, repeated: bool) -> fx.HttpRespond:
    """Answer with the back end's result; ``repeated``: it is that of an earlier attempt."""
    document = {
        "outcome": "done",
        "request_id": head.request_id,
        "key": head.key,
        "result": json.loads(result),
        "repeated": repeated,
    }
    return json_answer(http_id, 200, document, {REQUEST_ID_HEADER: head.request_id})


def problem_answer(http_id: int, problem: RequestProblem) -> fx.HttpRespond:
    """Reject an invalid request; the answer has no ``outcome``, as it says nothing of the key."""
    error = {"code": problem.code, "message": problem.message}
    return json_answer(http_id, problem.status, {"error": error})


def not_ready_answer(http_id: int, headers: Mapping[str, str]) -> fx.HttpRespond:
    """Refuse a request at a front that has no configuration yet.

    The front knows nothing of the key, so the outcome is "not run" only for a first attempt.
    """
    request_id = headers.get(REQUEST_ID_HEADER, "")
    build = not_run_answer if headers.get(ATTEMPT_HEADER) == FIRST_ATTEMPT else unknown_answer
    message = "this front has no configuration yet"
    return build(http_id, request_id, "no_configuration", message, RETRY_AFTER_S)


def failure_answer(
    http_id: int, head: OnceHead, refusal: Refuse, *, not_run: bool
) -> fx.HttpRespond:
    """Return the final answer for a request without a result; the caller may retry its key."""
    build = not_run_answer if not_run else unknown_answer
    answer = build(http_id, head.request_id, refusal.code, refusal.message, refusal.retry_after_s)
    document: dict[str, Any] = {**json.loads(answer.body), "key": head.key}
    return json_answer(http_id, answer.status, document, answer.headers)


def key_reused_answer(http_id: int, head: OnceHead) -> fx.HttpRespond:
    """Reject a key that was used with another payload before (409)."""
    error = {"code": "key_reused", "message": "this key was sent before with another payload"}
    document = {"error": error, "key": head.key, "request_id": head.request_id}
    return json_answer(http_id, 409, document, {REQUEST_ID_HEADER: head.request_id})


def redirect_answer(http_id: int, head: OnceHead, front: FrontNode) -> fx.HttpRespond:
    """Redirect the caller to a front inside the route's home regions (307)."""
    error = {"code": "go_elsewhere", "message": "send it to the front named here"}
    document = {"error": error, "front": front_document(front), "key": head.key}
    headers = {
        "Location": f"http://{front.address}{ONCE_PATH}",
        REQUEST_ID_HEADER: head.request_id,
    }
    return json_answer(http_id, 307, document, headers)
