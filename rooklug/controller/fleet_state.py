"""The placer's picture of the replicas: listing, drained zones, reports and verdicts."""

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
    """How much a probe changed the picture."""

    NOTHING = "nothing"
    FIGURES = "figures"
    ASSIGNMENTS = "assignments"


@attrs.define
class Replica:
    """One listed model replica. ``warming_since`` is when its last slow start began.

    ``remembered`` is the entry of the predecessor's plan: it stands for the replica until
    its first report.
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
        """The models it reports loaded, or did when the last plan was published."""
        if self.report is not None:
            return self.report.loaded_models
        return tuple(self.remembered.loaded_models) if self.remembered is not None else ()

    @property
    def loading_models(self) -> tuple[str, ...]:
        """The models it reports as being loaded."""
        return self.report.loading_models if self.report is not None else ()

    @property
    def incarnation(self) -> str:
        """The incarnation it reports, or did; "" when nothing is known."""
        if self.report is not None:
            return self.report.incarnation
        return self.remembered.incarnation if self.remembered is not None else ""

    @property
    def concurrency(self) -> int:
        """How many requests it can run at once, 0 when nothing is known."""
        if self.report is not None:
            return self.report.concurrency
        return self.remembered.concurrency if self.remembered is not None else 0

    @property
    def known(self) -> bool:
        """Whether a report, or the last plan, says what it holds."""
        return self.report is not None or self.remembered is not None

    @property
    def healthy(self) -> bool:
        """Whether fronts should use it; before the first report as the last plan said."""
        if self.report is None and self.verdict is not Verdict.DEAD:
            return self.remembered is not None and self.remembered.healthy
        return self.verdict in (Verdict.HEALTHY, Verdict.SUSPECT)

    def judge(self, now: float) -> Verdict:
        """Return the verdict; a dead replica stays dead until somebody sees it well."""
        verdict = self.health.verdict(now)
        if verdict is Verdict.HEALTHY and self.report is None:
            return Verdict.UNKNOWN
        doubtful = verdict in (Verdict.SUSPECT, Verdict.UNKNOWN)
        if doubtful and self.verdict is Verdict.DEAD:
            return verdict if self.health.somebody_sees_it_well(now) else Verdict.DEAD
        return verdict

    def take_report(self, report: ReplicaReport, at: float) -> FleetChange:
        """Take a newer report."""
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
    """All listed model replicas, by id."""

    replicas: dict[str, Replica] = attrs.field(factory=dict)
    drained_zones: frozenset[str] = frozenset()
    has_listing: bool = False
    bad_reports: int = 0
    _remembered: dict[str, LoadedReplica] = attrs.field(factory=dict)

    def remember(self, last_plan: Iterable[LoadedReplica]) -> None:
        """Keep the incarnations of the predecessor's plan: a later change means a slow start."""
        self._remembered = {replica.replica_id: replica for replica in last_plan}

    def take_listing(self, listed: Iterable[ListedReplica]) -> tuple[list[str], list[str]]:
        """Take the platform's list; return the ids that came, and those gone or leaving."""
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
        """Take one probe result; unknown replicas and bad reports change nothing."""
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
        """Take what a front saw of the replicas it sent requests to."""
        for seen in observations:
            replica = self.replicas.get(seen.replica_id)
            if replica is None or seen.incarnation not in ("", replica.incarnation):
                continue
            failures = seen.failures + seen.connect_failures
            replica.health.traffic_seen(observer, seen.successes, failures, now)

    def judge(self, now: float) -> list[tuple[str, Verdict, Verdict]]:
        """Form all verdicts again; return (replica id, before, after) of those that changed."""
        changed = []
        for replica_id, replica in self.replicas.items():
            verdict = replica.judge(now)
            if verdict is not replica.verdict:
                changed.append((replica_id, replica.verdict, verdict))
                replica.verdict = verdict
        return changed

    def usable(self) -> list[Replica]:
        """Return the replicas that may hold planned models."""
        return [
            replica
            for replica in self.replicas.values()
            if not replica.listed.leaving
            and replica.listed.zone not in self.drained_zones
            and replica.known
            and replica.verdict is not Verdict.DEAD
        ]

    def in_drained_zones(self) -> list[str]:
        """Return the replicas in drained zones."""
        return [
            replica_id
            for replica_id, replica in self.replicas.items()
            if replica.listed.zone in self.drained_zones
        ]

    def unresolved(self) -> list[str]:
        """Return the replicas that no prober has got through to, or failed at, yet."""
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
    """Return whether it is a new process, holds a new model, or has lost its cache."""
    return (
        report.incarnation != previous.incarnation
        or bool(set(report.loaded_models) - set(previous.loaded_models))
        or (report.cached_prefix_blocks == 0 and previous.cached_prefix_blocks > 0)
    )


def is_warming_up(replica: Replica, now: float, slow_start_s: float = DEFAULT_SLOW_START_S) -> bool:
    """Return whether a replica is in slow start."""
    if replica.report is None:
        return replica.remembered is None or replica.remembered.cold
    if replica.report.warming_up:
        return True
    return now - replica.warming_since < slow_start_s
