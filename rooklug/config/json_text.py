"""Strict JSON parser and canonical serialiser.

Beyond what the standard parser rejects, this one rejects text that is too large, nested too
deeply or not UTF-8, duplicate keys, NaN and infinities, numbers that not every JSON
implementation can represent exactly, and strings with lone surrogates.
"""

import json
import math
import re
from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.config.problems import Problem, Problems, index_path, key_path
from rooklug.model.constants import MAX_DOCUMENT_BYTES, MAX_JSON_DEPTH, MAX_SAFE_INTEGER
from rooklug.model.input_values import is_encodable

_MAX_NUMBER_LENGTH = 64
_OPENING = b"[{"
_CLOSING = b"]}"
# An unterminated string matches up to the end of the text, which keeps the scan linear.
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*+(?:"|\\?\Z)|[\[\]{}]', re.DOTALL)
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")

Json = Any


@attrs.frozen
class _RawObject:
    """The members of a JSON object in their order, including duplicate keys."""

    members: tuple[tuple[str, Json], ...]


@attrs.frozen
class _InvalidNumber:
    """Marks a number that was rejected; ``message`` says why."""

    message: str


def parse_json(data: bytes) -> Result[Json, Problems]:
    """Parse JSON text strictly; an error lists every problem with its path.

    Objects become dicts, arrays become lists, and numbers become int or finite float.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return _refuse(f"larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        return Ok(_parse_fast(data))
    except (_FastParseError, ValueError, RecursionError):
        return _parse_with_diagnosis(data)


def parse_json_values(data: bytes) -> Result[Json, Problems]:
    """Parse JSON whose values the caller checks one by one.

    A value that ``parse_json`` would reject costs only itself here: a number that is out of bounds
    becomes an object of a type of its own, and strings may have lone surrogates, which also stand
    for bytes that are not UTF-8. Of duplicate keys the last counts.
    """
    try:
        value = json.loads(
            data.decode("utf-8", "surrogateescape"),
            parse_constant=lambda text: _InvalidNumber(f"{text} is not a JSON number"),
            parse_int=_read_integer,
            parse_float=_read_float,
        )
    except (ValueError, RecursionError) as problem:
        return _refuse(f"not JSON: {problem}")
    return Ok(value)


class _FastParseError(Exception):
    """Raised by the fast parser for text that only the diagnosing parser can accept or reject."""


def _parse_fast(data: bytes) -> Json:
    """Parse valid text, several times faster than the diagnosing parser.

    Raises
    ------
    _FastParseError, ValueError, RecursionError
        The text may be invalid.
    """
    text = data.decode("utf-8")
    if _SURROGATE_ESCAPE.search(text):
        raise _FastParseError
    value = json.loads(
        text,
        object_pairs_hook=_unique_members,
        parse_constant=_reject_constant,
        parse_int=lambda digits: _valid_number(_read_integer(digits)),
        parse_float=lambda digits: _valid_number(_read_float(digits)),
    )
    if _value_depth(value, MAX_JSON_DEPTH + 1) > MAX_JSON_DEPTH:
        raise _FastParseError
    return value


def _unique_members(members: list[tuple[str, Json]]) -> dict[str, Json]:
    plain = dict(members)
    if len(plain) != len(members):
        raise _FastParseError
    return plain


def _valid_number(number: "int | float | _InvalidNumber") -> int | float:
    if isinstance(number, _InvalidNumber):
        raise _FastParseError
    return number


def _reject_constant(_text: str) -> None:
    raise _FastParseError


def _value_depth(value: Json, limit: int) -> int:
    """Return the nesting depth of a value, or ``limit`` if it is deeper."""
    if not isinstance(value, dict | list) or limit == 0:
        return 0
    inner = value.values() if isinstance(value, dict) else value
    nested = [item for item in inner if isinstance(item, dict | list)]
    return 1 + max((_value_depth(item, limit - 1) for item in nested), default=0)


def _parse_with_diagnosis(data: bytes) -> Result[Json, Problems]:
    if nesting_depth(data) > MAX_JSON_DEPTH:
        return _refuse(f"nested deeper than {MAX_JSON_DEPTH} levels")
    try:
        raw = json.loads(
            data.decode("utf-8"),
            object_pairs_hook=lambda members: _RawObject(tuple(members)),
            parse_constant=lambda text: _InvalidNumber(f"{text} is not a JSON number"),
            parse_int=_read_integer,
            parse_float=_read_float,
        )
    except UnicodeDecodeError as problem:
        return _refuse(f"not UTF-8 at byte {problem.start}")
    except json.JSONDecodeError as problem:
        return _refuse(f"not JSON: {problem.msg} at line {problem.lineno}, column {problem.colno}")
    problems: list[Problem] = []
    value = _resolve(raw, "", problems)
    return Error(tuple(problems)) if problems else Ok(value)


def canonical_bytes(value: Json) -> bytes:
    """Serialise canonically: sorted keys, no spaces, integral floats written as integers."""
    text = json.dumps(
        _integral(value), sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    )
    return text.encode("utf-8")


def _refuse(message: str) -> Result[Json, Problems]:
    return Error((Problem("", message),))


def nesting_depth(data: bytes) -> int:
    """Return the nesting depth of JSON text, without recursion; it needs no parsed value."""
    depth = deepest = 0
    for match in _STRING_OR_BRACKET.finditer(data):
        first = match.group()[0]
        if first in _OPENING:
            depth += 1
            deepest = max(deepest, depth)
        elif first in _CLOSING:
            depth -= 1
    return deepest


def _read_integer(text: str) -> int | _InvalidNumber:
    if len(text) > _MAX_NUMBER_LENGTH:
        return _InvalidNumber("number too long")
    number = int(text)
    if abs(number) > MAX_SAFE_INTEGER:
        return _InvalidNumber(f"integer beyond {MAX_SAFE_INTEGER}")
    return number


def _read_float(text: str) -> float | _InvalidNumber:
    if len(text) > _MAX_NUMBER_LENGTH:
        return _InvalidNumber("number too long")
    number = float(text)
    if not math.isfinite(number):
        return _InvalidNumber("number too large")
    return number


def _resolve(raw: Json, path: str, problems: list[Problem]) -> Json:
    if isinstance(raw, _RawObject):
        return _resolve_object(raw, path, problems)
    if isinstance(raw, list):
        return [_resolve(item, index_path(path, index), problems) for index, item in enumerate(raw)]
    if isinstance(raw, _InvalidNumber):
        problems.append(Problem(path, raw.message))
    elif isinstance(raw, str) and not is_encodable(raw):
        problems.append(Problem(path, "string with a lone surrogate"))
    return raw


def _resolve_object(raw: _RawObject, path: str, problems: list[Problem]) -> dict[str, Json]:
    members: dict[str, Json] = {}
    for key, value in raw.members:
        member_path = key_path(path, key)
        if not is_encodable(key):
            problems.append(Problem(member_path, "key with a lone surrogate"))
        if key in members:
            problems.append(Problem(member_path, "duplicate key"))
        members[key] = _resolve(value, member_path, problems)
    return members


def _integral(value: Json) -> Json:
    if isinstance(value, dict):
        return {key: _integral(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_integral(item) for item in value]
    if isinstance(value, float) and value.is_integer() and abs(value) <= MAX_SAFE_INTEGER:
        return int(value)
    return value
