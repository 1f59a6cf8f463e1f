"""Problems of an operator's document and the paths at which they occur."""

import json
import re

import attrs

_DOCUMENT_PATH = "(document)"
_PATH = r"""\(document\)|(?:[A-Za-z0-9_.-]+|\[\d+\]|\["(?:[^"\\]|\\.)*"\])+"""
_LINE = re.compile(rf"(?P<path>{_PATH}): (?P<message>.*)\Z", re.DOTALL)
_PLAIN_KEY = re.compile(r"[A-Za-z0-9_-]+\Z")


@attrs.frozen
class Problem:
    """One problem of a document.

    ``path`` is the location, such as ``routes.contracts.home_regions[0]``; it is empty if the
    problem concerns the whole document. ``message`` is shown to the operator.
    """

    path: str
    message: str

    def __str__(self) -> str:
        """Return path and message as one line, the format that ``parse_problem`` parses."""
        return f"{self.path or _DOCUMENT_PATH}: {self.message}"


def parse_problem(line: str) -> Problem:
    """Parse a line of ``str(Problem)``; a line without a path becomes the message."""
    match = _LINE.match(line)
    if match is None:
        return Problem("", line)
    path = match.group("path")
    return Problem("" if path == _DOCUMENT_PATH else path, match.group("message"))


Problems = tuple[Problem, ...]


def key_path(parent: str, key: str) -> str:
    """Return the path of the member ``key`` below ``parent``."""
    if not _PLAIN_KEY.match(key):
        return f"{parent}[{json.dumps(key)}]"
    return f"{parent}.{key}" if parent else key


def index_path(parent: str, index: int) -> str:
    """Return the path of the element ``index`` of the list at ``parent``."""
    return f"{parent}[{index}]"
