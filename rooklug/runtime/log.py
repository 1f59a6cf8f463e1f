"""Structured log: one JSON object per line, written through the standard ``logging``."""

import json
import logging
import sys
from datetime import UTC, datetime
from typing import Any, TextIO, cast

import attrs

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
    "critical": logging.CRITICAL,
}


@attrs.frozen
class LogEntry:
    """The content of one log line besides its time and level."""

    node_id: str
    message: str
    fields: dict[str, Any]


class JsonLinesFormatter(logging.Formatter):
    """Formats a record whose message is a ``LogEntry``: ts (UTC), level, node, message, fields.

    A field named like one of the first four is left out.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return one JSON line without the newline; lone surrogates are escaped."""
        entry = cast(LogEntry, record.msg)
        line = {
            "ts": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "node": entry.node_id,
            "message": entry.message,
        }
        for name, value in entry.fields.items():
            line.setdefault(name, value)
        text = json.dumps(line, default=str, ensure_ascii=False)
        return text.encode("utf-8", "backslashreplace").decode("utf-8")


class NodeLog:
    """The log of one node; several nodes in one process may share a stream."""

    def __init__(self, node_id: str, level: str = "info", stream: TextIO | None = None) -> None:
        self._node_id = node_id
        self._logger = logging.Logger(node_id)
        self._logger.setLevel(LEVELS[level])
        handler = logging.StreamHandler(stream or sys.stderr)
        handler.setFormatter(JsonLinesFormatter())
        self._logger.addHandler(handler)

    def write(self, level: str, message: str, fields: dict[str, Any] | None = None) -> None:
        """Write one line; an unknown level is logged as "error"."""
        number = LEVELS.get(level, logging.ERROR)
        if not self._logger.isEnabledFor(number):
            return
        self._logger.log(number, LogEntry(self._node_id, message, fields or {}))


class LibraryLogHandler(logging.Handler):
    """Forwards warnings and errors that libraries log through ``logging`` to a node's log."""

    def __init__(self, node_log: NodeLog) -> None:
        super().__init__(logging.WARNING)
        self._node_log = node_log

    def emit(self, record: logging.LogRecord) -> None:
        """Write the record as one line, with the logger's name and any traceback."""
        fields = {"logger": record.name}
        if record.exc_info:
            fields["traceback"] = logging.Formatter().formatException(record.exc_info)
        self._node_log.write(record.levelname.lower(), record.getMessage(), fields)
