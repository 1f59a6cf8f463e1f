"""Event streams (text/event-stream) as far as a gateway must know them."""

import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


def complete_length(data: bytes) -> int:
    """Return how many bytes of ``data`` are complete events."""
    end = 0
    for match in _END_OF_EVENT.finditer(data):
        end = match.end()
    return end


def last_event_id(data: bytes) -> str:
    """Return the id of the last event in ``data`` that has one, else ""."""
    found = _ID_LINE.findall(data)
    return found[-1].decode("latin-1") if found else ""
