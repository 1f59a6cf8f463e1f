"""HTTP responses of the operators' API: JSON bodies with a common error format."""

import json
from typing import Any

from rooklug.engine import effects as fx

JSON_HEADERS = {"Content-Type": "application/json"}
VERSION_HEADER = "x-rooklug-version"
DIGEST_HEADER = "x-rooklug-digest"
RETRY_AFTER_S = 1


def json_answer(
    request_id: int, status: int, document: Any, headers: dict[str, str] | None = None
) -> fx.HttpRespond:
    """Return a response with ``document`` as compact JSON."""
    body = json.dumps(document, separators=(",", ":")).encode()
    return fx.HttpRespond(request_id, status, body, {**JSON_HEADERS, **(headers or {})})


def error_answer(
    request_id: int,
    status: int,
    code: str,
    message: str,
    headers: dict[str, str] | None = None,
    **details: Any,
) -> fx.HttpRespond:
    """Return an error response; ``details`` are additional members of the error object."""
    error = {"code": code, "message": message, **details}
    return json_answer(request_id, status, {"error": error}, headers)


def unavailable_answer(request_id: int, message: str) -> fx.HttpRespond:
    """Return 503: the request had no result; an order was certainly not accepted."""
    headers = {"Retry-After": str(RETRY_AFTER_S)}
    return error_answer(request_id, 503, "unavailable", message, headers)


def unknown_answer(request_id: int) -> fx.HttpRespond:
    """Return 504: the outcome of the order is unknown; it may have been accepted."""
    headers = {"Retry-After": str(RETRY_AFTER_S)}
    message = "the primary may have taken it; send it again, to any node"
    return error_answer(request_id, 504, "unknown", message, headers)


def configuration_answer(
    request_id: int, version: int, digest: str, document: bytes
) -> fx.HttpRespond:
    """Return a configuration's bytes exactly as accepted, or 404 if ``version`` is 0."""
    if version == 0:
        return error_answer(request_id, 404, "no_configuration", "there is no configuration yet")
    headers = {**JSON_HEADERS, VERSION_HEADER: str(version), DIGEST_HEADER: digest}
    return fx.HttpRespond(request_id, 200, document, headers)
