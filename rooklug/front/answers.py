"""Builds the HTTP answers of the request path as effects."""

import json
from typing import Any

from rooklug.engine import effects as fx
from rooklug.front.requests import REQUEST_ID_HEADER, RequestProblem
from rooklug.front.routing_view import FrontNode

GENERATE_PATH = "/v1/generate"
JSON_TYPE = {"Content-Type": "application/json"}
NDJSON_TYPE = {"Content-Type": "application/x-ndjson"}


def front_document(front: FrontNode) -> dict[str, str]:
    """Return the JSON description of a front in answers to callers."""
    return {"node_id": front.node_id, "address": front.address, "region": front.region}


def json_answer(
    http_id: int, status: int, document: dict[str, Any], headers: dict[str, str] | None = None
) -> fx.HttpRespond:
    """Return a complete answer with a JSON body; ``headers`` may override the content type."""
    body = json.dumps(document).encode()
    return fx.HttpRespond(http_id, status, body, {**JSON_TYPE, **(headers or {})})


def problem_answer(http_id: int, problem: RequestProblem) -> fx.HttpRespond:
    """Reject an invalid request with the status and code of ``problem``; it was not run."""
    error = {"code": problem.code, "message": problem.message}
    return json_answer(http_id, problem.status, {"error": error, "outcome": "not_run"})


def not_run_answer(
    http_id: int, request_id: str, code: str, message: str, retry_after_s: int
) -> fx.HttpRespond:
    """Answer 503 for a request that certainly has not run; the caller may retry."""
    return _retryable_answer(http_id, 503, "not_run", request_id, code, message, retry_after_s)


def unknown_answer(
    http_id: int, request_id: str, code: str, message: str, retry_after_s: int
) -> fx.HttpRespond:
    """Answer 504 for a request that has no result but may have run."""
    return _retryable_answer(http_id, 504, "unknown", request_id, code, message, retry_after_s)


def redirect_answer(http_id: int, request_id: str, front: FrontNode) -> fx.HttpRespond:
    """Redirect the caller to another front (307); the request was not run here."""
    headers = {
        "Location": f"http://{front.address}{GENERATE_PATH}",
        REQUEST_ID_HEADER: request_id,
    }
    error = {"code": "go_elsewhere", "message": "send it to the front named here"}
    document = {"error": error, "front": front_document(front), "outcome": "not_run"}
    return json_answer(http_id, 307, document, headers)


def complete_answer(http_id: int, request_id: str, chunks: list[str]) -> fx.HttpRespond:
    """Answer a request that did not ask for a stream with the complete text."""
    document = {
        "request_id": request_id,
        "text": "".join(chunks),
        "pieces": len(chunks),
        "end": True,
    }
    return json_answer(http_id, 200, document, {REQUEST_ID_HEADER: request_id})


def stream_start(http_id: int, request_id: str) -> fx.HttpStreamStart:
    """Start a streamed answer with status 200; chunks follow as JSON lines."""
    return fx.HttpStreamStart(http_id, 200, {**NDJSON_TYPE, REQUEST_ID_HEADER: request_id})


def _retryable_answer(
    http_id: int,
    status: int,
    outcome: str,
    request_id: str,
    code: str,
    message: str,
    retry_after_s: int,
) -> fx.HttpRespond:
    error = {"code": code, "message": message, "retry_after_s": retry_after_s}
    document = {"error": error, "outcome": outcome, "request_id": request_id}
    headers = {"Retry-After": str(retry_after_s), REQUEST_ID_HEADER: request_id}
    return json_answer(http_id, status, document, headers)
