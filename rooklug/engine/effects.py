"""Everything a reducer can ask for. Effects are data; a runtime obeys them in order."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.frozen
class Effect:
    """Base of all effects."""


@attrs.frozen
class StartTimer(Effect):
    """Fire ``TimerFired(name)`` after ``delay_s``; replaces a pending timer of that name."""

    name: str
    delay_s: float


@attrs.frozen
class CancelTimer(Effect):
    """Forget a pending timer; unknown names are ignored."""

    name: str


@attrs.frozen
class Call(Effect):
    """Send a thrift request to ``address`` ("ip:port").

    Ends in exactly one ``CallAnswered`` or ``CallFailed`` with this id (unique a process).
    ``not_after``: monotonic time of this process after which it must not be sent any more
    (checked right before the send: an owner frozen past its lease sends nothing).
    """

    call_id: int
    address: str
    request: Any
    deadline_s: float
    not_after: float | None = None


@attrs.frozen
class Answer(Effect):
    """Answer a ``CallArrived``."""

    call_id: int
    answer: Any


@attrs.frozen
class WriteRecords(Effect):
    """Append ``records`` to ``file`` and sync; then ``WriteFinished(ticket)``.

    Writes to one file are carried out in order; those that wait are synced together.
    """

    ticket: int
    file: str
    records: tuple[bytes, ...]


@attrs.frozen
class RewriteFile(Effect):
    """Replace the whole of ``file`` by ``records``, atomically, and sync."""

    ticket: int
    file: str
    records: tuple[bytes, ...]


@attrs.frozen
class Compute(Effect):
    """Run a pure function outside the event loop; then ``Computed(ticket, result)``."""

    ticket: int
    function: Callable[[Any], Any]
    argument: Any


@attrs.frozen
class ReadRequestBody(Effect):
    """Read on a request whose body was withheld."""

    request_id: int


@attrs.frozen
class HttpRespond(Effect):
    """Answer an ``HttpRequestArrived`` with a complete response."""

    request_id: int
    status: int
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HttpStreamStart(Effect):
    """Begin a chunked response."""

    request_id: int
    status: int
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HttpStreamChunk(Effect):
    """Send one chunk of a streamed response."""

    request_id: int
    data: bytes


@attrs.frozen
class HttpStreamEnd(Effect):
    """End a chunked response properly."""

    request_id: int


@attrs.frozen
class HttpStreamAbort(Effect):
    """Close the caller's connection without the final chunk: visibly broken."""

    request_id: int


@attrs.frozen
class HttpCall(Effect):
    """Make an HTTP request to ``address`` ("ip:port").

    Not streaming: one ``HttpAnswered`` or ``HttpFailed``. Streaming: ``HttpResponseStarted``,
    chunks, then ``HttpResponseCompleted``; or ``HttpFailed`` at any point.
    ``connect_deadline_s`` bounds the connection; ``deadline_s`` the whole call;
    ``first_byte_deadline_s`` the wait for the head (0: no bound of its own).
    ``not_after`` as in ``Call``.
    """

    call_id: int
    address: str
    method: str
    path: str
    body: bytes
    deadline_s: float
    headers: dict[str, str] = attrs.field(factory=dict)
    streaming: bool = False
    connect_deadline_s: float = 1.0
    first_byte_deadline_s: float = 0.0
    not_after: float | None = None


@attrs.frozen
class CancelHttpCall(Effect):
    """Close the connection of an ``HttpCall``; no event about it follows."""

    call_id: int


@attrs.frozen
class Log(Effect):
    """One JSON line in the log. ``fields`` are JSON values; ``change`` ids go there."""

    level: str
    message: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class StopProcess(Effect):
    """End this process with ``exit_code`` (a broken invariant, or a graceful stop)."""

    exit_code: int
    reason: str
