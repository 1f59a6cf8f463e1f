"""Checks of answers as a caller sees them: id, index, end, and one run only."""

import json
from typing import Any

import attrs

from rooklug_lab.standins.http import json_object

_FIELDS_OF_A_PIECE = 5


def piece_problems(text: str, request_id: str) -> tuple[list[str], str, list[int]]:
    """Read the pieces in ``text``; return problems, the run that wrote them, and indices.

    Pieces of stand-in replicas read "request|replica|incarnation|run|index".
    """
    problems: list[str] = []
    runs: list[str] = []
    indices: list[int] = []
    for word in text.split():
        fields = word.split("|")
        if len(fields) != _FIELDS_OF_A_PIECE:
            problems.append(f"unreadable piece {word!r}")
            continue
        if not fields[0].startswith(request_id):
            problems.append(f"piece of another request {fields[0]!r}")
        runs.append("/".join(fields[1:4]))
        indices.append(int(fields[4]))
    if len(set(runs)) > 1:
        problems.append(f"pieces of {len(set(runs))} runs in one answer")
    return problems, runs[0] if runs else "", indices


def check_whole_answer(body: bytes, request_id: str) -> tuple[list[str], str]:
    """Check a whole model answer; return problems and the run that wrote it."""
    answer = json_object(body)
    if answer is None:
        return ["the answer isn't a JSON object"], ""
    problems, run, indices = piece_problems(str(answer.get("text", "")), request_id)
    if answer.get("request_id") != request_id:
        problems.append(f"answer of another request {answer.get('request_id')!r}")
    if answer.get("end") is not True:
        problems.append("no end")
    if indices != list(range(len(indices))) or answer.get("pieces") != len(indices):
        problems.append(f"pieces {indices} of {answer.get('pieces')}")
    return problems, run


def check_once_answer(body: bytes, key: str) -> tuple[list[str], dict[str, Any]]:
    """Check a once-only answer; return problems and the decoded answer."""
    answer = json_object(body)
    if answer is None:
        return ["the answer isn't a JSON object"], {}
    problems = []
    if answer.get("outcome") != "done" or answer.get("key") != key:
        problems.append(f"answer {answer.get('outcome')!r} for key {answer.get('key')!r}")
    result = answer.get("result")
    if not isinstance(result, dict) or result.get("key") != key:
        problems.append("the result belongs to another key")
    return problems, answer


@attrs.define
class StreamCheck:
    """Reads a stream of lines and notes what is wrong with it."""

    request_id: str
    problems: list[str] = attrs.field(factory=list)
    run: str = ""
    pieces: int = 0
    ended: bool = False
    _buffer: bytes = b""

    def feed(self, data: bytes) -> None:
        """Take bytes as they come."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self._line(line)

    def _line(self, line: bytes) -> None:
        try:
            value = json.loads(line)
        except ValueError:
            self.problems.append("a line isn't JSON")
            return
        if self.ended:
            self.problems.append("a line after the end")
        if value.get("request_id") != self.request_id:
            self.problems.append(f"a line of another request {value.get('request_id')!r}")
        if value.get("index") != self.pieces:
            self.problems.append(f"index {value.get('index')} where {self.pieces} was due")
        if value.get("end"):
            self.ended = True
            return
        self._piece(str(value.get("piece", "")))

    def _piece(self, text: str) -> None:
        problems, run, _ = piece_problems(text, self.request_id)
        self.problems += problems
        if self.run and run != self.run:
            self.problems.append("pieces of two runs in one stream")
        self.run = run
        self.pieces += 1

    def close(self) -> None:
        """The final chunk came: without an end line, a broken answer looks complete."""
        if not self.ended or self._buffer:
            self.problems.append("the stream ended properly without its end line")
