"""Health verdicts on replicas, from several observers: the probers and the fronts' traffic.

A single observer may itself be disconnected. So its failures alone make a replica suspect (no new
model is placed on it), but not dead. A replica is dead when two observers fail to reach it, or
when one has failed for ``SOLE_OBSERVER_TIMEOUT_S`` without being contradicted. Fronts count a busy
answer as a failure; without a prober that agrees, their failures count only once a probe has had
``PROBE_CONTRADICTION_S`` to contradict them.
"""

from enum import Enum

import attrs

MIN_PROBE_FAILURES = 2
MIN_TRAFFIC_FAILURES = 2
OBSERVERS_FOR_DEAD = 2
SOLE_OBSERVER_TIMEOUT_S = 10.0
HEALTHY_VETO_S = 3.0
"""A healthy observation prevents the verdict dead for this long."""
PROBE_CONTRADICTION_S = 3.0
FRONT_OBSERVATION_TTL_S = 6.0
PROBER_OBSERVATION_TTL_S = 15.0
MAX_SERVING_FRONTS = 8


class Verdict(Enum):
    """The state of a replica's health.

    A suspect replica keeps its models and its traffic but gets no new model. A dead one is
    planned around.
    """

    UNKNOWN = "unknown"
    HEALTHY = "healthy"
    SUSPECT = "suspect"
    DEAD = "dead"


@attrs.frozen
class Observation:
    """The newest observation of one observer. Times are monotonic seconds.

    ``unhealthy_since`` is when its run of unhealthy observations began.
    """

    healthy: bool
    observed_at: float
    unhealthy_since: float
    ttl_s: float


@attrs.define
class ReplicaHealth:
    """The observations of one replica, by observer node id.

    Only the newest ``MAX_SERVING_FRONTS`` fronts with successful requests are kept: hundreds of
    fronts may use hundreds of replicas, and a few of them are enough for the verdict.
    """

    _probers: dict[str, Observation] = attrs.field(factory=dict)
    _failing_fronts: dict[str, Observation] = attrs.field(factory=dict)
    _serving_fronts: dict[str, float] = attrs.field(factory=dict)

    @property
    def probed(self) -> bool:
        """Whether any prober has recorded an observation yet."""
        return bool(self._probers)

    def record_probe_success(self, observer: str, at: float) -> None:
        """Record a probe with a valid report; it discards the fronts' earlier failures."""
        observation = Observation(
            healthy=True, observed_at=at, unhealthy_since=at, ttl_s=PROBER_OBSERVATION_TTL_S
        )
        _record_observation(self._probers, observer, observation)
        self._failing_fronts = {
            node: observation
            for node, observation in self._failing_fronts.items()
            if observation.observed_at > at
        }

    def record_probe_failure(self, observer: str, consecutive_failures: int, at: float) -> None:
        """Record a failed probe; ignored below ``MIN_PROBE_FAILURES`` consecutive failures."""
        if consecutive_failures >= MIN_PROBE_FAILURES:
            observation = Observation(
                healthy=False, observed_at=at, unhealthy_since=at, ttl_s=PROBER_OBSERVATION_TTL_S
            )
            _record_observation(self._probers, observer, observation)

    def record_traffic(self, observer: str, successes: int, failures: int, at: float) -> None:
        """Record a front's request counts of one reporting interval.

        Any success counts as healthy; without one, ``MIN_TRAFFIC_FAILURES`` count as unhealthy.
        """
        if successes > 0:
            self._failing_fronts.pop(observer, None)
            self._serving_fronts.pop(observer, None)
            self._serving_fronts[observer] = at
            if len(self._serving_fronts) > MAX_SERVING_FRONTS:
                del self._serving_fronts[next(iter(self._serving_fronts))]
        elif failures >= MIN_TRAFFIC_FAILURES:
            self._serving_fronts.pop(observer, None)
            observation = Observation(
                healthy=False, observed_at=at, unhealthy_since=at, ttl_s=FRONT_OBSERVATION_TTL_S
            )
            _record_observation(self._failing_fronts, observer, observation)

    def verdict(self, now: float) -> Verdict:
        """Return the verdict at ``now``.

        A node that both probes and serves counts as two observers: these are two processes.
        """
        observations = [*self._probers.values(), *self._failing_fronts.values()]
        unhealthy = [
            observation
            for observation in observations
            if not observation.healthy and _is_current(observation, now)
        ]
        healthy_at = [
            observation.observed_at
            for observation in observations
            if observation.healthy and _is_current(observation, now)
        ]
        healthy_at += self._front_success_times(now)
        if not unhealthy and not healthy_at:
            return Verdict.SUSPECT if self._probers else Verdict.UNKNOWN
        if not unhealthy:
            return Verdict.HEALTHY
        if any(now - at < HEALTHY_VETO_S for at in healthy_at):
            return Verdict.SUSPECT
        return Verdict.DEAD if self._is_dead(unhealthy, now) else Verdict.SUSPECT

    def _is_dead(self, unhealthy: list[Observation], now: float) -> bool:
        elapsed = now - min(observation.unhealthy_since for observation in unhealthy)
        if elapsed >= SOLE_OBSERVER_TIMEOUT_S:
            return True
        if len(unhealthy) < OBSERVERS_FOR_DEAD:
            return False
        prober_agrees = any(not observation.healthy for observation in self._probers.values())
        return prober_agrees or elapsed >= PROBE_CONTRADICTION_S

    def has_recent_success(self, now: float) -> bool:
        """Return whether a prober or a front has a current successful observation."""
        probed = any(
            observation.healthy and _is_current(observation, now)
            for observation in self._probers.values()
        )
        return probed or self.has_recent_front_success(now)

    def has_recent_front_success(self, now: float) -> bool:
        """Return whether a front has a current observation with successful requests."""
        return bool(self._front_success_times(now))

    def has_recent_front_failure(self, now: float) -> bool:
        """Return whether a front has a current observation with failures only."""
        return any(_is_current(observation, now) for observation in self._failing_fronts.values())

    def _front_success_times(self, now: float) -> list[float]:
        times = self._serving_fronts.values()
        return [at for at in times if now - at < FRONT_OBSERVATION_TTL_S]


def _is_current(observation: Observation, now: float) -> bool:
    return now - observation.observed_at < observation.ttl_s


def _record_observation(
    observations: dict[str, Observation], observer: str, newest: Observation
) -> None:
    """Store an observer's newest observation; older ones are ignored.

    An unhealthy one inherits ``unhealthy_since`` from an unhealthy one that is still current.
    """
    previous = observations.get(observer)
    if previous is not None and previous.observed_at > newest.observed_at:
        return
    if previous is not None and _continues_unhealthy(previous, newest):
        newest = attrs.evolve(newest, unhealthy_since=previous.unhealthy_since)
    observations[observer] = newest


def _continues_unhealthy(previous: Observation, newest: Observation) -> bool:
    return not previous.healthy and not newest.healthy and _is_current(previous, newest.observed_at)
