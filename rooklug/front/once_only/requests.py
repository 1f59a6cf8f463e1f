"""Parses once-only requests: headers first, then the payload."""

import json
from collections.abc import Mapping

import attrs
from expression import Error, Ok, Result

from rooklug.config.document import Route, RouteKind
from rooklug.config.json_text import nesting_depth
from rooklug.front.once_only.claims import payload_digest
from rooklug.front.requests import (
    DEADLINE_HEADER,
    MAX_REQUEST_ID_LENGTH,
    REQUEST_ID_HEADER,
    ROUTE_HEADER,
    RequestProblem,
)
from rooklug.front.routing_view import RoutingView
from rooklug.model.constants import MAX_JSON_DEPTH

KEY_HEADER = "x-rooklug-key"
ATTEMPT_HEADER = "x-rooklug-attempt"
FIRST_ATTEMPT = "1"
MAX_KEY_LENGTH = 200
_MAX_DEADLINE_DIGITS = 12


@attrs.frozen
class OnceHead:
    """Parsed headers of a request. Times are monotonic times of this process.

    ``is_first_attempt``: the caller states that it has not sent this key before.
    """

    request_id: str
    key: str
    route_name: str
    route: Route
    started: float
    deadline: float
    is_first_attempt: bool


@attrs.frozen
class Payload:
    """The caller's JSON as received, and the digest of its canonical form."""

    data: bytes
    digest: bytes


def read_head(
    view: RoutingView, headers: Mapping[str, str], fallback_id: str, now: float
) -> Result[OnceHead, RequestProblem]:
    """Parse and check the headers; ``fallback_id`` is used if there is no request id."""
    request_id = headers.get(REQUEST_ID_HEADER, "") or fallback_id
    if not _is_printable_ascii(request_id, MAX_REQUEST_ID_LENGTH):
        return _invalid(f"{REQUEST_ID_HEADER} must be printable ASCII, 200 characters at most")
    key = headers.get(KEY_HEADER, "")
    if not _is_printable_ascii(key, MAX_KEY_LENGTH):
        return _invalid(f"{KEY_HEADER} must be 1 to {MAX_KEY_LENGTH} printable ASCII characters")
    name = headers.get(ROUTE_HEADER, "")
    route = view.route(name)
    if route is None or route.kind is not RouteKind.ONCE:
        return Error(RequestProblem(404, "unknown_route", "no once-only route of that name"))
    remaining_s = _time_left(headers.get(DEADLINE_HEADER), route.deadline_s)
    if remaining_s is None:
        return _invalid(f"{DEADLINE_HEADER} must be a whole number of milliseconds")
    is_first_attempt = headers.get(ATTEMPT_HEADER, "") == FIRST_ATTEMPT
    return Ok(OnceHead(request_id, key, name, route, now, now + remaining_s, is_first_attempt))


def read_payload(data: bytes) -> Result[Payload, RequestProblem]:
    """Check that the body is JSON; it is forwarded to the back end unchanged."""
    if nesting_depth(data) > MAX_JSON_DEPTH:
        return _invalid(f"the body is nested deeper than {MAX_JSON_DEPTH} levels")
    try:
        value = json.loads(data, parse_constant=_reject_constant)
        canonical = json.dumps(value, sort_keys=True, separators=(",", ":"))
    except (ValueError, RecursionError):
        return _invalid("the body must be JSON")
    return Ok(Payload(data, payload_digest(canonical.encode())))


def _invalid(message: str) -> Result:
    return Error(RequestProblem(400, "invalid", message))


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")


def _is_printable_ascii(text: str, limit: int) -> bool:
    return 0 < len(text) <= limit and text.isascii() and text.isprintable()


def _time_left(header: str | None, limit_s: float) -> float | None:
    if header is None:
        return limit_s
    if not (header.isascii() and header.isdigit() and len(header) <= _MAX_DEADLINE_DIGITS):
        return None
    return min(int(header) / 1000.0, limit_s)
