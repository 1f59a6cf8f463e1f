"""Which replica a scenario turns on: one that has traffic, or its promise is never tried."""

from typing import Any

from rooklug_lab.fleet.fleet import Fleet
from rooklug_lab.standins.settings import ReplicaSettings

RECENT_S = 5.0


def recent_generations(journal: dict[str, Any], now: float) -> int:
    """Return how many generations of a replica's journal began in the last ``RECENT_S``."""
    return sum(
        now - RECENT_S <= generation["started_s"] <= now
        for generation in journal.get("generations", [])
    )


async def busiest_replica(fleet: Fleet) -> ReplicaSettings:
    """Return the model replica with the most recent traffic (the first of equals)."""
    replicas = fleet.deployment.replicas
    journals = [await fleet.journal(fleet.listening(each.address)) for each in replicas]
    now = fleet.now()
    counts = [recent_generations(journal, now) for journal in journals]
    return replicas[counts.index(max(counts))]
