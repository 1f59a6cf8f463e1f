"""State of each replica as measured by this front's own requests: load, limit and health."""

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
RECENT_LOAD_DECAY_S = 10.0
# A new replica's limit starts at this multiple of an even share among all fronts.
INITIAL_SHARE_FACTOR = 2.0
PROBATION_LIMIT = 1


@attrs.define
class ReplicaState:
    """State of one incarnation of a replica.

    ``in_flight`` counts attempts of this front only. The recent load is the number of load
    tokens sent there, decaying with the time constant ``RECENT_LOAD_DECAY_S``.
    """

    incarnation: str
    limit: ConcurrencyLimit
    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    in_flight: int = 0
    measured_duration_s: float | None = None
    _recent_load: float = 0.0
    _recent_at: float = 0.0

    @property
    def allowed(self) -> int:
        """How many requests this front may run there at once."""
        return PROBATION_LIMIT if self.health.on_probation else self.limit.value

    @property
    def duration_s(self) -> float:
        """Average duration of a complete answer, ``DEFAULT_DURATION_S`` if none was measured."""
        measured = self.measured_duration_s
        return DEFAULT_DURATION_S if measured is None else measured

    @property
    def has_capacity(self) -> bool:
        """Whether this front may send one more request there now."""
        return self.in_flight < self.allowed

    def recent_load(self, now: float) -> float:
        """Return the decayed number of load tokens sent there."""
        return self._recent_load * exp((self._recent_at - now) / RECENT_LOAD_DECAY_S)

    def record_completion(self, elapsed_s: float) -> None:
        """Record a complete answer in health and average duration."""
        self.health.record_success()
        usual = self.measured_duration_s if self.measured_duration_s is not None else elapsed_s
        self.measured_duration_s = usual + DURATION_WEIGHT * (elapsed_s - usual)

    def add_load(self, load_tokens: float, now: float) -> None:
        """Add a request that is being sent there to the recent load."""
        self._recent_load = self.recent_load(now) + load_tokens
        self._recent_at = now


class ReplicaStates:
    """States of all replicas that serve a model in the view or still run attempts."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._states: dict[str, ReplicaState] = {}

    def __getitem__(self, replica: ServingReplica) -> ReplicaState:
        return self._states[replica.replica_id]

    def items(self) -> Iterable[tuple[str, ReplicaState]]:
        """Return pairs of replica id and state, sorted by id."""
        return sorted(self._states.items())

    def apply_view(self, view: RoutingView) -> None:
        """Add new replicas, reset restarted ones, and remove idle ones that are gone."""
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
        """Return whether more than half are ejected, so that this front may be the one cut off."""
        ejected = sum(state.health.is_ejected(now) for state in self._states.values())
        return 2 * ejected > len(self._states)

    def record_start(self, replica: ServingReplica, load_tokens: float, now: float) -> None:
        """Count an attempt that is being sent to the replica."""
        state = self[replica]
        state.in_flight += 1
        state.add_load(load_tokens, now)

    def record_end(self, report: AttemptReport, now: float) -> bool:
        """Record the end of an attempt; return whether it ejects the replica.

        An attempt at an earlier incarnation only lowers ``in_flight``.
        """
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
        return state.health.record_failure(report.outcome, now, self._random)

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
