"""Everything that can happen to a reducer.

A runtime (the daemon's or the simulator's) delivers exactly these events, one at a
time. Roles never define events of their own for the outside world, so that every
role runs unchanged under both runtimes. Times are seconds of a monotonic clock.
"""

from enum import Enum
from typing import Any

import attrs


@attrs.frozen
class Event:
    """Base of all events."""


@attrs.frozen
class Started(Event):
    """The first event of a process. ``records`` is what its disk held, by file.

    ``disk_identity`` names the data folder ("" without a disk); ``disk_problem`` is a
    sentence when the folder was blank, foreign or damaged, else "".
    """

    records: dict[str, tuple[bytes, ...]] = attrs.field(factory=dict)
    disk_identity: str = ""
    disk_problem: str = ""


@attrs.frozen
class StopRequested(Event):
    """SIGTERM: finish gracefully, then emit ``StopProcess``."""


@attrs.frozen
class TimerFired(Event):
    """The timer ``name`` set by ``StartTimer`` is due."""

    name: str


@attrs.frozen
class CallArrived(Event):
    """A peer's thrift request; answer it once with ``Answer(call_id, ...)``."""

    call_id: int
    sender: str
    request: Any


@attrs.frozen
class CallAnswered(Event):
    """The answer to this reducer's own ``Call`` with that id."""

    call_id: int
    answer: Any


@attrs.frozen
class CallFailed(Event):
    """A ``Call`` ended without an answer: deadline, refused or broken connection.

    ``maybe_delivered`` is False only if certainly not one byte was written.
    """

    call_id: int
    reason: str
    maybe_delivered: bool


@attrs.frozen
class WriteFinished(Event):
    """All of a ``WriteRecords`` or ``RewriteFile`` is synced to disk."""

    ticket: int
    elapsed_s: float


@attrs.frozen
class WriteFailed(Event):
    """A write failed; the disk's content is as if it may or may not have happened."""

    ticket: int
    reason: str


@attrs.frozen
class Computed(Event):
    """The result of a ``Compute`` effect, or the exception's text."""

    ticket: int
    result: Any
    error: str = ""


@attrs.frozen
class HttpRequestArrived(Event):
    """An HTTP request, whole unless ``body_withheld``.

    ``headers`` have lower-case names. A path in the role's ``head_first_paths`` is
    announced from the head alone (``body_withheld`` True, ``body`` empty): the reducer
    answers from the head, or asks for the rest with ``ReadRequestBody`` and then gets
    ``HttpRequestBody``. ``target`` is the request target as the caller wrote it, and
    ``listener`` the name of the listening address ("" for the main one).
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
    """The rest of a request whose body was withheld."""

    request_id: int
    body: bytes


@attrs.frozen
class HttpRequestClosed(Event):
    """The caller's connection ended before the answer was complete."""

    request_id: int


@attrs.frozen
class HttpAnswered(Event):
    """The complete answer to a non-streaming ``HttpCall``."""

    call_id: int
    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class HttpResponseStarted(Event):
    """Status and headers of a streaming ``HttpCall``."""

    call_id: int
    status: int
    headers: dict[str, str]


@attrs.frozen
class HttpBodyChunk(Event):
    """Bytes of a streaming answer, as they came (not cut at lines)."""

    call_id: int
    data: bytes


@attrs.frozen
class HttpResponseCompleted(Event):
    """A streaming answer ended properly (its final chunk came)."""

    call_id: int


class SendState(Enum):
    """How far a failed HTTP call had got."""

    NOT_SENT = "not one byte was written"
    MAYBE_SENT = "some or all may have been written"
    RESPONDING = "the answer had begun"


@attrs.frozen
class HttpFailed(Event):
    """An ``HttpCall`` ended without a complete answer."""

    call_id: int
    reason: str
    send_state: SendState
