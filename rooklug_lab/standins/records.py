"""What stand-ins write down for the oracles. Times are monotonic seconds."""

from enum import Enum

import attrs


class GenerationOutcome(Enum):
    """How a generation at a replica ended."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    BROKEN = "broken"


@attrs.define
class Generation:
    """One run of a model request at a replica; ``run`` is unique at its incarnation."""

    request_id: str
    route: str
    model: str
    caller_region: str
    replica_id: str
    incarnation: str
    region: str
    zone: str
    run: int
    prompt_tokens: int
    cached_share: float
    started_s: float
    first_piece_s: float = -1.0
    ended_s: float = -1.0
    pieces: int = 0
    outcome: GenerationOutcome = GenerationOutcome.RUNNING


@attrs.frozen
class OrderReceived:
    """A load or unload order as a replica got it; ``verdict`` is the code it answered."""

    at_s: float
    replica_id: str
    kind: str
    order_id: str
    model: str
    token: tuple[int, int]
    highest_token: tuple[int, int]
    verdict: str


@attrs.define
class ReplicaJournal:
    """All that one model replica did, over all its incarnations."""

    replica_id: str
    generations: list[Generation] = attrs.field(factory=list)
    orders: list[OrderReceived] = attrs.field(factory=list)
    probes: int = 0
    starts: list[tuple[float, str]] = attrs.field(factory=list)
    refused_busy: int = 0
    refused_not_loaded: int = 0


@attrs.frozen
class Execution:
    """One execution at a once-only back end."""

    at_s: float
    key: str
    request_id: str
    backend_id: str
    region: str


@attrs.define
class BackendJournal:
    """All that one once-only back end executed, over all its incarnations."""

    backend_id: str
    executions: list[Execution] = attrs.field(factory=list)

    def count(self, key: str) -> int:
        """Return how often ``key`` ran here."""
        return sum(execution.key == key for execution in self.executions)


@attrs.frozen
class ReadyCheck:
    """One answer of a front to the platform's readiness check (status 0: none)."""

    at_s: float
    front_address: str
    status: int


@attrs.frozen
class ListChange:
    """A change of the platform's list of replicas."""

    at_s: float
    version: int
    kind: str
    replica_id: str


@attrs.define
class PlatformJournal:
    """What the platform did and saw."""

    changes: list[ListChange] = attrs.field(factory=list)
    ready_checks: list[ReadyCheck] = attrs.field(factory=list)


class Outcome(Enum):
    """How a request ended for its caller."""

    PENDING = "pending"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    FAILED = "failed"
    WRONG = "wrong"


@attrs.define
class Attempt:
    """One try of a request at one front; each has a request id of its own."""

    request_id: str
    front_address: str
    started_s: float
    first_byte_s: float = -1.0
    ended_s: float = -1.0
    outcome: Outcome = Outcome.PENDING
    status: int = 0
    detail: str = ""


@attrs.define
class CallerRequest:
    """One request of a caller, with all its attempts.

    ``key`` is set for once-only requests. ``served_by`` is "replica/incarnation/run" as the
    answer's text tells (stand-ins write it there), or "". ``problems`` lists every promise
    that the answer broke, in words.
    """

    request_id: str
    route: str
    region: str
    kind: str
    started_s: float
    deadline_s: float
    key: str = ""
    first_byte_s: float = -1.0
    ended_s: float = -1.0
    outcome: Outcome = Outcome.PENDING
    served_by: str = ""
    repeated: bool = False
    attempts: list[Attempt] = attrs.field(factory=list)
    problems: list[str] = attrs.field(factory=list)


@attrs.define
class CallerJournal:
    """All requests of one caller, in the order of their start."""

    caller_id: str
    requests: list[CallerRequest] = attrs.field(factory=list)


@attrs.define
class ChangeRecord:
    """An operator's order and its end. ``kind``: "put", "patch", "empty" or "restore"."""

    kind: str
    name: str
    version: int
    digest: str
    started_s: float
    acknowledged_s: float = -1.0
    outcome: Outcome = Outcome.PENDING
    sends: int = 0
    last_status: int = 0
    detail: str = ""


@attrs.frozen
class FrontVersion:
    """A front was seen to serve under a configuration version (-1: it didn't answer)."""

    at_s: float
    front_address: str
    version: int


@attrs.define
class OperatorJournal:
    """What an operator ordered and what it saw of the configuration at the fronts."""

    operator_id: str
    changes: list[ChangeRecord] = attrs.field(factory=list)
    versions: list[FrontVersion] = attrs.field(factory=list)
