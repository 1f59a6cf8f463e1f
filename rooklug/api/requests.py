"""Parses operators' HTTP requests into thrift requests; invalid ones become error values."""

import re
from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from rooklug.config.patching import digest
from rooklug.engine.events import HttpRequestArrived
from rooklug.model.constants import MAX_DOCUMENT_BYTES, MAX_SAFE_INTEGER, POLL_WAIT_S
from rooklug.wire.generated.control.ttypes import (
    ReadConfigurationRequest,
    ReadDecisionsRequest,
    SetZoneRequest,
    SubmitChangeRequest,
    VersionMark,
)

OPERATION_ID_HEADER = "x-rooklug-operation-id"
MAX_OPERATION_ID_LENGTH = 200
MAX_WAIT_MS = int(POLL_WAIT_S * 1000)

_NUMBER = re.compile(r"(0|[1-9][0-9]{0,15})\Z")
_ZONE_PATH = re.compile(r"/v1/zones/([A-Za-z0-9._-]{1,128})/(empty|restore)\Z")
_CONFIG_PATH = re.compile(r"/v1/config/([^/]+)\Z")


@attrs.frozen
class RequestProblem:
    """Why a request is rejected by the front; it is not forwarded, so nothing changes."""

    status: int
    code: str
    message: str


@attrs.frozen
class LocalConfiguration:
    """Query for the configuration that this front currently applies."""


@attrs.frozen
class StatusQuery:
    """Query for the status of all cores and nodes."""


OperatorRequest = (
    SubmitChangeRequest
    | SetZoneRequest
    | ReadConfigurationRequest
    | ReadDecisionsRequest
    | LocalConfiguration
    | StatusQuery
)
Parsed = Result[OperatorRequest, RequestProblem]
Parser = Callable[..., Parsed]


def parse_request(event: HttpRequestArrived) -> Parsed:
    """Return the parsed request, or the status and message to reject it with."""
    if event.path == "/v1/config":
        return _for_method(
            event, {"GET": lambda _: Ok(ReadConfigurationRequest(linearizable=True))}
        )
    if event.path == "/v1/config/local":
        return _for_method(event, {"GET": lambda _: Ok(LocalConfiguration())})
    if event.path == "/v1/status":
        return _for_method(event, {"GET": lambda _: Ok(StatusQuery())})
    if event.path == "/v1/decisions":
        return _for_method(event, {"GET": _parse_decisions})
    if change := _CONFIG_PATH.match(event.path):
        return _for_method(event, {"PUT": _parse_replacement, "PATCH": _parse_patch}, change)
    if zone_order := _ZONE_PATH.match(event.path):
        return _for_method(event, {"POST": _parse_zone}, zone_order)
    return _problem(404, "unknown_path", "no such path")


def _for_method(
    event: HttpRequestArrived, parsers: dict[str, Parser], path: re.Match[str] | None = None
) -> Parsed:
    """Call the HTTP method's parser with the event and the groups of the path pattern."""
    parser = parsers.get(event.method)
    if parser is None:
        return _problem(405, "wrong_method", f"use {' or '.join(parsers)} here")
    return parser(event, *(path.groups() if path else ()))


def _problem(status: int, code: str, message: str) -> Parsed:
    return Error(RequestProblem(status, code, message))


def _invalid(message: str) -> Parsed:
    return _problem(400, "invalid", message)


def _number(text: str) -> int | None:
    if not _NUMBER.match(text) or int(text) > MAX_SAFE_INTEGER:
        return None
    return int(text)


def _parse_replacement(event: HttpRequestArrived, version_text: str) -> Parsed:
    return _parse_change(event, version_text, is_patch=False, base=0)


def _parse_patch(event: HttpRequestArrived, version_text: str) -> Parsed:
    base = _number(event.query.get("base", ""))
    if base is None:
        return _invalid("?base= must name the version that the patch is for, a whole number")
    return _parse_change(event, version_text, is_patch=True, base=base)


def _parse_change(
    event: HttpRequestArrived, version_text: str, *, is_patch: bool, base: int
) -> Parsed:
    version = _number(version_text)
    if not version:
        return _invalid(f"the version must be a whole number from 1 to {MAX_SAFE_INTEGER}")
    if not event.body:
        return _invalid("the body is empty")
    if len(event.body) > MAX_DOCUMENT_BYTES:
        return _problem(413, "too_large", f"a document has at most {MAX_DOCUMENT_BYTES} bytes")
    return Ok(
        SubmitChangeRequest(
            version=version,
            digest=digest(event.body),
            body=event.body,
            is_patch=is_patch,
            base_version=base,
        )
    )


def _parse_zone(event: HttpRequestArrived, zone: str, action: str) -> Parsed:
    operation_id = event.headers.get(OPERATION_ID_HEADER, "")
    if not operation_id:
        return _invalid(f"{OPERATION_ID_HEADER} is missing; a repeat must carry the same one")
    if len(operation_id) > MAX_OPERATION_ID_LENGTH or not operation_id.isascii():
        return _invalid(f"{OPERATION_ID_HEADER} must be ASCII, 200 characters at most")
    return Ok(SetZoneRequest(zone=zone, emptied=action == "empty", operation_id=operation_id))


def _parse_decisions(event: HttpRequestArrived) -> Parsed:
    cursor = [_number(number) for number in event.query.get("after", "0.0.0").split(".")]
    if len(cursor) != 3 or None in cursor:
        return _invalid("?after= must be a cursor EPOCH.COUNTER.SEQUENCE")
    wait_ms = _number(event.query.get("wait_ms", "0"))
    if wait_ms is None:
        return _invalid("?wait_ms= must be a whole number")
    epoch, counter, sequence = cursor
    return Ok(
        ReadDecisionsRequest(
            after_token=VersionMark(epoch=epoch, counter=counter),
            after_sequence=sequence,
            wait_ms=min(wait_ms, MAX_WAIT_MS),
        )
    )
