"""A day in virtual time: the placer against two simpler ways of sharing the same replicas.

``python -m rooklug_lab.placement.day --deployment quiz --seeds 3``. Steps of a minute; what
a strategy decides from one minute's demand is in force in the next. Strategies: ``placer``
(forecast, program, matrix with spill), the same with headroom for a zone, ``static`` (the
split that yesterday's peak of each key needs, all day), ``each region`` (every region sized
each minute for its own callers, no traffic between regions). Routes bound to a home go there
in all of them.
"""

import argparse
import json
import sys
from collections.abc import Callable

import attrs

from rooklug.config.document import Readiness
from rooklug.placement.facts import round_trip_ms
from rooklug.placement.forecast import DemandForecast
from rooklug.placement.planner import solve
from rooklug.placement.problem import DemandKey, PlacementPlan, PlacementProblem
from rooklug_lab.placement.demand import MINUTES, demand_of_day
from rooklug_lab.placement.deployments import DEPLOYMENTS, RESOURCE, Deployment
from rooklug_lab.placement.queueing import FirstTokenTimes, Station, wait_of

MAX_MOVES = 8
SOLVE_LIMIT_S = 1.0

Demand = dict[DemandKey, float]
Decide = Callable[[Demand, int], PlacementPlan]


@attrs.frozen
class DayFigures:
    """One day under one strategy."""

    strategy: str
    replica_hours: float
    goodput_share: float
    p95_first_token_s: float
    out_of_home_requests: float
    moves: int


class _Day:
    """Serves a day's demand by whatever plan is in force, and keeps the figures."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._region_of = {slot.replica_id: slot.region for slot in deployment.slots}
        self._times = FirstTokenTimes()
        self._offered = self._served = self._outside = self._replica_minutes = 0.0
        self._moves = 0
        self._last: dict[str, tuple[str, ...]] | None = None

    def serve(self, plan: PlacementPlan, demand: Demand) -> None:
        """Serve one minute of ``demand`` under ``plan``."""
        self._count_replicas(plan)
        counts = self._replica_counts(plan)
        arrived = self._route(plan, demand, counts)
        loads: dict[tuple[str, str], float] = {}
        for (key, region), load in arrived.items():
            loads[key.model, region] = loads.get((key.model, region), 0.0) + load
            if key.home_regions and region not in key.home_regions:
                self._outside += load
        waits = {
            place: wait_of(self._station(place, counts[place], load))
            for place, load in loads.items()
        }
        for (key, region), load in arrived.items():
            trip = round_trip_ms(self._deployment.regions, key.source_region, region) / 1000.0
            self._times.add(waits[key.model, region], trip, load)
            self._served += load
        self._offered += sum(demand.values())

    def figures(self, strategy: str) -> DayFigures:
        """Return the day's figures."""
        return DayFigures(
            strategy,
            round(self._replica_minutes / 60.0, 1),
            round(self._served / self._offered, 5),
            self._times.quantile(0.95),
            round(self._outside, 3),
            self._moves,
        )

    def _count_replicas(self, plan: PlacementPlan) -> None:
        self._replica_minutes += sum(len(models) for models in plan.assignments.values())
        if self._last is not None:
            for slot, models in plan.assignments.items():
                self._moves += len(set(models) ^ set(self._last.get(slot, ())))
        self._last = plan.assignments

    def _replica_counts(self, plan: PlacementPlan) -> dict[tuple[str, str], int]:
        counts: dict[tuple[str, str], int] = {}
        for slot, models in plan.assignments.items():
            for model in models:
                place = (model, self._region_of[slot])
                counts[place] = counts.get(place, 0) + 1
        return counts

    def _station(self, place: tuple[str, str], replicas: int, load: float) -> Station:
        need = self._deployment.models[place[0]].resources[RESOURCE]
        return Station(replicas, need.tokens_per_s, need.concurrency, load)

    def _route(
        self, plan: PlacementPlan, demand: Demand, counts: dict[tuple[str, str], int]
    ) -> dict[tuple[DemandKey, str], float]:
        """Send demand along the matrix: one preference after the other, as far as there is room."""
        room = {place: self._station(place, count, 0.0).capacity for place, count in counts.items()}
        cells: dict[DemandKey, dict[int, dict[str, float]]] = {}
        for cell in plan.matrix:
            levels = cells.setdefault(cell.demand_key, {})
            levels.setdefault(cell.preference, {})[cell.destination_region] = cell.weight
        arrived: dict[tuple[DemandKey, str], float] = {}
        left = dict(demand)
        for level in range(3):
            for key in demand:
                wanted = left[key]
                for region, weight in cells.get(key, {}).get(level, {}).items():
                    place = (key.model, region)
                    taken = min(wanted * weight, room.get(place, 0.0))
                    if taken > 0:
                        room[place] -= taken
                        left[key] -= taken
                        arrived[key, region] = arrived.get((key, region), 0.0) + taken
        return arrived


def run_day(
    name: str, seed: int, minutes: int = MINUTES, reserve: float | None = None
) -> list[DayFigures]:
    """Run the second of two days, or its first ``minutes``, under every strategy.

    ``reserve`` replaces the regions' weight of that name.
    """
    deployment = DEPLOYMENTS[name]
    if reserve is not None:
        deployment = _with_reserve(deployment, reserve)
    days = demand_of_day(name, seed, days=2)
    strategies: dict[str, Decide] = {
        "placer": _placer(deployment, Readiness.NONE),
        "placer, headroom for a zone": _placer(deployment, Readiness.ZONE),
        "static": _static(deployment, days[:MINUTES]),
        "each region": _each_region(deployment),
    }
    last = MINUTES - 1 + min(minutes, MINUTES)
    return [
        _run(deployment, days[: last + 1], strategy, decide)
        for strategy, decide in strategies.items()
    ]


def _with_reserve(deployment: Deployment, reserve: float) -> Deployment:
    regions = {
        name: attrs.evolve(facts, weights=attrs.evolve(facts.weights, reserve=reserve))
        for name, facts in deployment.regions.items()
    }
    return attrs.evolve(deployment, regions=regions)


def _run(deployment: Deployment, days: list[Demand], strategy: str, decide: Decide) -> DayFigures:
    day = _Day(deployment)
    for minute in range(MINUTES - 1, len(days) - 1):
        day.serve(decide(days[minute], minute), days[minute + 1])
    return day.figures(strategy)


def _placer(deployment: Deployment, readiness: Readiness) -> Decide:
    forecast = DemandForecast()
    loaded: dict[str, tuple[str, ...]] = {}

    def decide(demand: Demand, minute: int) -> PlacementPlan:
        forecast.observe(demand, minute * 60.0)
        plan = solve(problem_of(deployment, forecast.predict(), loaded, readiness))
        loaded.update(plan.assignments)
        return plan

    return decide


def _static(deployment: Deployment, yesterday: list[Demand]) -> Decide:
    peaks = {key: max(minute[key] for minute in yesterday) for key in yesterday[0]}
    plan = _apart(deployment, peaks, {})

    def decide(demand: Demand, minute: int) -> PlacementPlan:
        return plan

    return decide


def _each_region(deployment: Deployment) -> Decide:
    forecast = DemandForecast()
    loaded: dict[str, tuple[str, ...]] = {}

    def decide(demand: Demand, minute: int) -> PlacementPlan:
        forecast.observe(demand, minute * 60.0)
        plan = _apart(deployment, forecast.predict(), loaded)
        loaded.update(plan.assignments)
        return plan

    return decide


def _apart(
    deployment: Deployment, demand: Demand, loaded: dict[str, tuple[str, ...]]
) -> PlacementPlan:
    """Plan every region for itself: no spill, and bound demand counted at its home."""
    regions = {
        name: attrs.evolve(facts, weights=attrs.evolve(facts.weights, spill=0.0))
        for name, facts in deployment.regions.items()
    }
    own: Demand = {}
    sources: dict[DemandKey, list[DemandKey]] = {}
    for key, load in demand.items():
        home = attrs.evolve(key, source_region=(key.home_regions or (key.source_region,))[0])
        own[home] = own.get(home, 0.0) + load
        sources.setdefault(home, []).append(key)
    alone = attrs.evolve(deployment, regions=regions)
    plan = solve(problem_of(alone, own, loaded, Readiness.NONE))
    matrix = [
        attrs.evolve(cell, demand_key=key)
        for cell in plan.matrix
        for key in sources.get(cell.demand_key, ())
    ]
    return attrs.evolve(plan, matrix=tuple(matrix))


def problem_of(
    deployment: Deployment,
    demand: Demand,
    loaded: dict[str, tuple[str, ...]],
    readiness: Readiness,
) -> PlacementProblem:
    """Return the placement problem of a deployment at one moment."""
    slots = tuple(
        attrs.evolve(slot, loaded_models=loaded.get(slot.replica_id, ()))
        for slot in deployment.slots
    )
    return PlacementProblem(
        deployment.models,
        deployment.regions,
        slots,
        demand,
        MAX_MOVES,
        SOLVE_LIMIT_S,
        readiness=readiness,
    )


def main(arguments: list[str] | None = None) -> int:
    """Run days and print one JSON line a strategy and seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), required=True)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--reserve", type=float, help="the regions' reserve instead of theirs")
    options = parser.parse_args(arguments)
    for seed in range(options.seeds):
        for figures in run_day(options.deployment, seed, reserve=options.reserve):
            print(json.dumps({"seed": seed, **attrs.asdict(figures)}), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
