"""What all processes of a hollow fleet used between two moments."""

import os
import time
from collections import Counter
from typing import Any

import attrs

from rooklug_lab.hollow.fleet import HollowFleet
from rooklug_lab.hollow.process import REPLICAS

_MEGABYTE = 1e6
_SENT = 'rooklug_channel_bytes_total{direction="sent"}'
_RECEIVED = 'rooklug_channel_bytes_total{direction="received"}'


@attrs.frozen
class Snapshot:
    """Everything that is counted, at one moment."""

    at: float
    uses: dict[str, Any]
    metrics: dict[str, dict[str, float]]
    fronts: list[dict[str, Any]]
    replicas: list[dict[str, Any]]


async def take_snapshot(fleet: HollowFleet) -> Snapshot:
    """Read all counters."""
    fronts = await fleet.desk_figures(fleet.front_processes)
    names = [name for name in fleet.desks if name.startswith(f"hollow-{REPLICAS}")]
    replicas = await fleet.desk_figures(names)
    metrics = {name: await fleet.metrics(name) for name in fleet.nodes}
    uses = {name: fleet.use(name) for name in fleet.processes}
    return Snapshot(time.monotonic(), uses, metrics, fronts, replicas)


def difference(before: Snapshot, after: Snapshot) -> dict[str, Any]:
    """Return rates between two snapshots; processes that were restarted are left out."""
    seconds = after.at - before.at
    daemons = {
        name: _daemon(name, before, after, seconds)
        for name in after.metrics
        if _comparable(name, before, after)
    }
    return {
        "seconds": round(seconds, 1),
        "load_average": round(os.getloadavg()[0], 1),
        "daemons": daemons,
        "hollow_fronts": _fronts(before.fronts, after.fronts, seconds),
        "replicas": _replicas(before, after, seconds),
    }


def _comparable(name: str, before: Snapshot, after: Snapshot) -> bool:
    if not before.uses[name] or not after.uses[name]:
        return False
    return after.uses[name].processor_s >= before.uses[name].processor_s


def _daemon(name: str, before: Snapshot, after: Snapshot, seconds: float) -> dict[str, float]:
    def rate(metric: str) -> float:
        grown = after.metrics[name].get(metric, 0.0) - before.metrics[name].get(metric, 0.0)
        return round(grown / seconds, 1)

    used = after.uses[name].processor_s - before.uses[name].processor_s
    figures = {
        "core_share": round(used / seconds, 4),
        "resident_mb": round(after.uses[name].resident_bytes / _MEGABYTE, 1),
        "events_per_s": rate("rooklug_events_total"),
        "sent_bytes_per_s": rate(_SENT),
        "received_bytes_per_s": rate(_RECEIVED),
    }
    if after.metrics[name].get("rooklug_acts_as_primary"):
        figures["primary"] = 1
    if after.metrics[name].get("rooklug_placer_held"):
        figures["placer"] = 1
        figures["solves_per_s"] = rate("rooklug_placer_solves_total")
        figures["publications_per_s"] = rate("rooklug_placer_publications_total")
        figures["last_solve_s"] = after.metrics[name].get("rooklug_placer_last_solve_seconds", -1)
    return figures


def _fronts(
    before: list[dict[str, Any]], after: list[dict[str, Any]], seconds: float
) -> dict[str, Any]:
    old = {node["node_id"]: node for process in before for node in process.get("nodes", [])}
    new = {node["node_id"]: node for process in after for node in process.get("nodes", [])}
    same = [name for name in new if name in old and _went_on(old[name], new[name])]
    if not same:
        return {}

    def mean(key: str) -> float:
        return sum(new[name][key] - old[name][key] for name in same) / len(same) / seconds

    def grown(key: str) -> float:
        return sum(p[key] for p in after) - sum(p[key] for p in before)

    messages: Counter = Counter()
    for name in same:
        messages.update(new[name]["messages"])
        messages.subtract(old[name]["messages"])
    shared = grown("shared_s") / len(same) / seconds
    return {
        "fronts": len(same),
        "reducer_core_share": round(mean("reducer_s"), 5),
        "shared_core_share": round(shared, 5),
        "process_core_share": round(grown("processor_s") / len(same) / seconds, 5),
        "resident_mb_a_front": round(
            sum(p["resident_bytes"] for p in after) / _MEGABYTE / len(new), 2
        ),
        "sent_bytes_per_s": round(mean("sent_bytes"), 1),
        "received_bytes_per_s": round(mean("received_bytes"), 1),
        "messages_per_s": {
            name: round(count / len(same) / seconds, 3) for name, count in messages.items()
        },
    }


def _went_on(old: dict[str, Any], new: dict[str, Any]) -> bool:
    return old["started_at"] == new["started_at"]


def _replicas(before: Snapshot, after: Snapshot, seconds: float) -> dict[str, Any]:
    def rate(key: str) -> float:
        grown = sum(p.get(key, 0) for p in after.replicas)
        grown -= sum(p.get(key, 0) for p in before.replicas)
        return round(grown / seconds, 1)

    return {
        "probes_per_s": rate("probes"),
        "orders_per_s": rate("orders"),
        "models_loaded": sum(p.get("loaded", 0) for p in after.replicas),
    }
