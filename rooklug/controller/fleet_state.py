"""The placer's view of the replicas: platform listing, drained zones, reports and verdicts."""

from collections.abc import Iterable
from enum import Enum

import attrs

from rooklug.controller.health import ReplicaHealth, Verdict
from rooklug.controller.replica_report import ReplicaReport, read_report
from rooklug.wire.generated.control.ttypes import (
    ListedReplica,
    LoadedReplica,
    ProbeResult,
    ReplicaObservation,
)

DEFAULT_SLOW_START_S = 10.0
LONG_AGO = float("-inf")


class FleetChange(Enum):
    """What a probe result has changed about a replica.

    ``FIGURES``: its concurrency or warm-up state. ``ASSIGNMENTS``: its incarnation or its models.
    """

    NOTHING = "nothing"
    FIGURES = "figures"
    ASSIGNMENTS = "assignments"


@attrs.define
class Replica:
    """One listed model replica. Times are monotonic seconds.

    ``warming_since`` is when its last slow start began. ``remembered`` is its entry in the plan of
    the previous placer term, which is used until the first report arrives.
    """

    listed: ListedReplica
    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    report: ReplicaReport | None = None
    report_at: float = LONG_AGO
    warming_since: float = LONG_AGO
    verdict: Verdict = Verdict.UNKNOWN
    remembered: LoadedReplica | None = None

    @property
    def loaded_models(self) -> tuple[str, ...]:
        """The models reported as loaded; before the first report, those of the remembered plan."""
        if self.report is not None:
            return self.report.loaded_models
        return tuple(self.remembered.loaded_models) if self.remembered is not None else ()

    @property
    def loading_models(self) -> tuple[str, ...]:
        """The models reported as being loaded; none before the first report."""
        return self.report.loading_models if self.report is not None else ()

    @property
    def incarnation(self) -> str:
        """The reported or remembered incarnation; "" if neither is known."""
        if self.report is not None:
            return self.report.incarnation
        return self.remembered.incarnation if self.remembered is not None else ""

    @property
    def concurrency(self) -> int:
        """The reported or remembered number of concurrent requests; 0 if neither is known."""
        if self.report is not None:
            return self.report.concurrency
        return self.remembered.concurrency if self.remembered is not None else 0

    @property
    def known(self) -> bool:
        """Whether a report or the remembered plan tells which models the replica holds."""
        return self.report is not None or self.remembered is not None

    @property
    def healthy(self) -> bool:
        """Whether fronts should use it; before the first report, as the remembered plan says."""
        if self.report is None and self.verdict is not Verdict.DEAD:
            return self.remembered is not None and self.remembered.healthy
        return self.verdict in (Verdict.HEALTHY, Verdict.SUSPECT)

    def judge(self, now: float) -> Verdict:
        """Return the verdict at ``now``, without storing it.

        A dead replica stays dead until a prober or a front has had an answer from it.
        """
        verdict = self.health.verdict(now)
        if verdict is Verdict.HEALTHY and self.report is None:
            return Verdict.UNKNOWN
        doubtful = verdict in (Verdict.SUSPECT, Verdict.UNKNOWN)
        if doubtful and self.verdict is Verdict.DEAD:
            return verdict if self.health.somebody_sees_it_well(now) else Verdict.DEAD
        return verdict

    def take_report(self, report: ReplicaReport, at: float) -> FleetChange:
        """Store a newer report and return what it changes; may begin a slow start."""
        previous, self.report, self.report_at = self.report, report, at
        if previous is None:
            return FleetChange.ASSIGNMENTS
        if _needs_slow_start(previous, report):
            self.warming_since = at
        assignments = (report.incarnation, report.loaded_models) != (
            previous.incarnation,
            previous.loaded_models,
        )
        if assignments or report.loading_models != previous.loading_models:
            return FleetChange.ASSIGNMENTS
        same = (report.warming_up, report.concurrency) == (
            previous.warming_up,
            previous.concurrency,
        )
        return FleetChange.NOTHING if same else FleetChange.FIGURES


@attrs.define
class FleetState:
    """All listed model replicas, by replica id. ``bad_reports`` counts rejected reports."""

    replicas: dict[str, Replica] = attrs.field(factory=dict)
    drained_zones: frozenset[str] = frozenset()
    has_listing: bool = False
    bad_reports: int = 0
    _remembered: dict[str, LoadedReplica] = attrs.field(factory=dict)

    def remember(self, last_plan: Iterable[LoadedReplica]) -> None:
        """Remember the entries of the previous term's plan.

        They stand in for replicas without a report. If the first report differs from them, the
        replica begins a slow start.
        """
        self._remembered = {replica.replica_id: replica for replica in last_plan}

    def take_listing(self, listed: Iterable[ListedReplica]) -> tuple[list[str], list[str]]:
        """Apply the platform's list.

        Returns the ids of replicas that became available, and of those that were removed or
        marked as leaving.
        """
        before = {key for key, replica in self.replicas.items() if not replica.listed.leaving}
        current: dict[str, Replica] = {}
        for entry in sorted(listed, key=lambda replica: replica.replica_id):
            if entry.kind != "model":
                continue
            replica = self.replicas.get(entry.replica_id)
            if replica is None or replica.listed.address != entry.address:
                replica = Replica(entry, remembered=self._remembered.get(entry.replica_id))
            replica.listed = entry
            current[entry.replica_id] = replica
        self.replicas = current
        self.has_listing = True
        after = {key for key, replica in current.items() if not replica.listed.leaving}
        return sorted(after - before), sorted(before - after)

    def take_probe(self, observer: str, result: ProbeResult, now: float) -> FleetChange:
        """Apply one probe result; unlisted replicas and invalid reports change nothing."""
        replica = self.replicas.get(result.replica_id)
        if replica is None:
            return FleetChange.NOTHING
        at = now - max(0, result.age_ms) / 1000.0
        if not result.answered:
            replica.health.probe_failed(observer, result.consecutive_failures, at)
            return FleetChange.NOTHING
        outcome = read_report(result.report_json, result.replica_id)
        if outcome.is_error():
            self.bad_reports += 1
            return FleetChange.NOTHING
        replica.health.probe_answered(observer, at)
        if at < replica.report_at:
            return FleetChange.NOTHING
        first = replica.report is None
        change = replica.take_report(outcome.ok, at)
        if first and _changed_since_last_plan(replica):
            replica.warming_since = at
        return change

    def take_observations(
        self, observer: str, observations: Iterable[ReplicaObservation], now: float
    ) -> None:
        """Apply the outcomes of the requests that a front sent to replicas.

        Observations of another incarnation than the known one are ignored.
        """
        for seen in observations:
            replica = self.replicas.get(seen.replica_id)
            if replica is None or seen.incarnation not in ("", replica.incarnation):
                continue
            failures = seen.failures + seen.connect_failures
            replica.health.traffic_seen(observer, seen.successes, failures, now)

    def judge(self, now: float) -> list[tuple[str, Verdict, Verdict]]:
        """Update all verdicts; return (replica id, before, after) for each one that changed."""
        changed = []
        for replica_id, replica in self.replicas.items():
            verdict = replica.judge(now)
            if verdict is not replica.verdict:
                changed.append((replica_id, replica.verdict, verdict))
                replica.verdict = verdict
        return changed

    def usable(self) -> list[Replica]:
        """Return the replicas that a plan may use.

        They are not leaving, not in a drained zone, not dead, and it is known what they hold.
        """
        return [
            replica
            for replica in self.replicas.values()
            if not replica.listed.leaving
            and replica.listed.zone not in self.drained_zones
            and replica.known
            and replica.verdict is not Verdict.DEAD
        ]

    def in_drained_zones(self) -> list[str]:
        """Return the ids of the replicas in drained zones."""
        return [
            replica_id
            for replica_id, replica in self.replicas.items()
            if replica.listed.zone in self.drained_zones
        ]

    def unresolved(self) -> list[str]:
        """Return the ids of the replicas that have no report and no recorded probe failure yet."""
        return [
            replica_id
            for replica_id, replica in self.replicas.items()
            if not replica.listed.leaving and replica.report is None and not replica.health.probed
        ]


def _changed_since_last_plan(replica: Replica) -> bool:
    remembered = replica.remembered
    if remembered is None or not remembered.incarnation:
        return False
    restarted = remembered.incarnation != replica.incarnation
    return restarted or bool(set(replica.loaded_models) - set(remembered.loaded_models))


def _needs_slow_start(previous: ReplicaReport, report: ReplicaReport) -> bool:
    """Return whether the process restarted, holds a new model, or has lost its prefix cache."""
    return (
        report.incarnation != previous.incarnation
        or bool(set(report.loaded_models) - set(previous.loaded_models))
        or (report.cached_prefix_blocks == 0 and previous.cached_prefix_blocks > 0)
    )


def is_warming_up(replica: Replica, now: float, slow_start_s: float = DEFAULT_SLOW_START_S) -> bool:
    """Return whether a replica is in slow start, which lasts ``slow_start_s`` from its beginning.

    Without a report, the remembered plan decides; an unknown replica counts as warming up.
    """
    if replica.report is None:
        return replica.remembered is None or replica.remembered.cold
    if replica.report.warming_up:
        return True
    return now - replica.warming_since < slow_start_s
