"""Calls in flight of a region's other fronts at each replica, from their latest reports."""

import attrs

REPORT_TTL_S = 0.6
"""A peer that has not reported for this long counts as having no calls in flight."""


@attrs.frozen
class ReplicaUsage:
    """Calls in flight at a replica, and the prompt tokens of those without a byte of response."""

    running: int = 0
    queued_prefill_tokens: int = 0


NO_USAGE = ReplicaUsage()


@attrs.frozen
class _PeerReport:
    at: float
    incarnation: str
    sequence: int
    usages: dict[str, ReplicaUsage]


@attrs.define
class PeerLoads:
    """The latest report of each peer. It improves routing decisions; no guarantee depends on it."""

    _reports: dict[str, _PeerReport] = attrs.field(factory=dict)

    def take(
        self,
        node_id: str,
        incarnation: str,
        sequence: int,
        usages: dict[str, ReplicaUsage],
        now: float,
    ) -> bool:
        """Store a peer's report if it is newer than the stored one; return whether it was."""
        known = self._reports.get(node_id)
        if known and known.incarnation == incarnation and known.sequence >= sequence:
            return False
        self._reports[node_id] = _PeerReport(now, incarnation, sequence, usages)
        return True

    def usage_at(self, replica_id: str, now: float) -> ReplicaUsage:
        """Return the sum of all peers' current reports for a replica."""
        running = queued_prefill_tokens = 0
        for report in self._reports.values():
            usage = report.usages.get(replica_id)
            if usage is not None and now - report.at <= REPORT_TTL_S:
                running += usage.running
                queued_prefill_tokens += usage.queued_prefill_tokens
        return ReplicaUsage(running, queued_prefill_tokens)

    def totals_without(self, node_id: str, now: float) -> dict[str, ReplicaUsage]:
        """Return the sums of all peers' current reports except one peer's, by replica id."""
        totals: dict[str, ReplicaUsage] = {}
        for name, report in self._reports.items():
            if name == node_id or now - report.at > REPORT_TTL_S:
                continue
            for replica_id, usage in report.usages.items():
                total = totals.get(replica_id, NO_USAGE)
                totals[replica_id] = ReplicaUsage(
                    total.running + usage.running,
                    total.queued_prefill_tokens + usage.queued_prefill_tokens,
                )
        return totals

    def forget_except(self, node_ids: frozenset[str]) -> None:
        """Drop the reports of fronts that are not in ``node_ids``."""
        self._reports = {key: report for key, report in self._reports.items() if key in node_ids}
