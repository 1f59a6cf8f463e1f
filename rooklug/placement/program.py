"""The integer program, which finds replica counts and traffic in one solve.

Columns: the integer number of replicas by model and slot group; loads and unloads relative to what
is loaded; how many of the replicas serve the region's own and other regions' traffic; traffic
(tokens/s) by commodity and destination; slacks for demand, coverage and headroom.
Rows: demand, throughput, the weights serve, spill and reserve, the capacity of slots, the guardrail
on loads, coverage, and headroom for a loss.
"""

import attrs

from rooklug.config.document import Readiness
from rooklug.placement import objective as cost
from rooklug.placement.capacity_tracker import Flow
from rooklug.placement.diving import FIRST_STYLES, LATER_STYLES, Diver, DiveStyle
from rooklug.placement.evenness import Arrival, Station, add_evenness
from rooklug.placement.facts import LOAD_EPSILON, unit_cost, usable_share
from rooklug.placement.groups import (
    Commodity,
    SlotGroup,
    commodities,
    runnable_models,
    slot_groups,
)
from rooklug.placement.guardrail import allowed_loads
from rooklug.placement.linear import LinearModel, LinearSolution, minimise
from rooklug.placement.problem import DemandKey, PlacementProblem
from rooklug.placement.readiness import CoverageDemand, coverage_demand
from rooklug.placement.slot_capacity import add_slot_capacity

BRANCHING_LIMIT = 100
"""Up to this many replica columns, HiGHS solves by branch and bound; above it, by diving."""
REPACKING_SHARE = 0.12
"""Share of the allowed loads that large problems reserve for repacking slots."""


@attrs.frozen
class Candidate:
    """A model that can run on a group of slots, given by its index in ``groups``."""

    model: str
    group_index: int


@attrs.frozen
class ProgramAnswer:
    """A solution of the program: replica counts by candidate, traffic, and proven relative gap.

    ``ended_by_time`` says that the solver's time guard ended the solve.
    """

    counts: dict[Candidate, int]
    flows: list[Flow]
    gap: float
    objective: float
    ended_by_time: bool = False


class PlacementProgram:
    """Builds the program of one problem, solves it and reads its solutions.

    ``replicas`` holds the column of each candidate's replica count, ``units`` the resource units of
    each candidate's replica.
    """

    def __init__(self, problem: PlacementProblem) -> None:
        self.problem = problem
        self.groups = slot_groups(problem)
        self.commodities = commodities(problem)
        self.model = LinearModel()
        self.replicas: dict[Candidate, int] = {}
        self.units: dict[Candidate, float] = {}
        self._own: dict[Candidate, int] = {}
        self._foreign: dict[Candidate, int] = {}
        self._traffic: dict[tuple[int, str], int] = {}
        self._loads: list[tuple[int, float]] = []
        self._diver: Diver | None = None
        self._ranks = cost.priority_ranks(problem)
        self._candidates_of: dict[tuple[str, str], list[Candidate]] = {}
        self._build()

    def solve(self, limit_s: float) -> ProgramAnswer | None:
        """Return the best answer found with the work of ``limit_s``, or None if there is none.

        Above ``BRANCHING_LIMIT`` replica columns ``limit_s`` is time instead of work.
        """
        if len(self.replicas) > BRANCHING_LIMIT:
            return self._dive(limit_s)
        return self._read(minimise(self.model, limit_s))

    def limit(self, candidate: Candidate, count: int) -> None:
        """Allow at most ``count`` replicas at ``candidate`` in the next solve."""
        self.model.uppers[self.replicas[candidate]] = float(count)

    @property
    def spent_s(self) -> float:
        """The seconds that the solver has run so far, by its own timer; 0 unless it dives."""
        return self._diver.spent_s if self._diver is not None else 0.0

    def _dive(self, limit_s: float) -> ProgramAnswer | None:
        styles: tuple[DiveStyle, ...] = LATER_STYLES
        if self._diver is None:
            self._diver = Diver(self.model, self._rank_of_columns())
            styles = FIRST_STYLES
        return self._read(self._diver.search(limit_s, styles))

    def _read(self, solution: LinearSolution | None) -> ProgramAnswer | None:
        if solution is None:
            return None
        counts = {
            candidate: round(solution.values[column]) for candidate, column in self.replicas.items()
        }
        flows = self._read_flows(solution.values)
        return ProgramAnswer(
            counts, flows, solution.gap, solution.objective, solution.ended_by_time
        )

    def _rank_of_columns(self) -> dict[int, float]:
        return {column: self._ranks[candidate.model] for candidate, column in self.replicas.items()}

    def route(self, counts: dict[Candidate, int], limit_s: float) -> list[Flow] | None:
        """Return the best traffic for fixed replica counts, with utilisation balanced.

        The traffic that the program itself finds may fill some replicas completely and leave
        others idle. Here, the highest utilisation of each model's regions is minimised as far as
        the weights allow, and nearer regions are preferred. Returns None if nothing is found
        within ``limit_s``.
        """
        fixed = self.model.relaxed()
        for candidate, column in self.replicas.items():
            fixed.fix(column, float(counts.get(candidate, 0)))
        self._balance(fixed, counts)
        solution = minimise(fixed, limit_s)
        return self._read_flows(solution.values) if solution is not None else None

    def _balance(self, model: LinearModel, counts: dict[Candidate, int]) -> None:
        stations: dict[tuple[str, str], Station] = {}
        for (index, region), column in self._traffic.items():
            commodity = self.commodities[index]
            model_region = (commodity.model, region)
            if model_region not in stations:
                candidates = self._candidates_of.get(model_region, ())
                capacity = sum(
                    counts.get(candidate, 0) * self._rate(candidate) for candidate in candidates
                )
                stations[model_region] = Station(commodity.model, capacity)
            trip = next(d.round_trip_ms for d in commodity.eligible if d.region == region)
            stations[model_region].arriving.append(Arrival(column, trip))
        units = dict.fromkeys(self.problem.models, 0.0)
        for candidate, count in counts.items():
            units[candidate.model] += count * self.units[candidate]
        costs = {name: unit_cost(spec) for name, spec in self.problem.models.items()}
        add_evenness(model, list(stations.values()), units, costs)

    def _build(self) -> None:
        for index, group in enumerate(self.groups):
            self._add_group(index, group)
        for index, commodity in enumerate(self.commodities):
            self._add_commodity(index, commodity)
        self._add_throughput()
        self._add_region_weights()
        self._add_coverage()
        self._add_readiness()
        self.model.row(self._loads, upper=float(self._guardrail()))

    def _guardrail(self) -> int:
        """Return the limit on loads.

        Large problems reserve ``REPACKING_SHARE`` of it for repacking slots afterwards.
        """
        allowed = allowed_loads(self.problem)
        if len(self.replicas) <= BRANCHING_LIMIT:
            return allowed
        return allowed - int(allowed * REPACKING_SHARE)

    def _add_group(self, index: int, group: SlotGroup) -> None:
        units = runnable_models(self.problem, group)
        reserve = usable_share(self.problem.regions[group.region])
        for model, size in units.items():
            candidate = Candidate(model, index)
            self.units[candidate] = size
            self._candidates_of.setdefault((model, group.region), []).append(candidate)
            loaded = group.loaded_count(model)
            most = loaded if group.avoided else len(group.slots)
            replicas = self.model.column(size, float(most), integer=True)
            self.replicas[candidate] = replicas
            self._add_churn(replicas, size, loaded)
            self._own[candidate] = self.model.column()
            self._foreign[candidate] = self.model.column()
            self.model.row(
                [
                    (self._own[candidate], 1.0),
                    (self._foreign[candidate], 1.0),
                    (replicas, -reserve),
                ],
                upper=0.0,
            )
        columns = {name: self.replicas[Candidate(name, index)] for name in units}
        add_slot_capacity(self.model, group, columns, units)

    def _add_churn(self, replicas: int, size: float, loaded: int) -> None:
        loads = self.model.column(cost.LOAD_SHARE * size)
        self.model.row([(loads, 1.0), (replicas, -1.0)], lower=-float(loaded))
        self._loads.append((loads, 1.0))
        if loaded:
            unloads = self.model.column(cost.UNLOAD_SHARE * size)
            self.model.row([(unloads, 1.0), (replicas, 1.0)], lower=float(loaded))

    def _add_commodity(self, index: int, commodity: Commodity) -> None:
        rank = self._ranks[commodity.model]
        unplaced = self.model.column(
            cost.unplaced_cost(self.problem, commodity.model, rank), commodity.load
        )
        entries = [(unplaced, 1.0)]
        for destination in commodity.eligible:
            price = cost.late_cost(self.problem, commodity.model) if destination.late else 0.0
            column = self.model.column(price, commodity.load)
            self._traffic[index, destination.region] = column
            entries.append((column, 1.0))
        self.model.row(entries, lower=commodity.load, upper=commodity.load)

    def _add_throughput(self) -> None:
        own: dict[tuple[str, str], list[int]] = {}
        foreign: dict[tuple[str, str], list[int]] = {}
        for (index, region), column in self._traffic.items():
            commodity = self.commodities[index]
            side = own if commodity.source_region == region else foreign
            side.setdefault((commodity.model, region), []).append(column)
        for served, capacity in ((own, self._own), (foreign, self._foreign)):
            for model_region, columns in served.items():
                entries = [(column, 1.0) for column in columns]
                entries += [
                    (capacity[candidate], -self._rate(candidate))
                    for candidate in self._candidates_of.get(model_region, ())
                ]
                self.model.row(entries, upper=0.0)

    def _rate(self, candidate: Candidate) -> float:
        resource = self.groups[candidate.group_index].resource
        return self.problem.models[candidate.model].resources[resource].tokens_per_s

    def _add_region_weights(self) -> None:
        for region, facts in sorted(self.problem.regions.items()):
            total = sum(
                group.units * len(group.slots) for group in self.groups if group.region == region
            )
            for columns, share in (
                (self._own, facts.weights.serve),
                (self._foreign, facts.weights.spill),
            ):
                entries = [
                    (column, self.units[candidate])
                    for candidate, column in columns.items()
                    if self.groups[candidate.group_index].region == region
                ]
                self.model.row(entries, upper=share * total)

    def _add_coverage(self) -> None:
        for model, regions in cost.coverage_groups(self.problem):
            price = cost.coverage_cost(self.problem, model, self._ranks[model])
            missing = self.model.column(price, 1.0)
            entries = [(missing, 1.0)]
            for region in regions:
                entries += [
                    (self.replicas[candidate], 1.0)
                    for candidate in self._candidates_of.get((model, region), ())
                ]
            self.model.row(entries, lower=1.0)

    def _add_readiness(self) -> None:
        if self.problem.readiness is Readiness.NONE:
            return
        by_zone = self.problem.readiness is Readiness.ZONE
        for demand in coverage_demand(self.problem):
            if by_zone and self._zone_count(demand.regions) > 1:
                for region in demand.regions:
                    loaded = self._remaining_throughput(demand.model, demand.regions)
                    lost = self._lost_in_zone(demand.model, region)
                    self._add_headroom(demand, loaded + lost, self._zone_count((region,)))
            elif not by_zone and len(demand.regions) > 1:
                for region in demand.regions:
                    others = tuple(host for host in demand.regions if host != region)
                    self._add_headroom(demand, self._remaining_throughput(demand.model, others), 1)

    def _add_headroom(
        self, demand: CoverageDemand, left: list[tuple[int, float]], losses: int
    ) -> None:
        """Add a row: the throughput ``left`` after a loss must serve the demand, or costs apply.

        The row stands for ``losses`` equivalent losses, whose costs are added up.
        """
        price = cost.readiness_cost(self.problem, demand.model) * losses
        missing = self.model.column(price)
        self.model.row([*left, (missing, 1.0)], lower=demand.load)

    def _remaining_throughput(
        self, model: str, regions: tuple[str, ...]
    ) -> list[tuple[int, float]]:
        entries: list[tuple[int, float]] = []
        for region in regions:
            usable = usable_share(self.problem.regions[region])
            entries.extend(
                (self.replicas[candidate], usable * self._rate(candidate))
                for candidate in self._candidates_of.get((model, region), ())
            )
        return entries

    def _zone_count(self, regions: tuple[str, ...]) -> int:
        return len(
            {slot.zone for group in self.groups for slot in group.slots if group.region in regions}
        )

    def _lost_in_zone(self, model: str, region: str) -> list[tuple[int, float]]:
        """Add columns for the replicas lost with one zone: an even share, rounded up.

        Returns the entries of their throughput, which are negative.
        """
        zones = self._zone_count((region,))
        usable = usable_share(self.problem.regions[region])
        entries = []
        for candidate in self._candidates_of.get((model, region), ()):
            lost = self.model.column(upper=float(len(self.groups[candidate.group_index].slots)))
            self.model.integers.append(lost)
            self.model.row([(lost, float(zones)), (self.replicas[candidate], -1.0)], lower=0.0)
            entries.append((lost, -usable * self._rate(candidate)))
        return entries

    def _read_flows(self, values: list[float]) -> list[Flow]:
        loads: dict[tuple[DemandKey, str], float] = {}
        for (index, region), column in self._traffic.items():
            commodity = self.commodities[index]
            if values[column] <= LOAD_EPSILON:
                continue
            for key in commodity.keys:
                share = self.problem.demand[key] / commodity.load
                loads[key, region] = values[column] * share
        return [Flow(key, region, load) for (key, region), load in loads.items()]
