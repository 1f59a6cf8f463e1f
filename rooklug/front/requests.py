"""Parses model requests: headers first, the body only at the front that serves the request."""

import json
from collections.abc import Mapping
from typing import Any, TypeGuard

import attrs
from expression import Error, Ok, Result

from rooklug.config.document import Route, RouteKind
from rooklug.front.affinity import hash_blocks
from rooklug.front.routing_view import RoutingView

ROUTE_HEADER = "x-rooklug-route"
REQUEST_ID_HEADER = "x-rooklug-request-id"
DEADLINE_HEADER = "x-rooklug-deadline-ms"
MAX_REQUEST_ID_LENGTH = 200
MAX_PROMPT_PREFIX_BLOCKS = 256
MAX_TOKENS = 10_000_000
PROMPT_TOKENS_PER_LOAD_TOKEN = 8


@attrs.frozen
class RequestProblem:
    """Why a request is rejected, with the HTTP status (400, 404 or 405); it was not run."""

    status: int
    code: str
    message: str


@attrs.frozen
class RequestHead:
    """Parsed headers of a request. ``deadline`` is a monotonic time of this process."""

    request_id: str
    route_name: str
    route: Route
    source_region: str
    deadline: float


@attrs.frozen
class GenerateBody:
    """Parsed body of a model request.

    ``block_hashes`` are the hashes of the shared prefix blocks in their order; ``document`` is
    the complete JSON object, which is forwarded to the replica.
    """

    prompt_tokens: int
    max_tokens: int
    stream: bool
    block_hashes: tuple[int, ...]
    document: dict[str, Any]

    @property
    def load_tokens(self) -> float:
        """Size of the request in load tokens: one per answer token, an eighth per prompt token."""
        return self.prompt_tokens / PROMPT_TOKENS_PER_LOAD_TOKEN + self.max_tokens


def read_head(
    view: RoutingView, headers: Mapping[str, str], fallback_id: str, now: float
) -> Result[RequestHead, RequestProblem]:
    """Parse and check the headers of a model request; ``fallback_id`` if it has no request id."""
    request_id = headers.get(REQUEST_ID_HEADER, "") or fallback_id
    if len(request_id) > MAX_REQUEST_ID_LENGTH or not _is_printable_ascii(request_id):
        return _invalid(f"{REQUEST_ID_HEADER} must be printable ASCII, 200 characters at most")
    name = headers.get(ROUTE_HEADER, "")
    if not name:
        return _invalid(f"{ROUTE_HEADER} is missing")
    route = view.route(name)
    if route is None or route.kind is not RouteKind.MODEL:
        return Error(RequestProblem(404, "unknown_route", "no model route of that name"))
    time_left = _read_time_left(headers.get(DEADLINE_HEADER), route.deadline_s)
    if time_left is None:
        return _invalid(f"{DEADLINE_HEADER} must be a whole number of milliseconds")
    source = view.region_of_caller(headers)
    return Ok(RequestHead(request_id, name, route, source, now + time_left))


def read_generate_body(data: bytes, route: Route) -> Result[GenerateBody, RequestProblem]:
    """Parse and check the body of a model request on ``route``."""
    document = read_json_object(data)
    if document is None:
        return _invalid("the body must be a JSON object")
    model = document.get("model", route.model)
    if model != route.model:
        return _invalid("model: not the route's model")
    prompt_tokens = document.get("prompt_tokens")
    if not _is_count(prompt_tokens, 0):
        return _invalid("prompt_tokens: must be a whole number, 0 or more")
    max_tokens = document.get("max_tokens")
    if not _is_count(max_tokens, 1):
        return _invalid("max_tokens: must be a whole number, 1 or more")
    blocks = read_prefix_blocks(document)
    if blocks is None:
        return _invalid(
            f"prompt_parts: must be a list of at most {MAX_PROMPT_PREFIX_BLOCKS} strings"
        )
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        return _invalid("stream: must be true or false")
    return Ok(GenerateBody(prompt_tokens, max_tokens, stream, hash_blocks(blocks), document))


def read_json_object(data: bytes) -> dict[str, Any] | None:
    """Return the JSON object in ``data``, or None if it isn't one."""
    try:
        document = json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return None
    return document if isinstance(document, dict) else None


def read_prefix_blocks(document: Mapping[str, Any]) -> tuple[str, ...] | None:
    """Return the shared prefix blocks, () if none are given, None if malformed."""
    blocks = document.get("prompt_parts", [])
    if not isinstance(blocks, list) or len(blocks) > MAX_PROMPT_PREFIX_BLOCKS:
        return None
    return tuple(blocks) if all(isinstance(block, str) for block in blocks) else None


def encode_attempt_body(body: GenerateBody, request_id: str, model: str) -> bytes:
    """Return the body for the replica: the caller's document with request id and model set."""
    return json.dumps({**body.document, "request_id": request_id, "model": model}).encode()


def _invalid(message: str) -> Result[Any, RequestProblem]:
    return Error(RequestProblem(400, "invalid", message))


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _is_printable_ascii(text: str) -> bool:
    return text.isascii() and text.isprintable()


def _is_count(value: Any, smallest: int) -> TypeGuard[int]:
    return type(value) is int and smallest <= value <= MAX_TOKENS


def _read_time_left(header: str | None, limit_s: float) -> float | None:
    """Return the seconds until the deadline, at most ``limit_s``; None if malformed."""
    if header is None:
        return limit_s
    if not (header.isascii() and header.isdigit() and len(header) <= 12):
        return None
    return min(int(header) / 1000.0, limit_s)
