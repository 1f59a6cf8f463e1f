"""Greedy placement: the fallback if the integer program has no answer in time.

Demand keys are handled by priority, then by size. Each key first uses the replicas already placed
in eligible regions, nearest first, and then places new ones, preferring slots that have the model
loaded.
"""

from rooklug.placement.assembly import assemble
from rooklug.placement.capacity_tracker import CapacityTracker
from rooklug.placement.facts import LOAD_EPSILON, Destination, all_keys, destinations, key_order
from rooklug.placement.guardrail import allowed_loads
from rooklug.placement.problem import DemandKey, PlacementPlan, PlacementProblem

SOLVER_NAME = "greedy"


def plan_greedily(problem: PlacementProblem) -> PlacementPlan:
    """Return a valid plan, which may not be optimal; never raises for a valid problem."""
    capacity = fill(problem, allowed_loads(problem))
    return assemble(problem, capacity.assignments, capacity.flow_list(), SOLVER_NAME)


def fill(problem: PlacementProblem, moves: int) -> CapacityTracker:
    """Return the tracker of a greedy placement with at most ``moves`` loads."""
    capacity = CapacityTracker(problem, moves)
    keys = [key for key in problem.demand if key.model in problem.models]
    keys.sort(key=lambda key: _urgency(problem, key))
    for key in keys:
        _restrict_to_eligible(capacity, key)
    for key in keys:
        _assign_demand(capacity, key, problem.demand[key])
    _keep_configured(capacity)
    return capacity


def _urgency(problem: PlacementProblem, key: DemandKey) -> tuple:
    return (-problem.models[key.model].priority, -problem.demand[key], key_order(key))


def _assign_demand(capacity: CapacityTracker, key: DemandKey, load: float) -> None:
    eligible = destinations(capacity.problem, key)
    for group in (_in_time(eligible), _late(eligible)):
        for destination in group:
            load = capacity.pour(key, destination.region, load)
        for destination in group:
            while load > LOAD_EPSILON and _grow(capacity, key, destination.region):
                load = capacity.pour(key, destination.region, load)


def _grow(capacity: CapacityTracker, key: DemandKey, region: str) -> bool:
    if capacity.budget_left(key, region) <= LOAD_EPSILON:
        return False
    return capacity.open_replica(key.model, region)


def _restrict_to_eligible(capacity: CapacityTracker, key: DemandKey) -> None:
    eligible = destinations(capacity.problem, key)
    if any(capacity.replicas(key.model, destination.region) for destination in _in_time(eligible)):
        return
    for destination in eligible:
        if capacity.open_replica(key.model, destination.region):
            return


def _keep_configured(capacity: CapacityTracker) -> None:
    problem = capacity.problem
    placed = {model for models in capacity.assignments.values() for model in models}
    for key in all_keys(problem):
        if key.model not in placed and key not in problem.demand:
            _restrict_to_eligible(capacity, key)
            placed.add(key.model)


def _in_time(eligible: list[Destination]) -> list[Destination]:
    return [destination for destination in eligible if not destination.late]


def _late(eligible: list[Destination]) -> list[Destination]:
    return [destination for destination in eligible if destination.late]
