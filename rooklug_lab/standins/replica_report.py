"""The body of a stand-in replica's ``GET /api/report``."""

from typing import Any

import attrs

from rooklug_lab.standins.loaded_models import LoadedModels
from rooklug_lab.standins.settings import ReplicaSettings


@attrs.frozen
class ReplicaState:
    """What a report shows beside the models."""

    incarnation: str
    running: int
    cached_parts: int
    cold: bool


def total_concurrency(settings: ReplicaSettings, models: LoadedModels) -> int:
    """Return how many requests the loaded models can run at once."""
    return sum(settings.models[name].concurrency for name in models.loaded())


def replica_report(
    settings: ReplicaSettings, models: LoadedModels, state: ReplicaState, now: float
) -> dict[str, Any]:
    """Return the report as a JSON object."""
    return {
        "replica_id": settings.replica_id,
        "incarnation": state.incarnation,
        "kind": "model",
        "region": settings.region,
        "zone": settings.zone,
        "resource": settings.resource,
        "resource_units": settings.resource_units,
        "models": models.report(now),
        "running": state.running,
        "queued": 0,
        "concurrency": total_concurrency(settings, models),
        "tokens_per_s": sum(settings.models[name].tokens_per_s for name in models.loaded()),
        "cached_parts": state.cached_parts,
        "highest_token": list(models.highest_token),
        "cold": state.cold,
    }
