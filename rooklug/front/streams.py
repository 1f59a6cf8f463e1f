"""Checks a replica's streamed answer line by line before any of it goes to the caller.

Each line is ``{"request_id", "index", "piece"}`` with the index counting up from 0; the last
line is ``{"request_id", "index", "end": true, "pieces"}``. Everything else is a fault: a skipped
or repeated index, another request's id, a line after the end line, or a wrong count.
"""

import json

import attrs
from expression import Error, Ok, Result

MAX_LINE_BYTES = 1024 * 1024


@attrs.frozen
class StreamFault:
    """Why a stream is invalid; nothing more of it may be forwarded."""

    message: str


@attrs.frozen
class CheckedChunks:
    """Valid lines in their order: the bytes as received, and the texts in them."""

    lines: bytes
    texts: tuple[str, ...]


class StreamChecker:
    """Checks the stream of one request. After a fault it must not be fed again."""

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._partial = b""
        self._next_index = 0
        self._end_line = b""

    def feed(self, data: bytes) -> CheckedChunks | StreamFault:
        """Check received bytes; return the lines that they complete, without the end line.

        Returns a plain union instead of a Result, as this runs for each chunk of each stream.
        """
        *lines, self._partial = (self._partial + data).split(b"\n")
        if len(self._partial) > MAX_LINE_BYTES:
            return StreamFault("a line is too long")
        good: list[bytes] = []
        texts: list[str] = []
        for line in lines:
            if not line.strip():
                continue
            fault = self._check(line, texts)
            if fault:
                return StreamFault(fault)
            if not self._end_line:
                good.append(line + b"\n")
        return CheckedChunks(b"".join(good), tuple(texts))

    def finish(self) -> Result[bytes, StreamFault]:
        """Return the end line; to be called once the response has ended properly."""
        if self._partial.strip():
            return Error(StreamFault("the answer ended within a line"))
        if not self._end_line:
            return Error(StreamFault("the answer has no end line"))
        return Ok(self._end_line)

    def _check(self, line: bytes, texts: list[str]) -> str:
        """Return the fault of a line, "" if it is valid; append its text to ``texts``."""
        if self._end_line:
            return "a line after the end line"
        try:
            document = json.loads(line.decode())
        except (ValueError, RecursionError):
            return "a line is not JSON"
        if not isinstance(document, dict):
            return "a line is not an object"
        if document.get("request_id") != self._request_id:
            return "a line belongs to another request"
        index = document.get("index")
        if type(index) is not int or index != self._next_index:
            return f"index {index!r} in place of {self._next_index}"
        if "end" in document:
            return self._check_end(line, document)
        text = document.get("piece")
        if not isinstance(text, str):
            return "a line has no piece"
        self._next_index += 1
        texts.append(text)
        return ""

    def _check_end(self, line: bytes, document: dict) -> str:
        count = document.get("pieces")
        if document["end"] is not True or type(count) is not int or count != self._next_index:
            return "the end line does not match the pieces"
        self._end_line = line + b"\n"
        return ""
