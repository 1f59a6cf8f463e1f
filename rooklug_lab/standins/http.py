"""Small helpers for stand-ins that speak HTTP and JSON."""

import json
from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.front.requests import REQUEST_ID_HEADER

JSON_HEADERS = {"Content-Type": "application/json"}
STREAM_HEADERS = {"Content-Type": "application/x-ndjson"}


def json_bytes(value: Any) -> bytes:
    """Encode a JSON value; attrs records become objects."""
    return json.dumps(value, default=attrs.asdict, separators=(",", ":")).encode()


def json_object(body: bytes) -> dict[str, Any] | None:
    """Decode a JSON object; None if ``body`` is anything else."""
    try:
        value = json.loads(body)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def respond(request_id: int, status: int, value: Any) -> fx.HttpRespond:
    """Answer with a JSON value."""
    return fx.HttpRespond(request_id, status, json_bytes(value), dict(JSON_HEADERS))


def repeat_request_id(
    request: ev.HttpRequestArrived, answer: fx.HttpRespond | fx.HttpStreamStart
) -> fx.HttpRespond | fx.HttpStreamStart:
    """Return the answer with the request's id: it tells a late answer from the next one's."""
    request_id = request.headers.get(REQUEST_ID_HEADER, "")
    if not request_id:
        return answer
    return attrs.evolve(answer, headers={**answer.headers, REQUEST_ID_HEADER: request_id})


def respond_error(
    request_id: int, status: int, code: str, message: str = "", **more: Any
) -> fx.HttpRespond:
    """Answer with the project's error body."""
    error = {"code": code, "message": message or code, **more}
    return respond(request_id, status, {"error": error})


def json_line(value: Any) -> bytes:
    """Encode one line of a newline-delimited JSON stream."""
    return json_bytes(value) + b"\n"
