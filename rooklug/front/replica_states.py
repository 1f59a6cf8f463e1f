"""What this front knows of each replica by its own requests: load, limit, health."""

from collections.abc import Iterable
from math import ceil, exp
from random import Random

import attrs

from rooklug.front.attempt import AttemptOutcome, AttemptReport
from rooklug.front.health import ReplicaHealth
from rooklug.front.limits import ConcurrencyLimit
from rooklug.front.routing_view import RoutingView, ServingReplica

DEFAULT_DURATION_S = 1.0
DURATION_WEIGHT = 0.1
RECENT_LOAD_S = 10.0
INITIAL_SHARE_FACTOR = 2.0
PROBATION_LIMIT = 1


@attrs.define
class ReplicaState:
    """One replica. ``recent_load`` are load tokens sent there, fading over ``RECENT_LOAD_S``."""

    incarnation: str
    limit: ConcurrencyLimit
    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    in_flight: int = 0
    measured_duration_s: float | None = None
    _recent_load: float = 0.0
    _recent_at: float = 0.0

    @property
    def allowed(self) -> int:
        """How many requests may run there at once from this front."""
        return PROBATION_LIMIT if self.health.on_probation else self.limit.value

    @property
    def duration_s(self) -> float:
        """The usual seconds of a complete answer there."""
        measured = self.measured_duration_s
        return DEFAULT_DURATION_S if measured is None else measured

    @property
    def has_capacity(self) -> bool:
        """Whether one more request may run there."""
        return self.in_flight < self.allowed

    def recent_load(self, now: float) -> float:
        """Return the load tokens sent there lately."""
        return self._recent_load * exp((self._recent_at - now) / RECENT_LOAD_S)

    def record_completion(self, elapsed_s: float) -> None:
        """Count a complete answer."""
        self.health.succeeded()
        usual = self.measured_duration_s if self.measured_duration_s is not None else elapsed_s
        self.measured_duration_s = usual + DURATION_WEIGHT * (elapsed_s - usual)

    def add_load(self, load_tokens: float, now: float) -> None:
        """Count a request that is sent there."""
        self._recent_load = self.recent_load(now) + load_tokens
        self._recent_at = now


class ReplicaStates:
    """The states of all replicas that the view lists or that still run something."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._states: dict[str, ReplicaState] = {}

    def __getitem__(self, replica: ServingReplica) -> ReplicaState:
        return self._states[replica.replica_id]

    def items(self) -> Iterable[tuple[str, ReplicaState]]:
        """Return the states by replica id, sorted."""
        return sorted(self._states.items())

    def apply_view(self, view: RoutingView) -> None:
        """Add what is new, start over at a new incarnation, forget what is gone and idle."""
        fronts = max(1, len(view.fronts_in()))
        listed: set[str] = set()
        for model in view.models():
            for replica in view.serving(model):
                listed.add(replica.replica_id)
                self._update_replica(replica, fronts)
        for replica_id in [name for name in self._states if name not in listed]:
            if self._states[replica_id].in_flight == 0:
                del self._states[replica_id]

    def most_are_ejected(self, now: float) -> bool:
        """Return whether so many fail at once that this front may be the one cut off."""
        ejected = sum(state.health.is_ejected(now) for state in self._states.values())
        return 2 * ejected > len(self._states)

    def record_start(self, replica: ServingReplica, load_tokens: float, now: float) -> None:
        """Count an attempt that is sent."""
        state = self[replica]
        state.in_flight += 1
        state.add_load(load_tokens, now)

    def record_end(self, report: AttemptReport, now: float) -> bool:
        """Count an attempt that is over; return whether it ejects the replica."""
        replica = report.serve_at.replica
        state = self[replica]
        state.in_flight -= 1
        if state.incarnation != replica.incarnation:
            return False
        if report.first_chunk_s is not None:
            in_flight = state.in_flight + 1
            state.limit.record_first_chunk(report.first_chunk_s, report.prompt_tokens, in_flight)
        if report.outcome is AttemptOutcome.SUCCESS:
            state.record_completion(report.elapsed_s)
            return False
        if report.outcome is AttemptOutcome.BUSY:
            state.limit.record_busy()
        elif report.outcome is AttemptOutcome.TIMED_OUT:
            state.limit.record_timeout()
        return state.health.failed(report.outcome, now, self._random)

    def _mean_duration(self) -> float | None:
        measured = [state.measured_duration_s for _, state in self.items()]
        known = [duration for duration in measured if duration is not None]
        return sum(known) / len(known) if known else None

    def _update_replica(self, replica: ServingReplica, fronts: int) -> None:
        state = self._states.get(replica.replica_id)
        if state is not None and state.incarnation == replica.incarnation:
            state.limit.set_maximum(replica.concurrency)
            return
        initial = ceil(INITIAL_SHARE_FACTOR * replica.concurrency / fronts)
        fresh = ReplicaState(replica.incarnation, ConcurrencyLimit(replica.concurrency, initial))
        fresh.measured_duration_s = self._mean_duration()
        if state is not None:
            fresh.in_flight = state.in_flight
            fresh.measured_duration_s = state.measured_duration_s
        self._states[replica.replica_id] = fresh
