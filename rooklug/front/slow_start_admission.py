"""Limits the requests that replicas in slow start get.

Both limits are scaled by the slow start's progress:

- relative: next to replicas at full share, one in slow start earns its share of the requests;
- absolute: a token bucket whose rate lets all fronts together keep about
  ``capacity share x concurrency`` requests running at the replica. If no replica is at full
  share, only this limit applies, so that a fleet that is entirely in slow start serves as much
  as its shares allow.
"""

from random import Random

import attrs

from rooklug.front.replica_states import ReplicaStates
from rooklug.front.routing_view import RoutingView, ServingReplica
from rooklug.front.slow_start_tracker import SlowStartTracker

ONE_REQUEST = 1.0
MIN_DURATION_S = 0.05


@attrs.define
class Allowance:
    """Requests that this front may send to a replica in slow start, for one model.

    Attributes:
        since: Start of the slow start, which identifies it; a new one gets a new allowance.
        earned: Part of a request earned by the relative limit, at most 1.
        tokens: Level of the token bucket of the absolute limit, at most 1.
        refilled_at: When the bucket was last refilled.
    """

    since: float | None
    earned: float
    tokens: float
    refilled_at: float


class SlowStartAdmission:
    """Allowances of the replicas in slow start, by replica id and model."""

    def __init__(
        self, slow_starts: SlowStartTracker, states: ReplicaStates, random: Random
    ) -> None:
        self._slow_starts = slow_starts
        self._states = states
        self._random = random
        self._allowances: dict[tuple[str, str], Allowance] = {}

    def apply_view(self, view: RoutingView) -> None:
        """Drop the allowances of replicas and models that the view no longer serves."""
        served = {
            (entry.replica_id, model) for model in view.models() for entry in view.serving(model)
        }
        self._allowances = {
            key: allowance for key, allowance in self._allowances.items() if key in served
        }

    def earn(
        self,
        model: str,
        full: list[ServingReplica],
        slow: list[ServingReplica],
        now: float,
    ) -> None:
        """Credit the replicas in slow start with their parts of one arriving request.

        The request is divided by concurrency, that of replicas in slow start scaled by their share.
        """
        weights = [
            self._slow_starts.replica_share(replica.replica_id, model, now) * replica.concurrency
            for replica in slow
        ]
        total = sum(replica.concurrency for replica in full) + sum(weights)
        for replica, weight in zip(slow, weights, strict=True):
            allowance = self._allowance(replica, model, now)
            allowance.earned = min(ONE_REQUEST, allowance.earned + weight / total)

    def has_capacity_token(
        self, replica: ServingReplica, model: str, view: RoutingView, now: float
    ) -> bool:
        """Refill the bucket and return whether the absolute limit admits one more request."""
        allowance = self._allowance(replica, model, now)
        elapsed = now - allowance.refilled_at
        allowance.refilled_at = now
        rate = self._rate(replica, model, view, now)
        allowance.tokens = min(ONE_REQUEST, allowance.tokens + rate * elapsed)
        return allowance.tokens >= ONE_REQUEST

    def has_earned(self, replica: ServingReplica, model: str, now: float) -> bool:
        """Return whether the relative limit admits one more request."""
        return self._allowance(replica, model, now).earned >= ONE_REQUEST

    def spend(self, replica: ServingReplica, model: str, now: float) -> None:
        """Charge both limits for a request that is sent to a replica in slow start."""
        allowance = self._allowance(replica, model, now)
        allowance.earned = max(0.0, allowance.earned - ONE_REQUEST)
        allowance.tokens = max(0.0, allowance.tokens - ONE_REQUEST)

    def _allowance(self, replica: ServingReplica, model: str, now: float) -> Allowance:
        key = (replica.replica_id, model)
        since = self._slow_starts.slow_start_since(*key)
        allowance = self._allowances.get(key)
        if allowance is None or allowance.since != since:
            # Random initial levels keep the first requests of all fronts from arriving together.
            earned, tokens = self._random.random(), self._random.random()
            allowance = Allowance(since, earned, tokens, now)
            self._allowances[key] = allowance
        return allowance

    def _rate(self, replica: ServingReplica, model: str, view: RoutingView, now: float) -> float:
        """Return this front's part of the requests per second that all fronts may send."""
        here = replica.region == view.own_region
        fronts = view.fronts_in((view.own_region,)) if here else view.fronts_in()
        share = self._slow_starts.capacity_share(replica.replica_id, model, now)
        duration = max(self._states[replica].duration_s, MIN_DURATION_S)
        return share * replica.concurrency / (max(1, len(fronts)) * duration)
