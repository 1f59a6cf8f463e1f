"""Readers of single values from outside, and the bounds of what they accept.

Every value of an operator, a client, a replica, the platform or a settings file passes one of
these readers before it is used. A reader returns None for a value that it doesn't accept, and never
raises. What it accepts can be encoded for the wire, written as JSON and put into an HTTP header.
"""

import ipaddress
from typing import Any

from rooklug.model.constants import MAX_SAFE_INTEGER

MAX_INT32 = 2**31 - 1
"""Largest value of an ``i32`` field of the internal protocol."""
MAX_DIGITS = 20
"""Decimal digits that are converted to a number; the largest 64-bit integer has 19."""
MAX_TEXT_LENGTH = 1024
MAX_IDENTIFIER_LENGTH = 200
MAX_PORT = 65535
_MAX_NUMBER_TEXT_LENGTH = 64


def whole_number(value: Any, smallest: int = 0, largest: int = MAX_SAFE_INTEGER) -> int | None:
    """Return a parsed JSON value that is an integer from ``smallest`` to ``largest``.

    Booleans, a subclass of ``int``, are not accepted.
    """
    return value if type(value) is int and smallest <= value <= largest else None


def whole_number_text(text: str, largest: int = MAX_SAFE_INTEGER) -> int | None:
    """Return the number that ``text`` consists of, in decimal digits, up to ``largest``."""
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        return None
    return whole_number(int(text), 0, largest)


def finite_number(
    value: Any, smallest: float = 0.0, largest: float = MAX_SAFE_INTEGER
) -> float | None:
    """Return a parsed JSON value that is a finite number from ``smallest`` to ``largest``."""
    if type(value) not in (int, float) or not smallest <= value <= largest:
        return None
    return float(value)


def finite_number_text(
    text: str, smallest: float = 0.0, largest: float = MAX_SAFE_INTEGER
) -> float | None:
    """Return the finite number that ``text`` is, from ``smallest`` to ``largest``."""
    if len(text) > _MAX_NUMBER_TEXT_LENGTH:
        return None
    try:
        return finite_number(float(text), smallest, largest)
    except ValueError:
        return None


def encodable_text(value: Any, max_length: int = MAX_TEXT_LENGTH) -> str | None:
    """Return a parsed JSON value that is a non-empty string without lone surrogates."""
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        return None
    return value if is_encodable(value) else None


def identifier_text(value: Any) -> str | None:
    """Return a parsed JSON value that is visible ASCII text, which an HTTP header can carry."""
    text = encodable_text(value, MAX_IDENTIFIER_LENGTH)
    is_visible = text is not None and text.isascii() and text.isprintable() and " " not in text
    return text if is_visible else None


def address_text(value: Any) -> str | None:
    """Return a parsed JSON value that is "IPv4 address:port", with a port from 1 to 65535."""
    text = identifier_text(value)
    if text is None:
        return None
    host, _, port_text = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return text if whole_number_text(port_text, MAX_PORT) else None


def is_encodable(text: str) -> bool:
    """Return whether the text has no lone surrogates, so that UTF-8 can represent it."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
