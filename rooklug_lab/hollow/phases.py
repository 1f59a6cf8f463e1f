"""The phases of a hollow run: steady state, changes, failures, and a common return."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from rooklug_lab.fleet.client import ConditionNotMetError, wait_until
from rooklug_lab.hollow.fleet import HollowFleet
from rooklug_lab.hollow.statistics import spread
from rooklug_lab.hollow.window import difference, take_snapshot

LEASE_GUARD_S = 4.0
SETTLE_TIMEOUT_S = 30.0
FAILOVER_TIMEOUT_S = 40.0
SINGLE_CHANGES = 5
STORM_CHANGES = 20


async def measured(fleet: HollowFleet, phase: Callable[[], Awaitable[dict[str, Any]]]) -> dict:
    """Run a phase; add what all processes used meanwhile."""
    before = await take_snapshot(fleet)
    try:
        result = await phase()
    except ConditionNotMetError as problem:
        result = {"failed": str(problem)}
    return {**result, "use": difference(before, await take_snapshot(fleet))}


async def settle(fleet: HollowFleet) -> dict[str, Any]:
    """Wait until no plan has been published for a while."""
    quiet_since = time.monotonic()
    last = -1.0

    async def quiet() -> bool:
        nonlocal quiet_since, last
        count = await _publications(fleet)
        if count != last:
            last, quiet_since = count, time.monotonic()
        return time.monotonic() - quiet_since >= LEASE_GUARD_S

    try:
        return {"settled_s": round(await wait_until(quiet, SETTLE_TIMEOUT_S, "a quiet plan"), 1)}
    except ConditionNotMetError:
        return {"settled_s": None}


async def _publications(fleet: HollowFleet) -> float:
    total = 0.0
    for controller in fleet.site.controllers:
        figures = await fleet.metrics(controller.node_id)
        total += figures.get("rooklug_placer_publications_total", 0.0)
    return total


async def steady(seconds: float) -> dict[str, Any]:
    """Let the fleet run."""
    await asyncio.sleep(seconds)
    return {}


async def single_changes(fleet: HollowFleet) -> dict[str, Any]:
    """Change the configuration, one change after another is in force everywhere."""
    sent_at, acknowledged_at = {}, {}
    for _ in range(SINGLE_CHANGES):
        sent, acknowledged = await fleet.change()
        sent_at[fleet.version], acknowledged_at[fleet.version] = sent, acknowledged
        await fleet.wait_in_force(fleet.version)
    return await _lags(fleet, sent_at, acknowledged_at)


async def storm(fleet: HollowFleet) -> dict[str, Any]:
    """Change the configuration as fast as changes are acknowledged."""
    sent_at, acknowledged_at = {}, {}
    begun = time.monotonic()
    for _ in range(STORM_CHANGES):
        sent, acknowledged = await fleet.change()
        sent_at[fleet.version], acknowledged_at[fleet.version] = sent, acknowledged
    seconds = time.monotonic() - begun
    await fleet.wait_in_force(fleet.version)
    lags = await _lags(fleet, sent_at, acknowledged_at)
    return {"changes_per_s": round(STORM_CHANGES / seconds, 2), **lags}


async def _lags(
    fleet: HollowFleet, sent_at: dict[int, float], acknowledged_at: dict[int, float]
) -> dict[str, Any]:
    """Return how long after the answer, and the order, all fronts served under each change."""
    fronts = await fleet.fronts()
    after_answer, after_order = [], []
    for front in fronts:
        in_force = {int(version): at for version, at in front["in_force"].items()}
        for version, acknowledged in acknowledged_at.items():
            at = min(at for held, at in in_force.items() if held >= version)
            after_answer.append(max(0.0, at - acknowledged))
            after_order.append(at - sent_at[version])
    acknowledged_s = [acknowledged_at[version] - sent_at[version] for version in sent_at]
    return {
        "fronts": len(fronts),
        "changes": len(sent_at),
        "acknowledged": _plain(spread(acknowledged_s)),
        "in_force_after_answer": _plain(spread(after_answer)),
        "in_force_after_order": _plain(spread(after_order)),
    }


async def kill_primary(fleet: HollowFleet) -> dict[str, Any]:
    """Kill the primary core; measure until a change is acknowledged and in force again."""
    killed = await fleet.primary()
    if not killed:
        raise ConditionNotMetError("no primary before the kill")
    fleet.processes[killed].kill()
    begun = time.monotonic()
    _, acknowledged = await fleet.change()
    await fleet.wait_in_force(fleet.version)
    fronts = await fleet.fronts()
    in_force = [front["in_force"][str(fleet.version)] - begun for front in fronts]
    result = {
        "killed": killed,
        "change_acknowledged_s": round(acknowledged - begun, 2),
        "change_in_force": _plain(spread(in_force)),
        "all_connected_s": round(time.monotonic() - begun, 2),
    }
    fleet.processes[killed].start()
    return result


async def kill_placer(fleet: HollowFleet) -> dict[str, Any]:
    """Kill the placer's controller; measure until another one has published a plan."""
    before = await _placer(fleet)
    if not before:
        raise ConditionNotMetError("no placer before the kill")
    fleet.processes[before].kill()
    begun = time.monotonic()

    async def seen_everywhere() -> bool:
        placers = await fleet.standing("placers")
        return bool(placers) and not {"", before} & placers.keys()

    seen_s = await wait_until(seen_everywhere, FAILOVER_TIMEOUT_S, "a new placer")
    after = await _placer(fleet)

    async def published() -> bool:
        figures = await fleet.metrics(after)
        return figures.get("rooklug_placer_publications_total", 0.0) >= 1

    await wait_until(published, FAILOVER_TIMEOUT_S, "a plan of the new placer")
    result = {
        "killed": before,
        "new_placer_seen_everywhere_s": round(seen_s, 2),
        "plan_published_s": round(time.monotonic() - begun, 2),
    }
    fleet.processes[before].start()
    return result


async def _placer(fleet: HollowFleet) -> str:
    for controller in fleet.site.controllers:
        figures = await fleet.metrics(controller.node_id)
        if figures.get("rooklug_placer_held"):
            return controller.node_id
    return ""


async def common_return(fleet: HollowFleet) -> dict[str, Any]:
    """Kill all hollow fronts at once, start them again together."""
    for name in fleet.front_processes:
        fleet.processes[name].kill()
    for name in fleet.front_processes:
        fleet.processes[name].start()
    begun = time.monotonic()
    await fleet.wait_in_force(fleet.version, 60.0)
    all_s = time.monotonic() - begun
    fronts = await fleet.fronts()
    lags = [min(front["in_force"].values()) - front["started_at"] for front in fronts]
    last_start = max(front["started_at"] for front in fronts)
    return {
        "fronts": len(fronts),
        "front_started_until_in_force": _plain(spread(lags)),
        "last_front_started_s": round(last_start - begun, 2),
        "all_connected_with_plan_s": round(all_s, 2),
    }


def _plain(figures: Any) -> Any:
    return None if figures is None else attrs.asdict(figures)
