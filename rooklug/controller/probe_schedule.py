"""When to probe a replica: often while its state changes, seldom while it is steady."""

from enum import IntEnum
from random import Random

import attrs

from rooklug.controller.replica_report import ReplicaReport
from rooklug.model.topics import PROBER_SHARDS
from rooklug.wire.generated.control.ttypes import ListedReplica

LOADING_INTERVAL_S = 0.5
FAILING_INTERVAL_S = 0.5
DEAD_INTERVAL_S = 1.0
LONG_DEAD_INTERVAL_S = 2.0
CHANGED_INTERVAL_S = 1.0
STEADY_INTERVAL_S = 5.0
SERVING_INTERVAL_S = 10.0
URGENT_SPACING_S = 0.3
JITTER_SHARE = 0.2
"""Intervals vary randomly by up to this share in both directions."""
EARLY_FAILURES = 4
"""Consecutive failures below which probes stay urgent, to confirm a failure quickly."""
LONG_DEAD_FAILURES = 12
"""Consecutive failures from which a replica is probed at ``LONG_DEAD_INTERVAL_S``."""
SERVING_HINT_TTL_S = 5.0
"""How long the placer's note that fronts get answers from a replica is valid."""

FLEET_PROBE_BUDGET_PER_S = 240.0
SHARD_PROBE_BUDGET_PER_S = FLEET_PROBE_BUDGET_PER_S / PROBER_SHARDS


class ProbePriority(IntEnum):
    """The priority of a probe; lower values go first when the budget is short."""

    URGENT = 0
    WATCHED = 1
    STEADY = 2


@attrs.define
class ProbeTarget:
    """One replica of a shard, with its probe schedule and results. Times are monotonic seconds.

    ``due_at`` is when to send the next probe and ``probed_at`` when the last one was sent.
    ``failures`` counts consecutive probes without a usable answer. Until ``serving_until``, fronts
    are known to get answers from the replica.
    """

    replica: ListedReplica
    due_at: float
    priority: ProbePriority = ProbePriority.URGENT
    in_flight: bool = False
    probed_at: float = -URGENT_SPACING_S
    failures: int = 0
    report: ReplicaReport | None = None
    serving_until: float = 0.0

    def record_report(self, report: ReplicaReport, now: float, random: Random) -> None:
        """Record a valid report and schedule the next probe."""
        changed = self.report is None or self.failures > 0 or _differs(self.report, report)
        self.report = report
        self.failures = 0
        if report.loading_models:
            self._schedule(ProbePriority.WATCHED, LOADING_INTERVAL_S, now, random)
        elif changed:
            self._schedule(ProbePriority.WATCHED, CHANGED_INTERVAL_S, now, random)
        elif now < self.serving_until:
            self._schedule(ProbePriority.STEADY, SERVING_INTERVAL_S, now, random)
        else:
            self._schedule(ProbePriority.STEADY, STEADY_INTERVAL_S, now, random)

    def record_failure(self, now: float, random: Random) -> None:
        """Record a probe without a usable answer and schedule the next one."""
        self.failures += 1
        if self.failures < EARLY_FAILURES:
            self._schedule(ProbePriority.URGENT, FAILING_INTERVAL_S, now, random)
        elif self.failures < LONG_DEAD_FAILURES:
            self._schedule(ProbePriority.WATCHED, DEAD_INTERVAL_S, now, random)
        else:
            self._schedule(ProbePriority.STEADY, LONG_DEAD_INTERVAL_S, now, random)

    def expedite(self, now: float) -> None:
        """Schedule the next probe as early as ``URGENT_SPACING_S`` allows."""
        self.priority = ProbePriority.URGENT
        self.due_at = min(self.due_at, max(now, self.probed_at + URGENT_SPACING_S))

    def mark_serving(self, now: float) -> None:
        """Note that fronts get answers from the replica, so that it needs fewer probes."""
        self.serving_until = now + SERVING_HINT_TTL_S

    def _schedule(
        self, priority: ProbePriority, interval_s: float, now: float, random: Random
    ) -> None:
        self.priority = priority
        spread = JITTER_SHARE * (2.0 * random.random() - 1.0)
        self.due_at = now + interval_s * (1.0 + spread)


def _differs(old: ReplicaReport, new: ReplicaReport) -> bool:
    return (old.incarnation, old.loaded_models, old.loading_models, old.warming_up) != (
        new.incarnation,
        new.loaded_models,
        new.loading_models,
        new.warming_up,
    )


@attrs.define
class ProbeBudget:
    """A token bucket of ``rate_per_s`` probes per second with a capacity of ``burst`` probes."""

    rate_per_s: float = SHARD_PROBE_BUDGET_PER_S
    burst: float = SHARD_PROBE_BUDGET_PER_S / 2
    _available: float = SHARD_PROBE_BUDGET_PER_S / 2
    _filled_at: float = 0.0

    def try_consume(self, now: float) -> bool:
        """Consume one probe of the budget; return False if none is available."""
        self._refill(now)
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until a probe is available; 0 if one is."""
        self._refill(now)
        return max(0.0, (1.0 - self._available) / self.rate_per_s)

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._filled_at) * self.rate_per_s
        self._available = min(self.burst, self._available + gained)
        self._filled_at = now
