"""JSON text to values and back, without the leniency of the standard reader.

Refused: text that is too large or too deep, not UTF-8, duplicate keys, NaN and infinities,
numbers beyond what every JSON reader holds exactly, and strings with lone surrogates.
"""

import json
import math
import re
from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.config.problems import Problem, Problems, index_path, key_path
from rooklug.model.constants import MAX_DOCUMENT_BYTES, MAX_JSON_DEPTH, MAX_SAFE_INTEGER

_MAX_NUMBER_LENGTH = 64
_OPENING = b"[{"
_CLOSING = b"]}"
# An unterminated string runs to the end of the text, which keeps the scan linear.
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*+(?:"|\\?\Z)|[\[\]{}]', re.DOTALL)
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")

Json = Any


@attrs.frozen
class _Object:
    """The members of a JSON object as written, duplicates included."""

    members: tuple[tuple[str, Json], ...]


@attrs.frozen
class _BadNumber:
    """A number that the document may not hold."""

    message: str


def parse_json(data: bytes) -> Result[Json, Problems]:
    """Read JSON text strictly; every fault is listed with its path.

    Objects become dicts, arrays lists, numbers int or finite float.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return _refuse(f"larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        return Ok(_parse_faultless(data))
    except (_UnusualTextError, ValueError, RecursionError):
        return _parse_with_faults(data)


class _UnusualTextError(Exception):
    """The text may have a fault; the thorough reader must look at it."""


def _parse_faultless(data: bytes) -> Json:
    """Read text without faults, several times faster than the thorough reader.

    Raises
    ------
    _UnusualTextError, ValueError, RecursionError
        The text may have a fault.
    """
    text = data.decode("utf-8")
    if _SURROGATE_ESCAPE.search(text):
        raise _UnusualTextError
    value = json.loads(
        text,
        object_pairs_hook=_plain_object,
        parse_constant=_unusual_number,
        parse_int=lambda digits: _plain_number(_read_integer(digits)),
        parse_float=lambda digits: _plain_number(_read_float(digits)),
    )
    if _value_depth(value, MAX_JSON_DEPTH + 1) > MAX_JSON_DEPTH:
        raise _UnusualTextError
    return value


def _plain_object(members: list[tuple[str, Json]]) -> dict[str, Json]:
    plain = dict(members)
    if len(plain) != len(members):
        raise _UnusualTextError
    return plain


def _plain_number(number: "int | float | _BadNumber") -> int | float:
    if isinstance(number, _BadNumber):
        raise _UnusualTextError
    return number


def _unusual_number(_text: str) -> None:
    raise _UnusualTextError


def _value_depth(value: Json, limit: int) -> int:
    """Return the nesting of a value, looking at most ``limit`` levels deep."""
    if not isinstance(value, dict | list) or limit == 0:
        return 0
    inner = value.values() if isinstance(value, dict) else value
    nested = [item for item in inner if isinstance(item, dict | list)]
    return 1 + max((_value_depth(item, limit - 1) for item in nested), default=0)


def _parse_with_faults(data: bytes) -> Result[Json, Problems]:
    if nesting_depth(data) > MAX_JSON_DEPTH:
        return _refuse(f"nested deeper than {MAX_JSON_DEPTH} levels")
    try:
        raw = json.loads(
            data.decode("utf-8"),
            object_pairs_hook=lambda members: _Object(tuple(members)),
            parse_constant=lambda text: _BadNumber(f"{text} is not a JSON number"),
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
    """Return the one text of a value: sorted keys, no spaces, integral numbers as integers."""
    text = json.dumps(
        _integral(value), sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    )
    return text.encode("utf-8")


def _refuse(message: str) -> Result[Json, Problems]:
    return Error((Problem("", message),))


def nesting_depth(data: bytes) -> int:
    """Return the deepest nesting, counted without recursion and before any parsing."""
    depth = deepest = 0
    for match in _STRING_OR_BRACKET.finditer(data):
        first = match.group()[0]
        if first in _OPENING:
            depth += 1
            deepest = max(deepest, depth)
        elif first in _CLOSING:
            depth -= 1
    return deepest


def _read_integer(text: str) -> int | _BadNumber:
    if len(text) > _MAX_NUMBER_LENGTH:
        return _BadNumber("number too long")
    number = int(text)
    if abs(number) > MAX_SAFE_INTEGER:
        return _BadNumber(f"integer beyond {MAX_SAFE_INTEGER}")
    return number


def _read_float(text: str) -> float | _BadNumber:
    if len(text) > _MAX_NUMBER_LENGTH:
        return _BadNumber("number too long")
    number = float(text)
    if not math.isfinite(number):
        return _BadNumber("number too large")
    return number


def _resolve(raw: Json, path: str, problems: list[Problem]) -> Json:
    if isinstance(raw, _Object):
        return _resolve_object(raw, path, problems)
    if isinstance(raw, list):
        return [_resolve(item, index_path(path, index), problems) for index, item in enumerate(raw)]
    if isinstance(raw, _BadNumber):
        problems.append(Problem(path, raw.message))
    elif isinstance(raw, str) and not _is_encodable(raw):
        problems.append(Problem(path, "string with a lone surrogate"))
    return raw


def _resolve_object(raw: _Object, path: str, problems: list[Problem]) -> dict[str, Json]:
    members: dict[str, Json] = {}
    for key, value in raw.members:
        member_path = key_path(path, key)
        if not _is_encodable(key):
            problems.append(Problem(member_path, "key with a lone surrogate"))
        if key in members:
            problems.append(Problem(member_path, "duplicate key"))
        members[key] = _resolve(value, member_path, problems)
    return members


def _is_encodable(text: str) -> bool:
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True


def _integral(value: Json) -> Json:
    if isinstance(value, dict):
        return {key: _integral(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_integral(item) for item in value]
    if isinstance(value, float) and value.is_integer() and abs(value) <= MAX_SAFE_INTEGER:
        return int(value)
    return value
