"""Decision records of one placer term. Each record names the change that caused the decision."""

from enum import Enum

import attrs

from rooklug.engine.reducer import ProcessContext
from rooklug.placement.problem import PlacementPlan
from rooklug.wire.generated.control.ttypes import DecisionRecord, VersionMark

MAX_PENDING = 1000


class DecisionKind(Enum):
    """The kind of a decision; the values are published in decision records."""

    PLAN = "plan"
    LOAD = "load"
    UNLOAD = "unload"
    WEIGHTS = "weights"
    EVICT = "evict"
    GIVE_UP = "give_up"
    LOAD_LOST = "load_lost"
    BLOCKED = "blocked"
    REPLICA_LOST = "replica_lost"
    REPLICA_BACK = "replica_back"


@attrs.define
class DecisionLog:
    """Numbers decisions under one fencing token and keeps them until they are published.

    At most ``MAX_PENDING`` are kept; the oldest unpublished ones are dropped first.
    """

    context: ProcessContext
    token: VersionMark
    _sequence: int = 0
    _pending: list[DecisionRecord] = attrs.field(factory=list)

    def record(self, kind: DecisionKind, cause: str, summary: str) -> None:
        """Append a decision with the next sequence number and the current wall-clock time."""
        self._sequence += 1
        decision = DecisionRecord(
            token=self.token,
            sequence=self._sequence,
            kind=kind.value,
            cause=cause,
            summary=summary,
            wall_time_ms=self.context.wall_clock_ms(),
        )
        self._pending = [*self._pending[-(MAX_PENDING - 1) :], decision]

    @property
    def has_pending(self) -> bool:
        """Whether there are unpublished decisions."""
        return bool(self._pending)

    def take_pending(self) -> list[DecisionRecord]:
        """Return and clear the unpublished decisions."""
        pending, self._pending = self._pending, []
        return pending


def record_plan_changes(
    log: DecisionLog, before: PlacementPlan | None, plan: PlacementPlan, cause: str
) -> None:
    """Record how ``plan`` differs from ``before``: assignments, else weights; and new evictions."""
    if before is None or before.assignments != plan.assignments:
        count = sum(len(models) for models in plan.assignments.values())
        summary = f"{count} models on {len(plan.assignments)} replicas by {plan.solver}"
        log.record(DecisionKind.PLAN, cause, summary)
    elif before.matrix != plan.matrix:
        log.record(DecisionKind.WEIGHTS, cause, f"{len(plan.matrix)} cells of the routing matrix")
    evicted_before = before.evicted_models if before is not None else ()
    for model in sorted(set(plan.evicted_models) - set(evicted_before)):
        log.record(DecisionKind.EVICT, cause, f"no room for {model}")
