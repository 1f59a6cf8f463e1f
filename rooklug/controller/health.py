"""Health verdicts on replicas, from several observers: the probers and the fronts' traffic.

A single observer may itself be disconnected. So its failures alone make a replica suspect (no new
model is placed on it), but not dead. A replica is dead when two observers fail to reach it, or
when one has failed for ``SOLE_OBSERVER_TIMEOUT_S`` without being contradicted. Fronts count a busy
answer as a failure; without a prober that agrees, their failures count only once a probe has had
``PROBE_CONTRADICTION_S`` to contradict them.
"""

from enum import Enum

import attrs

BAD_PROBES = 2
BAD_ANSWERS = 2
OBSERVERS_FOR_DEAD = 2
SOLE_OBSERVER_TIMEOUT_S = 10.0
GOOD_VETO_S = 3.0
PROBE_CONTRADICTION_S = 3.0
FRONT_OPINION_LIFETIME_S = 6.0
PROBER_OPINION_LIFETIME_S = 15.0
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
class Opinion:
    """The newest observation of one observer. Times are monotonic seconds.

    ``bad_since`` is when its run of unhealthy observations began.
    """

    good: bool
    at: float
    bad_since: float
    lifetime_s: float


@attrs.define
class ReplicaHealth:
    """The observations of one replica, by observer node id.

    Only the newest ``MAX_SERVING_FRONTS`` fronts with successful requests are kept: hundreds of
    fronts may use hundreds of replicas, and a few of them are enough for the verdict.
    """

    _probers: dict[str, Opinion] = attrs.field(factory=dict)
    _failing_fronts: dict[str, Opinion] = attrs.field(factory=dict)
    _serving_fronts: dict[str, float] = attrs.field(factory=dict)

    @property
    def probed(self) -> bool:
        """Whether any prober has recorded an observation yet."""
        return bool(self._probers)

    def probe_answered(self, observer: str, at: float) -> None:
        """Record a probe with a valid report; it discards the fronts' earlier failures."""
        opinion = Opinion(good=True, at=at, bad_since=at, lifetime_s=PROBER_OPINION_LIFETIME_S)
        _record_opinion(self._probers, observer, opinion)
        self._failing_fronts = {
            node: opinion for node, opinion in self._failing_fronts.items() if opinion.at > at
        }

    def probe_failed(self, observer: str, consecutive_failures: int, at: float) -> None:
        """Record a failed probe; ignored below ``BAD_PROBES`` consecutive failures."""
        if consecutive_failures >= BAD_PROBES:
            opinion = Opinion(good=False, at=at, bad_since=at, lifetime_s=PROBER_OPINION_LIFETIME_S)
            _record_opinion(self._probers, observer, opinion)

    def traffic_seen(self, observer: str, successes: int, failures: int, at: float) -> None:
        """Record a front's request counts of one reporting interval.

        Any success counts as healthy; ``BAD_ANSWERS`` failures without a success as unhealthy.
        """
        if successes > 0:
            self._failing_fronts.pop(observer, None)
            self._serving_fronts.pop(observer, None)
            self._serving_fronts[observer] = at
            if len(self._serving_fronts) > MAX_SERVING_FRONTS:
                del self._serving_fronts[next(iter(self._serving_fronts))]
        elif failures >= BAD_ANSWERS:
            self._serving_fronts.pop(observer, None)
            opinion = Opinion(good=False, at=at, bad_since=at, lifetime_s=FRONT_OPINION_LIFETIME_S)
            _record_opinion(self._failing_fronts, observer, opinion)

    def verdict(self, now: float) -> Verdict:
        """Return the verdict at ``now``.

        A node id that appears as a prober and as a front counts as two observers.
        """
        opinions = [*self._probers.values(), *self._failing_fronts.values()]
        bad = [opinion for opinion in opinions if not opinion.good and _alive(opinion, now)]
        good_at = [opinion.at for opinion in opinions if opinion.good and _alive(opinion, now)]
        good_at += self._serving_times(now)
        if not bad and not good_at:
            return Verdict.SUSPECT if self._probers else Verdict.UNKNOWN
        if not bad:
            return Verdict.HEALTHY
        if any(now - at < GOOD_VETO_S for at in good_at):
            return Verdict.SUSPECT
        return Verdict.DEAD if self._is_dead(bad, now) else Verdict.SUSPECT

    def _is_dead(self, bad: list[Opinion], now: float) -> bool:
        elapsed = now - min(opinion.bad_since for opinion in bad)
        if elapsed >= SOLE_OBSERVER_TIMEOUT_S:
            return True
        if len(bad) < OBSERVERS_FOR_DEAD:
            return False
        prober_agrees = any(not opinion.good for opinion in self._probers.values())
        return prober_agrees or elapsed >= PROBE_CONTRADICTION_S

    def somebody_sees_it_well(self, now: float) -> bool:
        """Return whether a prober or a front has a current successful observation."""
        probed = any(opinion.good and _alive(opinion, now) for opinion in self._probers.values())
        return probed or self.front_sees_it_serving(now)

    def front_sees_it_serving(self, now: float) -> bool:
        """Return whether a front has a current observation with successful requests."""
        return bool(self._serving_times(now))

    def front_sees_it_failing(self, now: float) -> bool:
        """Return whether a front has a current observation with failures only."""
        return any(_alive(opinion, now) for opinion in self._failing_fronts.values())

    def _serving_times(self, now: float) -> list[float]:
        times = self._serving_fronts.values()
        return [at for at in times if now - at < FRONT_OPINION_LIFETIME_S]


def _alive(opinion: Opinion, now: float) -> bool:
    return now - opinion.at < opinion.lifetime_s


def _record_opinion(opinions: dict[str, Opinion], observer: str, newest: Opinion) -> None:
    """Store an observer's newest observation; older ones are ignored.

    An unhealthy one keeps the ``bad_since`` of an unhealthy predecessor that is still current.
    """
    previous = opinions.get(observer)
    if previous is not None and previous.at > newest.at:
        return
    if previous is not None and _continues(previous, newest):
        newest = attrs.evolve(newest, bad_since=previous.bad_since)
    opinions[observer] = newest


def _continues(previous: Opinion, newest: Opinion) -> bool:
    return not previous.good and not newest.good and _alive(previous, newest.at)
