"""All effects that a reducer can return. They are plain data; a runtime executes them in order."""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.frozen
class Effect:
    """Base class of all effects."""


@attrs.frozen
class StartTimer(Effect):
    """Deliver ``TimerFired(name)`` after ``delay_s``; replaces a pending timer of that name."""

    name: str
    delay_s: float


@attrs.frozen
class CancelTimer(Effect):
    """Cancel a pending timer; unknown names are ignored."""

    name: str


@attrs.frozen
class Call(Effect):
    """Send a thrift request to ``address`` ("ip:port").

    Ends with exactly one ``CallAnswered`` or ``CallFailed`` with this ``call_id``, which is unique
    in the process. The call is not sent after monotonic time ``not_after`` of this process. This is
    checked right before the send, so that a process that was frozen until its lease had expired
    sends nothing.
    """

    call_id: int
    address: str
    request: Any
    deadline_s: float
    not_after: float | None = None


@attrs.frozen
class Answer(Effect):
    """Send the answer to a ``CallArrived``; dropped if the caller's connection has closed."""

    call_id: int
    answer: Any


@attrs.frozen
class WriteRecords(Effect):
    """Append ``records`` to ``file`` and sync it; ends with ``WriteFinished`` or ``WriteFailed``.

    Writes to one file are executed in order; queued ones are synced together.
    """

    ticket: int
    file: str
    records: tuple[bytes, ...]


@attrs.frozen
class RewriteFile(Effect):
    """Atomically replace the content of ``file`` with ``records`` and sync it.

    Ends with ``WriteFinished`` or ``WriteFailed``, as ``WriteRecords`` does.
    """

    ticket: int
    file: str
    records: tuple[bytes, ...]


@attrs.frozen
class Compute(Effect):
    """Run a pure function off the event loop; ends with ``Computed``."""

    ticket: int
    function: Callable[[Any], Any]
    argument: Any


@attrs.frozen
class ReadRequestBody(Effect):
    """Read the body of a request that was delivered with ``body_withheld``."""

    request_id: int


@attrs.frozen
class HttpRespond(Effect):
    """Send a complete response to an ``HttpRequestArrived``."""

    request_id: int
    status: int
    body: bytes
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HttpStreamStart(Effect):
    """Start a chunked response to an ``HttpRequestArrived``."""

    request_id: int
    status: int
    headers: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class HttpStreamChunk(Effect):
    """Send one chunk of a response begun with ``HttpStreamStart``."""

    request_id: int
    data: bytes


@attrs.frozen
class HttpStreamEnd(Effect):
    """Complete a chunked response with its final chunk."""

    request_id: int


@attrs.frozen
class HttpStreamAbort(Effect):
    """Close the connection without the final chunk: the caller sees an incomplete response."""

    request_id: int


@attrs.frozen
class HttpCall(Effect):
    """Make an HTTP request to ``address`` ("ip:port").

    Without ``streaming`` it ends with one ``HttpAnswered`` or ``HttpFailed``. With it, the events
    are ``HttpResponseStarted``, chunks, then ``HttpResponseCompleted``; or ``HttpFailed`` at any
    point. ``connect_deadline_s`` limits the time to connect, ``first_byte_deadline_s`` the time
    until the response's head (0: no separate limit), ``deadline_s`` the whole call.
    ``not_after`` is the same as in ``Call``. ``echoed_header`` names, in lower case, a header of
    the request that the server repeats in its response; "" if it repeats none. A response with
    another value belongs to an earlier request: it is skipped, and the connection is not used
    again. A connection carries each value at most once; a call without one gets a connection of
    its own.
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
    echoed_header: str = ""

    @property
    def echoed_id(self) -> str:
        """The value that the server repeats, "" if the call has none."""
        return self.headers.get(self.echoed_header, "")

    def is_response_to_another(self, headers: dict[str, str]) -> bool:
        """Return whether a response with these headers belongs to another request."""
        sent = self.echoed_id
        return bool(sent) and headers.get(self.echoed_header, sent) != sent

    def is_identified_by(self, headers: dict[str, str]) -> bool:
        """Return whether a response states that it belongs to this call."""
        sent = self.echoed_id
        return bool(sent) and headers.get(self.echoed_header) == sent


@attrs.frozen
class CancelHttpCall(Effect):
    """Cancel an ``HttpCall`` and close its connection; no further event of it is delivered."""

    call_id: int


@attrs.frozen
class Log(Effect):
    """Write one JSON line to the log; ``fields`` holds JSON values and is merged into the line."""

    level: str
    message: str
    fields: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class StopProcess(Effect):
    """Stop this process with ``exit_code``; ``reason`` is logged."""

    exit_code: int
    reason: str
