"""Seeded sweeps of planner and move executor against everything that may change under them.

``python -m rooklug_lab.placement.sweep --deployment payroll --seeds 200 [--without GUARD]``
"""

import argparse
import json
import sys
from random import Random

import attrs

from rooklug.config.document import Model, RegionWeights, ResourceNeed
from rooklug.placement.fleet_state import EMPTY_PLAN
from rooklug.placement.moves import MoveExecutor
from rooklug.placement.orders import Load, MoveGuards, MoveSettings, Order, PublishWeights
from rooklug.placement.planner import solve
from rooklug.placement.problem import (
    DemandKey,
    PlacementPlan,
    PlacementProblem,
    RouteShare,
)
from rooklug_lab.placement.deployments import DEPLOYMENTS, Deployment
from rooklug_lab.placement.move_oracle import MoveOracle
from rooklug_lab.placement.replicas import ReplicaFleet

TICK_S = 0.5
SOLVE_EVERY_TICKS = 10
EVENT_CHANCE = 0.06
DURATION_S = 160.0
LEASE_GUARD_S = 60.0
"""The last part of a seed, in which everything is back and nothing more happens."""
SETTLING_S = 10.0
"""After a new placer or new models, a refused load may rest on what it couldn't know yet."""


@attrs.frozen
class SweepOutcome:
    """What one seed showed."""

    seed: int
    loads: int
    unloads: int
    publications: int
    given_up: int
    blocked: int
    breaches: tuple[str, ...]
    converged: bool


class MoveSweep:
    """One seed: replicas, a placer that solves every few seconds, and things that happen."""

    def __init__(self, deployment: Deployment, seed: int, guards: MoveGuards) -> None:
        self._random = Random(f"{deployment.name}/{seed}")
        self._seed = seed
        self._deployment = deployment
        self._guards = guards
        self._models = dict(deployment.models)
        self._regions = dict(deployment.regions)
        self._fleet = ReplicaFleet(deployment.slots, self._random)
        self._demand = self._draw_demand()
        self._settings = MoveSettings()
        self._executor = MoveExecutor(self._models, self._settings, guards)
        self._oracle = MoveOracle()
        self._unsettled_until = 0.0
        self._plan = EMPTY_PLAN
        self._counts = {"Load": 0, "Unload": 0, "PublishWeights": 0}
        self._kinds = {"give_up": 0, "blocked": 0}

    def run(self) -> SweepOutcome:
        """Run the seed to its end."""
        for tick in range(int(DURATION_S / TICK_S)):
            now = tick * TICK_S
            if now == DURATION_S - LEASE_GUARD_S:
                self._replicas_return(now)
            if now < DURATION_S - LEASE_GUARD_S and self._random.random() < EVENT_CHANCE:
                self._something_happens(now)
            self._fleet.advance(now)
            self._executor.observe(dict(self._fleet.reports), now)
            if tick % SOLVE_EVERY_TICKS == 0:
                self._solve(now)
            self._oracle.reported(self._fleet.reports)
            for order in self._executor.step(now):
                self._obey(order, now)
            for decision in self._executor.decisions():
                if decision.kind in self._kinds:
                    self._kinds[decision.kind] += 1
        return self._outcome()

    def _outcome(self) -> SweepOutcome:
        breaches = tuple(
            f"{breach.promise}: {breach.detail} at {breach.at_s:.1f} s"
            for breach in self._oracle.breaches
        )
        return SweepOutcome(
            self._seed,
            self._counts["Load"],
            self._counts["Unload"],
            self._counts["PublishWeights"],
            self._kinds["give_up"],
            self._kinds["blocked"],
            breaches,
            self._has_converged(),
        )

    def _has_converged(self) -> bool:
        """Return whether every replica holds what the last plan wants, and no more."""
        return all(
            set(self._plan.assignments[name]) == replica.loaded and not replica.loading
            for name, replica in self._fleet.replicas.items()
        )

    def _solve(self, now: float) -> None:
        slots = tuple(
            attrs.evolve(replica.slot, loaded_models=self._executor.committed_models(name))
            for name, replica in self._fleet.replicas.items()
            if name in self._fleet.reports
        )
        problem = PlacementProblem(
            self._models,
            self._regions,
            slots,
            self._demand,
            4,
            1.0,
            self._executor.avoided_slots(now),
            self._deployment.readiness,
        )
        plan = solve(problem)
        room = {slot.replica_id: slot.resource_units for slot in slots}
        self._oracle.planned_units(plan, self._models, room, now)
        self._plan = _with_foreign_cells(plan, sorted(self._regions))
        plan = self._plan
        self._executor.adopt(plan, now, "sweep")
        self._oracle.adopted(plan)

    def _obey(self, order: Order, now: float) -> None:
        self._counts[type(order).__name__] += 1
        reports = self._fleet.reports
        if isinstance(order, PublishWeights):
            self._oracle.published(order, reports, now)
            return
        replica = self._fleet.replicas[order.slot]
        if isinstance(order, Load):
            if not (replica.alive and self._fleet.order_arrives()):
                return
            if not replica.load(order, self._models, now) and now >= self._unsettled_until:
                self._oracle.load_refused(order.model, order.slot, now)
            return
        self._oracle.unload_ordered(order, reports, now)
        if replica.alive and self._fleet.order_arrives():
            replica.unload(order)

    # What happens ----------------------------------------------------------------------

    def _something_happens(self, now: float) -> None:
        happenings = (
            self._demand_moves,
            self._demand_moves,
            self._replica_restarts,
            self._replica_vanishes,
            self._zone_vanishes,
            self._replicas_return,
            self._replicas_return,
            self._loads_stall,
            self._configuration_changes,
            self._placer_restarts,
        )
        self._random.choice(happenings)(now)

    def _draw_demand(self) -> dict[DemandKey, float]:
        demand = {}
        for model in self._models:
            home = self._deployment.homes.get(model)
            bindings = ((),) if home is None else ((), (home,))
            for region in self._regions:
                for homes in bindings:
                    load = self._random.uniform(0.0, 1.2) * 300.0 / len(bindings)
                    demand[DemandKey(model, "only", region, homes)] = round(load, 1)
        return demand

    def _demand_moves(self, now: float) -> None:
        self._demand = self._draw_demand()

    def _any_replica(self):
        return self._fleet.replicas[self._random.choice(sorted(self._fleet.replicas))]

    def _replica_restarts(self, now: float) -> None:
        self._any_replica().restart()

    def _replica_vanishes(self, now: float) -> None:
        self._any_replica().alive = False

    def _zone_vanishes(self, now: float) -> None:
        zone = self._any_replica().slot.zone
        for replica in self._fleet.replicas.values():
            if replica.slot.zone == zone:
                replica.alive = False

    def _replicas_return(self, now: float) -> None:
        for replica in self._fleet.replicas.values():
            if not replica.alive:
                replica.restart()

    def _loads_stall(self, now: float) -> None:
        self._any_replica().stalls_until = now + self._random.uniform(5.0, 40.0)

    def _configuration_changes(self, now: float) -> None:
        name = self._random.choice(sorted(self._models))
        units = self._random.choice((2.0, 4.0, 8.0))
        rate = self._random.choice((200.0, 400.0, 600.0))
        need = ResourceNeed(units, rate, load_s=self._random.choice((2.0, 5.0, 8.0)))
        old = self._models[name]
        resources = dict.fromkeys(old.resources, need)
        changed = Model(old.latency_classes, resources, self._random.randint(0, 3))
        self._models = {**self._models, name: changed}
        region = self._random.choice(sorted(self._regions))
        weights = RegionWeights(1.0, self._random.choice((0.0, 0.5, 1.0)), 0.1)
        facts = attrs.evolve(self._regions[region], weights=weights)
        self._regions = {**self._regions, region: facts}
        self._executor.configure(self._models, self._settings)
        self._unsettled_until = now + SETTLING_S

    def _placer_restarts(self, now: float) -> None:
        self._executor = MoveExecutor(self._models, self._settings, self._guards)
        self._unsettled_until = now + SETTLING_S
        self._executor.observe(dict(self._fleet.reports), now)
        self._solve(now)


def _with_foreign_cells(plan: PlacementPlan, regions: list[str]) -> PlacementPlan:
    """Return the plan of a faulty planner: every bound key also leads outside its homes."""
    foreign = [
        RouteShare(key, region, 1, 1.0)
        for key in {cell.demand_key: None for cell in plan.matrix}
        for region in regions
        if key.home_regions and region not in key.home_regions
    ]
    return attrs.evolve(plan, matrix=(*plan.matrix, *foreign))


def run_sweep(name: str, seeds: range, guards: MoveGuards | None = None) -> list[SweepOutcome]:
    """Run many seeds of one deployment."""
    chosen = guards if guards is not None else MoveGuards()
    return [MoveSweep(DEPLOYMENTS[name], seed, chosen).run() for seed in seeds]


def main(arguments: list[str] | None = None) -> int:
    """Run a sweep and print its figures as JSON; exit 1 on any breach."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), required=True)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=0)
    guard_names = [field.name for field in attrs.fields(MoveGuards)]
    parser.add_argument("--without", choices=guard_names, help="switch one guard off")
    options = parser.parse_args(arguments)
    guards = attrs.evolve(MoveGuards(), **({options.without: False} if options.without else {}))
    seeds = range(options.first, options.first + options.seeds)
    outcomes = run_sweep(options.deployment, seeds, guards)
    broken = [outcome for outcome in outcomes if outcome.breaches]
    print(
        json.dumps(
            {
                "deployment": options.deployment,
                "without": options.without,
                "seeds": len(outcomes),
                "loads": sum(outcome.loads for outcome in outcomes),
                "unloads": sum(outcome.unloads for outcome in outcomes),
                "publications": sum(outcome.publications for outcome in outcomes),
                "given_up": sum(outcome.given_up for outcome in outcomes),
                "blocked": sum(outcome.blocked for outcome in outcomes),
                "converged": sum(outcome.converged for outcome in outcomes),
                "not_converged": [outcome.seed for outcome in outcomes if not outcome.converged][
                    :5
                ],
                "seeds_with_breaches": len(broken),
                "breaches": sum(len(outcome.breaches) for outcome in broken),
                "first": [[outcome.seed, outcome.breaches[0]] for outcome in broken[:3]],
            }
        )
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
