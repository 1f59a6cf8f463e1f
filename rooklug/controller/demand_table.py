"""Demand reported by the fronts: each front's newest report, until it expires."""

import math

import attrs

from rooklug.config.document import Configuration
from rooklug.placement.problem import DemandKey
from rooklug.wire.generated.control.ttypes import DemandEntry, DemandReport

REPORT_TTL_S = 5.0
PROMPT_TOKEN_COST = 1.0 / 8.0
"""Load tokens per prompt token; an answer token is one load token."""
MAX_RATE = 1e9
"""Entries with a higher rate per second are rejected."""


@attrs.frozen
class FrontReport:
    """A front's newest report. ``received_at`` is in monotonic seconds."""

    incarnation: str
    sequence: int
    entries: tuple[DemandEntry, ...]
    received_at: float


@attrs.define
class DemandTable:
    """The newest report of each front, by node id. ``bad_entries`` counts rejected entries."""

    _fronts: dict[str, FrontReport] = attrs.field(factory=dict)
    bad_entries: int = 0

    def record(self, report: DemandReport, now: float) -> bool:
        """Store a report without its invalid entries; return False if it is out of date.

        Sequence numbers are compared within one incarnation; another incarnation always replaces
        the stored report.
        """
        previous = self._fronts.get(report.node_id)
        if previous is not None and not _is_newer(report, previous):
            return False
        usable = tuple(entry for entry in report.entries if _is_valid(entry))
        self.bad_entries += len(report.entries) - len(usable)
        self._fronts[report.node_id] = FrontReport(
            report.node_incarnation, report.sequence, usable, now
        )
        return True

    def expire(self, now: float) -> None:
        """Drop reports that are older than ``REPORT_TTL_S``."""
        self._fronts = {
            node_id: report
            for node_id, report in self._fronts.items()
            if now - report.received_at < REPORT_TTL_S
        }

    @property
    def front_ids(self) -> set[str]:
        """The node ids of the fronts whose report has not expired."""
        return set(self._fronts)

    def totals(self, configuration: Configuration) -> dict[DemandKey, float]:
        """Return the demand by key, in load tokens/s, summed over all fronts.

        Entries whose route, model, latency class or region ``configuration`` doesn't know are left
        out.
        """
        totals: dict[DemandKey, float] = {}
        for node_id in sorted(self._fronts):
            for entry in self._fronts[node_id].entries:
                key = _demand_key(entry, configuration)
                if key is not None:
                    totals[key] = totals.get(key, 0.0) + _offered_load(entry)
        return totals


def _is_newer(report: DemandReport, previous: FrontReport) -> bool:
    same_process = previous.incarnation == report.node_incarnation
    return not same_process or report.sequence > previous.sequence


def _is_valid(entry: DemandEntry) -> bool:
    rates = (
        entry.requests_per_s,
        entry.prompt_tokens_per_s,
        entry.answer_tokens_per_s,
        entry.refused_per_s,
    )
    return all(math.isfinite(rate) and 0.0 <= rate <= MAX_RATE for rate in rates)


def _demand_key(entry: DemandEntry, configuration: Configuration) -> DemandKey | None:
    route = configuration.routes.get(entry.route)
    model = configuration.models.get(entry.model)
    if route is None or model is None or entry.latency_class not in model.latency_classes:
        return None
    if entry.source_region not in configuration.regions:
        return None
    homes = tuple(sorted(route.home_regions))
    return DemandKey(entry.model, entry.latency_class, entry.source_region, homes)


def _offered_load(entry: DemandEntry) -> float:
    """Return the offered load in load tokens/s.

    The token rates of a front already include refused requests, at their average size.
    """
    return entry.prompt_tokens_per_s * PROMPT_TOKEN_COST + entry.answer_tokens_per_s
