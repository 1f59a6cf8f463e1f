"""What clients, replicas, operators and the platform saw; the only input of the oracles."""

import time
from collections.abc import Callable

import attrs


@attrs.define
class Request:
    """One request of a client. Times are seconds since the soak's start; ``status`` 0: no answer.

    ``problem`` names what the client itself found wrong with the response.
    """

    request_id: str
    path: str
    front: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    complete: bool = False
    problem: str = ""


@attrs.frozen
class Run:
    """A replica began to work on a request."""

    request_id: str
    replica_id: str
    at: float


@attrs.define
class Change:
    """A configuration that an operator sent; ``status`` 0 without a clear answer."""

    version: int
    base: int
    valid: bool
    body: bytes
    sent_at: float
    answered_at: float = 0.0
    status: int = 0


@attrs.frozen
class ProcessEnd:
    """A process ended; ``by_us`` if the soak's own signal ended it."""

    process: str
    exit_code: int
    at: float
    by_us: bool


@attrs.frozen
class Occurrence:
    """An event of the plan that was carried out, and how."""

    at: float
    text: str


@attrs.define
class Ledger:
    """All observations of one soak."""

    requests: list[Request] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    changes: list[Change] = attrs.field(factory=list)
    ends: list[ProcessEnd] = attrs.field(factory=list)
    occurrences: list[Occurrence] = attrs.field(factory=list)
    unready_fronts: list[str] = attrs.field(factory=list)
    read_back: bytes = b""
    read_back_after_restart: bytes = b""
    quiet_from: float = 0.0
    _started_at: float = attrs.field(factory=time.monotonic)
    listener: Callable[[str], None] = lambda text: None

    def now(self) -> float:
        """Return the seconds since the soak's start."""
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        """Record what was done, and show it."""
        occurrence = Occurrence(self.now(), text)
        self.occurrences.append(occurrence)
        self.listener(f"{occurrence.at:7.2f} {text}")
