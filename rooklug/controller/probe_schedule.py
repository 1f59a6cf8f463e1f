"""When to probe a replica: often while something happens, seldom while it is steady."""

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
EARLY_FAILURES = 4
LONG_DEAD_FAILURES = 12
SERVING_OBSERVED_S = 5.0

FLEET_PROBE_BUDGET_PER_S = 240.0
SHARD_PROBE_BUDGET_PER_S = FLEET_PROBE_BUDGET_PER_S / PROBER_SHARDS


class Need(IntEnum):
    """How badly a probe is needed; lower goes first when the budget is short."""

    URGENT = 0
    WATCHED = 1
    STEADY = 2


@attrs.define
class ProbeTarget:
    """One replica of a shard, and what its probes have shown. Times are monotonic seconds."""

    replica: ListedReplica
    due: float
    need: Need = Need.URGENT
    in_flight: bool = False
    probed_at: float = -URGENT_SPACING_S
    failures: int = 0
    report: ReplicaReport | None = None
    serving_until: float = 0.0

    def answered(self, report: ReplicaReport, now: float, random: Random) -> None:
        """Take a good report and set the next probe."""
        changed = self.report is None or self.failures > 0 or _differs(self.report, report)
        self.report = report
        self.failures = 0
        if report.loading_models:
            self._next(Need.WATCHED, LOADING_INTERVAL_S, now, random)
        elif changed:
            self._next(Need.WATCHED, CHANGED_INTERVAL_S, now, random)
        elif now < self.serving_until:
            self._next(Need.STEADY, SERVING_INTERVAL_S, now, random)
        else:
            self._next(Need.STEADY, STEADY_INTERVAL_S, now, random)

    def failed(self, now: float, random: Random) -> None:
        """Count a probe without a usable answer and set the next one."""
        self.failures += 1
        if self.failures < EARLY_FAILURES:
            self._next(Need.URGENT, FAILING_INTERVAL_S, now, random)
        elif self.failures < LONG_DEAD_FAILURES:
            self._next(Need.WATCHED, DEAD_INTERVAL_S, now, random)
        else:
            self._next(Need.STEADY, LONG_DEAD_INTERVAL_S, now, random)

    def hurry(self, now: float) -> None:
        """Probe as soon as it makes sense: somebody has seen something."""
        self.need = Need.URGENT
        self.due = min(self.due, max(now, self.probed_at + URGENT_SPACING_S))

    def seen_serving(self, now: float) -> None:
        """Fronts get answers from it: fewer probes will do."""
        self.serving_until = now + SERVING_OBSERVED_S

    def _next(self, need: Need, interval_s: float, now: float, random: Random) -> None:
        self.need = need
        spread = JITTER_SHARE * (2.0 * random.random() - 1.0)
        self.due = now + interval_s * (1.0 + spread)


def _differs(old: ReplicaReport, new: ReplicaReport) -> bool:
    return (old.incarnation, old.loaded_models, old.loading_models, old.warming_up) != (
        new.incarnation,
        new.loaded_models,
        new.loading_models,
        new.warming_up,
    )


@attrs.define
class ProbeBudget:
    """A token bucket: at most ``rate_per_s`` probes a second, ``burst`` at once."""

    rate_per_s: float = SHARD_PROBE_BUDGET_PER_S
    burst: float = SHARD_PROBE_BUDGET_PER_S / 2
    _available: float = SHARD_PROBE_BUDGET_PER_S / 2
    _filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take one probe from the budget if there is one."""
        self._fill(now)
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return how long until ``take`` succeeds."""
        self._fill(now)
        return max(0.0, (1.0 - self._available) / self.rate_per_s)

    def _fill(self, now: float) -> None:
        gained = max(0.0, now - self._filled_at) * self.rate_per_s
        self._available = min(self.burst, self._available + gained)
        self._filled_at = now
