"""All events that a runtime delivers to a reducer, one at a time.

The daemon's runtime and the simulator deliver exactly these events, so every role runs unchanged
under both. Roles define further events only for their own components (``InternalEvent``). Times
are seconds of a monotonic clock.
"""

from enum import Enum
from typing import Any

import attrs


@attrs.frozen
class Event:
    """Base class of all events."""


@attrs.frozen
class Started(Event):
    """The first event of a process.

    ``records`` holds the records stored in the data folder, by file. ``disk_identity`` identifies
    the data folder ("" without one). ``disk_problem`` describes a newly created or damaged folder,
    "" if there is no problem.
    """

    records: dict[str, tuple[bytes, ...]] = attrs.field(factory=dict)
    disk_identity: str = ""
    disk_problem: str = ""


@attrs.frozen
class StopRequested(Event):
    """The process received SIGTERM: stop gracefully, then return ``StopProcess``."""


@attrs.frozen
class TimerFired(Event):
    """The timer ``name`` that ``StartTimer`` started is due."""

    name: str


@attrs.frozen
class CallArrived(Event):
    """A thrift request of node ``sender``; answer it once with ``Answer(call_id, ...)``."""

    call_id: int
    sender: str
    request: Any


@attrs.frozen
class CallAnswered(Event):
    """The answer to the reducer's ``Call`` with this ``call_id``."""

    call_id: int
    answer: Any


@attrs.frozen
class CallFailed(Event):
    """A ``Call`` ended without an answer: deadline exceeded, connection refused or broken.

    ``maybe_delivered`` is False only if it is certain that no byte of the request was written.
    """

    call_id: int
    reason: str
    maybe_delivered: bool


@attrs.frozen
class WriteFinished(Event):
    """A ``WriteRecords`` or ``RewriteFile`` is synced, ``elapsed_s`` after it was queued."""

    ticket: int
    elapsed_s: float


@attrs.frozen
class WriteFailed(Event):
    """A write failed; its records may or may not be on disk."""

    ticket: int
    reason: str


@attrs.frozen
class Computed(Event):
    """The result of a ``Compute``; if the function raised, ``error`` describes the exception."""

    ticket: int
    result: Any
    error: str = ""


@attrs.frozen
class HttpRequestArrived(Event):
    """An HTTP request, complete unless ``body_withheld``.

    ``headers`` has lower-case names. A request whose path starts with one of the reducer's
    ``head_first_paths`` is delivered before its body is read (``body_withheld`` True, ``body``
    empty): the reducer either responds to the head, or returns ``ReadRequestBody`` and then
    receives ``HttpRequestBody``. ``target`` is the request target as sent by the caller;
    ``listener`` is the name of the listening address ("" for the main one).
    """

    request_id: int
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    body_withheld: bool = False
    remote_address: str = ""
    target: str = ""
    listener: str = ""


@attrs.frozen
class HttpRequestBody(Event):
    """The body of a request that was delivered with ``body_withheld``."""

    request_id: int
    body: bytes


@attrs.frozen
class HttpRequestClosed(Event):
    """The caller's connection closed before the response was complete."""

    request_id: int


@attrs.frozen
class HttpAnswered(Event):
    """The complete response to a non-streaming ``HttpCall``; header names are lower-case."""

    call_id: int
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class HttpResponseStarted(Event):
    """Status and headers of the response to a streaming ``HttpCall``."""

    call_id: int
    status: int
    headers: dict[str, str]


@attrs.frozen
class HttpBodyChunk(Event):
    """Bytes of a streaming response as received, not split at line boundaries."""

    call_id: int
    data: bytes


@attrs.frozen
class HttpResponseCompleted(Event):
    """A streaming response was received completely."""

    call_id: int


class SendState(Enum):
    """How much of an HTTP call had been sent or received when it failed."""

    NOT_SENT = "not one byte was written"
    MAYBE_SENT = "some or all may have been written"
    RESPONDING = "the answer had begun"


@attrs.frozen
class HttpFailed(Event):
    """An ``HttpCall`` ended without a complete response."""

    call_id: int
    reason: str
    send_state: SendState
