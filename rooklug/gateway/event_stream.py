"""Finds event boundaries and event ids in event streams (``text/event-stream``)."""

import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


def complete_length(data: bytes) -> int:
    """Return the number of leading bytes of ``data`` that form complete events."""
    end = 0
    for match in _END_OF_EVENT.finditer(data):
        end = match.end()
    return end


def last_event_id(data: bytes) -> str:
    """Return the id of the last event in ``data`` that has one, or ""."""
    found = _ID_LINE.findall(data)
    return found[-1].decode("latin-1") if found else ""
