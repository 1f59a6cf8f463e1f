"""Record of what clients, replicas, platform and operator observed; the oracles' only input."""

import attrs

from rooklug_lab.gateway.contact import ContactRecord


@attrs.frozen
class Run:
    """A replica started to execute a request; ``cold``: during its slow start."""

    request_id: str
    replica_id: str
    zone: str
    started_at: float
    cold: bool
    region: str = ""


@attrs.frozen
class Arrival:
    """A request reached a replica, which may still reject it."""

    request_id: str
    service: str
    at: float


@attrs.define
class Attempt:
    """One attempt of a client. ``ended_at`` is 0 until the response has completed or failed."""

    request_id: str
    region: str
    path: str
    is_stream: bool
    sent_at: float
    status: int = 0
    signature: str = ""
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0

    @property
    def served(self) -> bool:
        """Whether a complete response with a 2xx status was received."""
        return self.complete and 200 <= self.status < 300


@attrs.define
class Order:
    """An operator's order: a configuration change, or "empty" or "restore" for a zone.

    ``acknowledged_at`` is the time of the acknowledgement, 0 if there was none.
    """

    kind: str
    version: int = 0
    zone: str = ""
    document: bytes = b""
    sent_at: float = 0.0
    acknowledged_at: float = 0.0
    refused: bool = False


@attrs.frozen
class LeavingReplica:
    """A replica that the platform's listing first showed as leaving at ``shown_at``."""

    replica_id: str
    shown_at: float


@attrs.frozen
class Disturbance:
    """An injected fault and the interval during which it was active."""

    kind: str
    started_at: float
    ended_at: float


@attrs.frozen
class FrontState:
    """What a front serves under at a moment: the configuration's version and the drained zones."""

    at: float
    front: str
    ip: str
    version: int
    drained_zones: frozenset[str]


@attrs.define
class Journal:
    """Everything observed in one run. Times are in seconds of the simulated world's clock.

    ``front_states`` and ``contact`` are recorded by scenarios that judge how soon fronts learn of
    a change; without them ``contact`` is None.
    """

    runs: list[Run] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    attempts: list[Attempt] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    leaving: list[LeavingReplica] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    read_back: bytes = b""
    front_states: list[FrontState] = attrs.field(factory=list)
    contact: ContactRecord | None = None

    def is_fault_free(self, at: float, before_s: float) -> bool:
        """Return whether no fault was active in the ``before_s`` seconds up to ``at``."""
        return not any(d.started_at <= at and at - before_s < d.ended_at for d in self.disturbances)
