"""Runs the solves of one placer term and keeps the newest plan."""

from collections.abc import Callable

import attrs

from rooklug.controller.decision_log import DecisionLog, record_plan_changes
from rooklug.controller.solve_trigger import SolveTrigger
from rooklug.controller.spread_plan import spread
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers
from rooklug.placement.planner import ENDED_BY_TIME
from rooklug.placement.problem import DemandKey, PlacementPlan, PlacementProblem

Solve = Callable[[PlacementProblem], PlacementPlan]


class NoSolveInProgressError(Exception):
    """A result was passed to ``finish`` although no solve has been started."""


@attrs.frozen
class SolveResult:
    """The plan of a finished solve, and the effects to run."""

    plan: PlacementPlan
    effects: list[fx.Effect]


class SolveRunner:
    """Runs one solve at a time as a ``Compute`` effect.

    ``plan`` is the newest plan and ``cause`` the reason for its solve; both are empty before the
    first solve. ``last_solve_s`` is the duration of the last solve.
    """

    def __init__(
        self, identifiers: Identifiers, solve: Solve, decisions: DecisionLog, now: float
    ) -> None:
        self._identifiers = identifiers
        self._solve = solve
        self._decisions = decisions
        self._trigger = SolveTrigger()
        self._ticket: int | None = None
        self._problem: PlacementProblem | None = None
        self._cause_in_progress = ""
        self._began_at = now
        self.plan: PlacementPlan | None = None
        self.cause = ""
        self.solves = 0
        self.failed_solves = 0
        self.solves_ended_by_time = 0
        self.last_solve_s = 0.0

    @property
    def solved_demand(self) -> dict[DemandKey, float]:
        """The demand of the newest problem by key, in load tokens/s; empty before the first."""
        return self._problem.demand if self._problem is not None else {}

    def add_cause(self, cause: str, now: float) -> None:
        """Request a solve soon; ``cause`` goes into the decision records."""
        self._trigger.add_cause(cause, now)

    def is_due(self, interval_s: float, now: float) -> bool:
        """Return whether to solve now: after a cause, or ``interval_s`` after the last solve."""
        return self._trigger.is_due(now, interval_s)

    def begin(
        self, problem: PlacementProblem, now: float, *, even_if_equal: bool
    ) -> list[fx.Effect]:
        """Start solving ``problem``.

        A problem equal to the last one is skipped, unless ``even_if_equal``.
        """
        self._cause_in_progress = self._trigger.begin(now)
        if problem == self._problem and not even_if_equal:
            self._trigger.end()
            return []
        self._problem = problem
        self.solves += 1
        self._began_at = now
        self._ticket = self._identifiers.next()
        return [fx.Compute(self._ticket, self._solve, problem)]

    def owns(self, event: ev.Computed) -> bool:
        """Return whether ``event`` ends the solve in progress."""
        return event.ticket == self._ticket

    def finish(self, event: ev.Computed, now: float) -> SolveResult:
        """Handle the result of the solve; if it failed, fall back to an even spread of the models.

        Raises
        ------
        NoSolveInProgressError
            No solve has been started.
        """
        if self._problem is None:
            raise NoSolveInProgressError(
                "the result of a solve arrived before any solve was started"
            )
        self._ticket = None
        self.last_solve_s = now - self._began_at
        self._trigger.end()
        plan = event.result
        effects: list[fx.Effect] = []
        if event.error or not isinstance(plan, PlacementPlan):
            self.failed_solves += 1
            effects.append(
                fx.Log(
                    "error",
                    "solve failed; spreading the models evenly instead",
                    {"problem": event.error},
                )
            )
            plan = spread(self._problem)
        elif ENDED_BY_TIME in plan.notes:
            self.solves_ended_by_time += 1
            fields = {"duration_s": self.last_solve_s, "gap": plan.gap}
            effects.append(fx.Log("warning", "time guard ended a solve", fields))
        record_plan_changes(self._decisions, self.plan, plan, self._cause_in_progress)
        self.plan = plan
        self.cause = self._cause_in_progress
        return SolveResult(plan, effects)
