"""What clients, replicas, the platform and the operator have seen; oracles read only this."""

import attrs


@attrs.frozen
class Run:
    """A replica has begun to work on a request."""

    request_id: str
    replica_id: str
    zone: str
    at: float
    cold: bool
    region: str = ""


@attrs.frozen
class Arrival:
    """A request has reached a replica, which may yet reject it."""

    request_id: str
    service: str
    at: float


@attrs.define
class Attempt:
    """One attempt of a client. ``ended_at`` 0: no end was seen."""

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
        """Whether it got a whole success."""
        return self.complete and 200 <= self.status < 300


@attrs.define
class Order:
    """A change or zone order. ``taken_at`` 0: never acknowledged."""

    kind: str
    version: int = 0
    zone: str = ""
    document: bytes = b""
    sent_at: float = 0.0
    taken_at: float = 0.0
    refused: bool = False


@attrs.frozen
class Leaving:
    """The platform's list has shown a replica as leaving since ``shown_at``."""

    replica_id: str
    shown_at: float


@attrs.frozen
class Disturbance:
    """A fault: from when to when."""

    kind: str
    began: float
    ended: float


@attrs.define
class Journal:
    """Everything that was seen in one run. Times are the world's."""

    runs: list[Run] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    attempts: list[Attempt] = attrs.field(factory=list)
    orders: list[Order] = attrs.field(factory=list)
    leaving: list[Leaving] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    read_back: bytes = b""

    def is_calm(self, at: float, before_s: float) -> bool:
        """Return whether nothing disturbed the deployment from ``before_s`` before ``at``."""
        return not any(d.began <= at and at - before_s < d.ended for d in self.disturbances)
