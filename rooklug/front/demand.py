"""Counts the demand by route and source region, and reports it to the placer periodically."""

from collections.abc import Iterable
from statistics import median

import attrs

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.front.attempt import AttemptOutcome, AttemptReport
from rooklug.front.requests import RequestHead
from rooklug.model.constants import CALL_DEADLINE_S, DEMAND_REPORT_INTERVAL_S
from rooklug.model.topics import ROLE_PLACER
from rooklug.wire.generated.control.ttypes import DemandEntry, DemandReport, ReplicaObservation

REPORT_TIMER = "report"
DEFAULT_PROMPT_TOKENS = 200.0
DEFAULT_ANSWER_TOKENS = 100.0
AVERAGE_WEIGHT = 0.05
MAX_SAMPLES = 256


@attrs.define
class RouteDemand:
    """Requests and tokens of one route from one source region since the last report."""

    model: str
    latency_class: str
    requests: int = 0
    prompt_tokens: float = 0.0
    answer_tokens: float = 0.0
    refused: int = 0


@attrs.define
class AverageSize:
    """Moving averages of a route's request sizes, used for requests whose size is unknown."""

    prompt_tokens: float = DEFAULT_PROMPT_TOKENS
    answer_tokens: float = DEFAULT_ANSWER_TOKENS


@attrs.define
class ReplicaCounts:
    """Outcomes of this front's attempts at one replica since the last report.

    At most ``MAX_SAMPLES`` times to the first chunk are kept.
    """

    successes: int = 0
    failures: int = 0
    connect_failures: int = 0
    first_chunk_s: list[float] = attrs.field(factory=list)


class DemandCounts:
    """Counters between two reports; refused requests count with their route's average size."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], RouteDemand] = {}
        self._averages: dict[str, AverageSize] = {}
        self._replicas: dict[tuple[str, str], ReplicaCounts] = {}

    def record_refused(self, head: RequestHead, prompt_tokens: int | None) -> None:
        """Count a request that no replica answered; ``prompt_tokens`` is None if unknown."""
        average = self._average(head.route_name)
        known = average.prompt_tokens if prompt_tokens is None else prompt_tokens
        entry = self._count(head, known, average.answer_tokens)
        entry.refused += 1

    def record_answered(self, head: RequestHead, prompt_tokens: int, answer_tokens: int) -> None:
        """Count a request that ran, with one answer token for each chunk that it produced."""
        average = self._average(head.route_name)
        average.prompt_tokens += AVERAGE_WEIGHT * (prompt_tokens - average.prompt_tokens)
        average.answer_tokens += AVERAGE_WEIGHT * (answer_tokens - average.answer_tokens)
        self._count(head, prompt_tokens, answer_tokens)

    def record_attempt(self, report: AttemptReport) -> None:
        """Count an attempt's outcome for its replica; cancelled attempts count as neither."""
        replica = report.serve_at.replica
        record = self._replicas.setdefault(
            (replica.replica_id, replica.incarnation), ReplicaCounts()
        )
        if report.outcome is AttemptOutcome.SUCCESS:
            record.successes += 1
        elif report.outcome is AttemptOutcome.CONNECT_FAILED:
            record.connect_failures += 1
        elif report.outcome is not AttemptOutcome.CANCELLED:
            record.failures += 1
        if report.first_chunk_s is not None and len(record.first_chunk_s) < MAX_SAMPLES:
            record.first_chunk_s.append(report.first_chunk_s)

    def take_entries(self, elapsed_s: float) -> list[DemandEntry]:
        """Return the rates over the last ``elapsed_s``, sorted by route and source, and reset."""
        taken, self._routes = self._routes, {}
        return [
            DemandEntry(
                route=route,
                model=entry.model,
                latency_class=entry.latency_class,
                source_region=source,
                requests_per_s=entry.requests / elapsed_s,
                prompt_tokens_per_s=entry.prompt_tokens / elapsed_s,
                answer_tokens_per_s=entry.answer_tokens / elapsed_s,
                refused_per_s=entry.refused / elapsed_s,
            )
            for (route, source), entry in sorted(taken.items())
        ]

    def take_observations(self) -> list[ReplicaObservation]:
        """Return the replicas' counts since the last call, sorted by replica, and reset them."""
        taken, self._replicas = self._replicas, {}
        return [
            ReplicaObservation(
                replica_id=replica_id,
                incarnation=incarnation,
                successes=record.successes,
                failures=record.failures,
                connect_failures=record.connect_failures,
                median_first_token_s=median(record.first_chunk_s) if record.first_chunk_s else 0.0,
            )
            for (replica_id, incarnation), record in sorted(taken.items())
        ]

    def _average(self, route_name: str) -> AverageSize:
        return self._averages.setdefault(route_name, AverageSize())

    def _count(self, head: RequestHead, prompt_tokens: float, answer_tokens: float) -> RouteDemand:
        key = (head.route_name, head.source_region)
        entry = self._routes.get(key)
        if entry is None:
            entry = RouteDemand(head.route.model, head.route.latency_class)
            self._routes[key] = entry
        entry.requests += 1
        entry.prompt_tokens += prompt_tokens
        entry.answer_tokens += answer_tokens
        return entry


class DemandComponent(BaseComponent):
    """Sends the counts to the owner of the placer role.

    A lost report is not sent again, as it would be out of date. While the placer's owner is
    unknown, the counts of the interval are dropped.
    """

    name = "demand"

    def __init__(self, context: ProcessContext, core_link: CoreLink, counts: DemandCounts) -> None:
        self._context = context
        self._core_link = core_link
        self._counts = counts
        self._sequence = 0
        self._since = 0.0
        self._failed = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Start the report timer, send a report at each expiry, and count failed sends."""
        if isinstance(event, ev.Started):
            self._since = now
            first = DEMAND_REPORT_INTERVAL_S * (0.5 + 0.5 * self._context.random.random())
            return [fx.StartTimer(REPORT_TIMER, first)]
        if isinstance(event, ev.TimerFired):
            return [*self._report(now), fx.StartTimer(REPORT_TIMER, DEMAND_REPORT_INTERVAL_S)]
        if isinstance(event, ev.CallFailed):
            self._failed += 1
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the numbers of reports sent and failed."""
        return (
            MetricSample(
                "front_demand_reports_total", self._sequence, "counter", "Demand reports sent."
            ),
            MetricSample(
                "front_demand_reports_failed_total", self._failed, "counter", "Reports lost."
            ),
        )

    def _report(self, now: float) -> list[fx.Effect]:
        elapsed = max(now - self._since, 0.001)
        self._since = now
        entries = self._counts.take_entries(elapsed)
        observations = self._counts.take_observations()
        owner = self._core_link.role_owner(ROLE_PLACER)
        if owner is None:
            return []
        self._sequence += 1
        report = DemandReport(
            node_id=self._context.node_id,
            node_incarnation=self._context.incarnation,
            sequence=self._sequence,
            entries=entries,
            observations=observations,
        )
        call_id = self._context.identifiers.next()
        return [fx.Call(call_id, owner.internal_address, report, CALL_DEADLINE_S)]
