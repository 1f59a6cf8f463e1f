"""What an oracle may look at: journals of the outside, and the faults that were caused."""

import attrs

from rooklug_lab.standins.records import (
    BackendJournal,
    CallerJournal,
    CallerRequest,
    OperatorJournal,
    PlatformJournal,
    ReplicaJournal,
)

END_OF_RUN_S = float("inf")


@attrs.define
class Fault:
    """A fault that the scenario caused to ``target`` (a process, zone or link)."""

    kind: str
    target: str
    started_s: float
    ended_s: float = END_OF_RUN_S


@attrs.frozen
class OrderSent:
    """A load or unload order as its sender put it on the wire, whether or not it arrived."""

    at_s: float
    sender: str
    token: tuple[int, int]


@attrs.frozen
class ReadBack:
    """A configuration read at the end of the run."""

    version: int
    document: bytes
    digest: str


@attrs.define
class Evidence:
    """Everything that was seen from outside during one run. Times share one clock."""

    callers: list[CallerJournal] = attrs.field(factory=list)
    replicas: list[ReplicaJournal] = attrs.field(factory=list)
    backends: list[BackendJournal] = attrs.field(factory=list)
    platform: PlatformJournal = attrs.field(factory=PlatformJournal)
    operators: list[OperatorJournal] = attrs.field(factory=list)
    faults: list[Fault] = attrs.field(factory=list)
    orders_sent: list[OrderSent] | None = None
    homes: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    zone_of_backend: dict[str, str] = attrs.field(factory=dict)
    region_of_backend: dict[str, str] = attrs.field(factory=dict)
    name_of_front: dict[str, str] = attrs.field(factory=dict)
    documents: dict[str, bytes] = attrs.field(factory=dict)
    read_back: ReadBack | None = None
    read_back_expected: bool = False
    traffic_started_s: float = 0.0
    traffic_ended_s: float = 0.0

    def requests(self) -> list[CallerRequest]:
        """Return all callers' requests."""
        return [request for caller in self.callers for request in caller.requests]


@attrs.frozen
class Violation:
    """One broken promise, in a sentence, at a time of the run."""

    at_s: float
    description: str
