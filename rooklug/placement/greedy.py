"""A greedy placement: the fallback where the integer program has no answer in time.

Demand is walked by priority, then by size. Each key fills open replicas in reach,
nearest first, and only then opens new ones; what is loaded already is opened first.
"""

from rooklug.placement.assembly import assemble
from rooklug.placement.facts import LOAD_EPSILON, Destination, all_keys, destinations, key_order
from rooklug.placement.guardrail import allowed_loads
from rooklug.placement.ledger import ChangeHistory
from rooklug.placement.problem import DemandKey, PlacementPlan, PlacementProblem

SOLVER_NAME = "greedy"


def plan_greedily(problem: PlacementProblem) -> PlacementPlan:
    """Return a legal plan, not the best one; never raises on a legal problem."""
    ledger = fill(problem, allowed_loads(problem))
    return assemble(problem, ledger.assignments, ledger.flow_list(), SOLVER_NAME)


def fill(problem: PlacementProblem, moves: int) -> ChangeHistory:
    """Return the books of a greedy placement with at most ``moves`` loads."""
    ledger = ChangeHistory(problem, moves)
    keys = [key for key in problem.demand if key.model in problem.models]
    keys.sort(key=lambda key: _urgency(problem, key))
    for key in keys:
        _keep_in_reach(ledger, key)
    for key in keys:
        _place(ledger, key, problem.demand[key])
    _keep_configured(ledger)
    return ledger


def _urgency(problem: PlacementProblem, key: DemandKey) -> tuple:
    return (-problem.models[key.model].priority, -problem.demand[key], key_order(key))


def _place(ledger: ChangeHistory, key: DemandKey, load: float) -> None:
    reach = destinations(ledger.problem, key)
    for group in (_in_time(reach), _late(reach)):
        for destination in group:
            load = ledger.pour(key, destination.region, load)
        for destination in group:
            while load > LOAD_EPSILON and _grow(ledger, key, destination.region):
                load = ledger.pour(key, destination.region, load)


def _grow(ledger: ChangeHistory, key: DemandKey, region: str) -> bool:
    if ledger.budget_left(key, region) <= LOAD_EPSILON:
        return False
    return ledger.open_replica(key.model, region)


def _keep_in_reach(ledger: ChangeHistory, key: DemandKey) -> None:
    reach = destinations(ledger.problem, key)
    if any(ledger.replicas(key.model, destination.region) for destination in _in_time(reach)):
        return
    for destination in reach:
        if ledger.open_replica(key.model, destination.region):
            return


def _keep_configured(ledger: ChangeHistory) -> None:
    problem = ledger.problem
    placed = {model for models in ledger.assignments.values() for model in models}
    for key in all_keys(problem):
        if key.model not in placed and key not in problem.demand:
            _keep_in_reach(ledger, key)
            placed.add(key.model)


def _in_time(reach: list[Destination]) -> list[Destination]:
    return [destination for destination in reach if not destination.late]


def _late(reach: list[Destination]) -> list[Destination]:
    return [destination for destination in reach if destination.late]
