"""What the fronts say about demand: soft state, one newest report a front, which expires."""

import math

import attrs

from rooklug.config.document import Configuration
from rooklug.placement.problem import DemandKey
from rooklug.wire.generated.control.ttypes import DemandEntry, DemandReport

REPORT_LIFETIME_S = 5.0
PROMPT_TOKEN_COST = 1.0 / 8.0
MAX_RATE = 1e9


@attrs.frozen
class FrontReport:
    """A front's newest report and when it came."""

    incarnation: str
    sequence: int
    entries: tuple[DemandEntry, ...]
    at: float


@attrs.define
class DemandTable:
    """The newest report of each front."""

    _fronts: dict[str, FrontReport] = attrs.field(factory=dict)
    bad_entries: int = 0

    def take(self, report: DemandReport, now: float) -> bool:
        """Store a report; return False when it is older than the stored one."""
        previous = self._fronts.get(report.node_id)
        if previous is not None and not _is_newer(report, previous):
            return False
        usable = tuple(entry for entry in report.entries if _usable(entry))
        self.bad_entries += len(report.entries) - len(usable)
        self._fronts[report.node_id] = FrontReport(
            report.node_incarnation, report.sequence, usable, now
        )
        return True

    def expire(self, now: float) -> None:
        """Drop reports of fronts that have stopped reporting."""
        self._fronts = {
            node_id: report
            for node_id, report in self._fronts.items()
            if now - report.at < REPORT_LIFETIME_S
        }

    @property
    def front_ids(self) -> set[str]:
        """The fronts with a live report."""
        return set(self._fronts)

    def totals(self, configuration: Configuration) -> dict[DemandKey, float]:
        """Return the demand in load tokens/s under ``configuration``."""
        totals: dict[DemandKey, float] = {}
        for node_id in sorted(self._fronts):
            for entry in self._fronts[node_id].entries:
                key = _key(entry, configuration)
                if key is not None:
                    totals[key] = totals.get(key, 0.0) + _load(entry)
        return totals


def _is_newer(report: DemandReport, previous: FrontReport) -> bool:
    same_process = previous.incarnation == report.node_incarnation
    return not same_process or report.sequence > previous.sequence


def _usable(entry: DemandEntry) -> bool:
    rates = (
        entry.requests_per_s,
        entry.prompt_tokens_per_s,
        entry.answer_tokens_per_s,
        entry.refused_per_s,
    )
    return all(math.isfinite(rate) and 0.0 <= rate <= MAX_RATE for rate in rates)


def _key(entry: DemandEntry, configuration: Configuration) -> DemandKey | None:
    route = configuration.routes.get(entry.route)
    model = configuration.models.get(entry.model)
    if route is None or model is None or entry.latency_class not in model.latency_classes:
        return None
    if entry.source_region not in configuration.regions:
        return None
    homes = tuple(sorted(route.home_regions))
    return DemandKey(entry.model, entry.latency_class, entry.source_region, homes)


def _load(entry: DemandEntry) -> float:
    """Return the offered load; fronts count refused requests in with their average size."""
    return entry.prompt_tokens_per_s * PROMPT_TOKEN_COST + entry.answer_tokens_per_s
