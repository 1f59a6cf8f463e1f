"""Strict readers of single JSON fields, shared by the readers of reports and listings."""

import math
from typing import Any, TypeGuard

from rooklug.model.constants import MAX_SAFE_INTEGER


class MalformedError(ValueError):
    """A field is missing or of the wrong kind. Never leaves the readers."""


def is_count(value: Any) -> TypeGuard[int]:
    """Return whether ``value`` is an integer of zero or more that JSON carries exactly."""
    return type(value) is int and 0 <= value <= MAX_SAFE_INTEGER


def count_field(document: dict[str, Any], key: str) -> int:
    """Return an integer of zero or more."""
    value = document.get(key)
    if not is_count(value):
        raise MalformedError(f"{key} is not a count")
    return value


def number_field(document: dict[str, Any], key: str) -> float:
    """Return a finite number of zero or more."""
    value = document.get(key)
    if type(value) is int and is_count(value):
        return float(value)
    if type(value) is not float or not math.isfinite(value) or value < 0:
        raise MalformedError(f"{key} is not a finite number of zero or more")
    return value


def flag_field(document: dict[str, Any], key: str) -> bool:
    """Return true or false."""
    value = document.get(key)
    if type(value) is not bool:
        raise MalformedError(f"{key} is not true or false")
    return value


def text_field(document: dict[str, Any], key: str, *, may_be_empty: bool = False) -> str:
    """Return a string that can be sent on as UTF-8."""
    value = document.get(key)
    if not isinstance(value, str) or not (value or may_be_empty):
        raise MalformedError(f"{key} is not a non-empty string")
    try:
        value.encode()
    except UnicodeEncodeError as problem:
        raise MalformedError(f"{key} is not valid Unicode") from problem
    return value
