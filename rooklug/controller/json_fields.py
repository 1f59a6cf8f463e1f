"""Strict validation of single JSON fields, shared by the readers of reports and listings."""

import math
from typing import Any, TypeGuard

from rooklug.model.input_values import is_encodable, whole_number


class MalformedError(ValueError):
    """A field is missing or invalid. The readers of documents turn it into an error result."""


def is_count(value: Any) -> TypeGuard[int]:
    """Return whether ``value`` is a non-negative integer that JSON represents exactly.

    Booleans, a subclass of ``int``, don't count.
    """
    return whole_number(value) is not None


def count_field(document: dict[str, Any], key: str) -> int:
    """Return a non-negative integer field; raises ``MalformedError``."""
    value = document.get(key)
    if not is_count(value):
        raise MalformedError(f"{key} must be a non-negative integer that JSON represents exactly")
    return value


def number_field(document: dict[str, Any], key: str) -> float:
    """Return a finite, non-negative number field; raises ``MalformedError``."""
    value = document.get(key)
    if type(value) is int and is_count(value):
        return float(value)
    if type(value) is not float or not math.isfinite(value) or value < 0:
        raise MalformedError(f"{key} must be a finite, non-negative number")
    return value


def flag_field(document: dict[str, Any], key: str) -> bool:
    """Return a boolean field; raises ``MalformedError``."""
    value = document.get(key)
    if type(value) is not bool:
        raise MalformedError(f"{key} must be true or false")
    return value


def text_field(document: dict[str, Any], key: str, *, may_be_empty: bool = False) -> str:
    """Return a string field that can be encoded as UTF-8; raises ``MalformedError``."""
    value = document.get(key)
    if not isinstance(value, str) or not (value or may_be_empty):
        raise MalformedError(f"{key} must be a non-empty string")
    if not is_encodable(value):
        raise MalformedError(f"{key} can't be encoded as UTF-8")
    return value
