"""One term of the placer: from taking the role under a token until losing it.

All of a term's knowledge is gathered anew, so nothing of an earlier term can leak into it.
"""

from collections.abc import Callable
from typing import Any

import attrs

from rooklug.controller.configuration_reader import ConfigurationReader, ReadConfiguration
from rooklug.controller.decision_log import DecisionKind, DecisionLog, record_plan
from rooklug.controller.demand_watch import DemandWatch
from rooklug.controller.fleet_state import FleetChange, FleetState
from rooklug.controller.health import Verdict
from rooklug.controller.hints import Hints
from rooklug.controller.link import Link
from rooklug.controller.moves import Moves, MoveStep, taking_nothing_away
from rooklug.controller.order_desk import ModelOrder, OrderDesk, OrderEnd, OrderKind
from rooklug.controller.plan_publisher import PlanPublisher
from rooklug.controller.problem_builder import build_problem
from rooklug.controller.role import RoleFollower
from rooklug.controller.solve_trigger import SolveTrigger
from rooklug.controller.spread_plan import spread
from rooklug.controller.takeover import Takeover
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import ProcessContext
from rooklug.model import topics
from rooklug.placement.problem import PlacementPlan, PlacementProblem
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    DemandReport,
    PlanBody,
    ProbeReport,
    ReplicasBody,
    ZonesBody,
)

Solve = Callable[[PlacementProblem], PlacementPlan]

JUDGE_SPACING_S = 0.2
AVOID_S = 30.0
FRONT_ROLE = "front"


@attrs.frozen
class PlacerTools:
    """What a term works with; ``solve`` and ``read_configuration`` run as ``Compute``."""

    context: ProcessContext
    link: Link
    solve: Solve
    read_configuration: ReadConfiguration


class PlacerTerm:
    """The placer's state and steps under one token."""

    def __init__(self, tools: PlacerTools, role: RoleFollower, now: float) -> None:
        self._tools = tools
        self._role = role
        context = tools.context
        self.fleet = FleetState()
        self.demand = DemandWatch()
        self.desk = OrderDesk(role, context.identifiers, context.random)
        self.decisions = DecisionLog(context, role.grant.token)
        self.hints = Hints()
        self.takeover = Takeover(now)
        self._trigger = SolveTrigger()
        self._moves: Moves | None = None
        self._partial_plan = False
        self._step = MoveStep()
        self._last_plan: PlanBody | None = None
        self._reader = ConfigurationReader(tools.read_configuration, context.identifiers)
        self.publisher = PlanPublisher(tools.link, self._reader, self.fleet, self.decisions)
        self._solve_ticket: int | None = None
        self._problem: PlacementProblem | None = None
        self._plan: PlacementPlan | None = None
        self._cause = ""
        self._solve_cause = ""
        self._avoid_until: dict[str, float] = {}
        self._judged_at = float("-inf")
        self.solves = 0
        self.failed_solves = 0
        self.last_solve_s = 0.0
        self._solve_began = now

    def begin(self, now: float) -> list[fx.Effect]:
        """Start from what the node holds of each topic."""
        link = self._tools.link
        self._last_plan = link.body(topics.PLAN)
        if self._last_plan is not None:
            self.fleet.remember(self._last_plan.replicas)
        effects: list[fx.Effect] = []
        for topic in (topics.CONFIGURATION, topics.ZONES, topics.REPLICAS):
            body = link.body(topic)
            if body is not None:
                effects += self.topic_changed(topic, body, now)
        self._trigger.note("new placer", now)
        return effects

    def finish(self) -> list[fx.Effect]:
        """Withdraw what is on its way: the role is lost."""
        return self.desk.clear()

    def topic_changed(self, topic: str, body: Any, now: float) -> list[fx.Effect]:
        """Take a newer body of a topic."""
        if topic == topics.CONFIGURATION and isinstance(body, ConfigurationBody):
            return self._reader.take(body)
        if topic == topics.REPLICAS and isinstance(body, ReplicasBody):
            return self._take_listing(body, now)
        if topic == topics.ZONES and isinstance(body, ZonesBody):
            return self._take_zones(body, now)
        return []

    def _take_listing(self, body: ReplicasBody, now: float) -> list[fx.Effect]:
        came, went = self.fleet.take_listing(body.replicas)
        self.publisher.dirty = True
        for replica_id in went:
            self._trigger.note(f"replica {replica_id} leaving or gone", now)
        if came:
            self._trigger.note(f"{len(came)} new replicas", now)
        return self._withdraw_orders(went)

    def _withdraw_orders(self, replica_ids: list[str]) -> list[fx.Effect]:
        return [effect for gone in replica_ids for effect in self.desk.drop_replica(gone)]

    def _take_zones(self, body: ZonesBody, now: float) -> list[fx.Effect]:
        zones = frozenset(body.emptied_zones)
        for zone in sorted(zones - self.fleet.drained_zones):
            self._trigger.note(f"zone {zone} emptied", now)
        for zone in sorted(self.fleet.drained_zones - zones):
            self._trigger.note(f"zone {zone} restored", now)
        self.fleet.drained_zones = zones
        return self._withdraw_orders(self.fleet.in_drained_zones())

    def demand_report(self, report: DemandReport, now: float) -> None:
        """Take a front's demand and what it saw of the replicas."""
        if self.demand.table.take(report, now):
            self.fleet.take_observations(report.node_id, report.observations or [], now)

    def probe_report(self, report: ProbeReport, now: float) -> None:
        """Take a prober's results."""
        for result in report.results:
            change = self.fleet.take_probe(report.node_id, result, now)
            self.publisher.dirty |= change is not FleetChange.NOTHING
            if change is FleetChange.PLACES:
                self.hints.settled(result.replica_id)

    def computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        """Take the end of a computation of this term; others' are ignored."""
        if self._reader.owns(event):
            readable, effects = self._reader.computed(event)
            if readable:
                self._configured(now)
            return effects
        if event.ticket == self._solve_ticket:
            return self._solved(event, now)
        return []

    def _configured(self, now: float) -> None:
        configuration = self._reader.configuration
        if self._moves is None:
            self._moves = Moves(configuration)
        else:
            self._moves.configure(configuration)
        self._trigger.note(f"configuration {self._reader.version}", now)

    def order_try_ended(
        self, event: ev.HttpAnswered | ev.HttpFailed, now: float
    ) -> list[fx.Effect]:
        """Take the end of one try of an order; return the orders that waited for it."""
        ended = self.desk.take_end(event, now)
        if ended is not None:
            self._order_ended(*ended, now)
        return self._send_orders(now)

    def _order_ended(self, order: ModelOrder, end: OrderEnd, now: float) -> None:
        self.hints.look_at(order.replica_id, now)
        if end is OrderEnd.STALE_TOKEN:
            self._role.fence()
        elif end in (OrderEnd.NO_ROOM, OrderEnd.GAVE_UP):
            self._avoid_until[order.replica_id] = now + AVOID_S
            summary = f"{order.kind.value} {order.model} on {order.replica_id}: {end.value}"
            self.decisions.record(DecisionKind.GIVE_UP, end.value, summary)
            self._trigger.note(f"order to {order.replica_id} failed: {end.value}", now)

    def advance(self, now: float) -> list[fx.Effect]:
        """Do what the clock asks for: judge, sample, solve, order, publish."""
        if now - self._judged_at >= JUDGE_SPACING_S:
            self._judged_at = now
            self._judge(now)
        if self._reader.configuration is None or not self._may_decide(now):
            return []
        self._sample_demand(now)
        if self._partial_plan and not self.takeover.is_partial(now):
            self._trigger.note("the whole fleet is known", now)
        effects = self._solve_if_due(now)
        effects += self._carry_out(now)
        return effects + self._publish(now)

    def _may_decide(self, now: float) -> bool:
        fronts = [node for node in self._tools.link.members() if node.role == FRONT_ROLE]
        seen = len(self.demand.table.front_ids)
        return self.takeover.may_decide(self.fleet, len(fronts), seen, now)

    def _judge(self, now: float) -> None:
        for replica_id, before, after in self.fleet.judge(now):
            self.publisher.dirty = True
            if after is Verdict.SUSPECT:
                self.hints.look_at(replica_id, now)
            elif after is Verdict.DEAD:
                self._trigger.note(f"lost replica {replica_id}", now)
                self.decisions.record(
                    DecisionKind.REPLICA_LOST, "probes and traffic", f"{replica_id} is dead"
                )
            elif before is Verdict.DEAD:
                self._trigger.note(f"replica {replica_id} is back", now)
                self.decisions.record(
                    DecisionKind.REPLICA_BACK, "a report", f"{replica_id} answers again"
                )
            elif before is Verdict.UNKNOWN:
                self._trigger.note(f"first report of {replica_id}", now)

    def _sample_demand(self, now: float) -> None:
        solved_for = self._problem.demand if self._problem is not None else {}
        for cause in self.demand.sample_if_due(self._reader.configuration, solved_for, now):
            self._trigger.note(cause, now)

    def _solve_if_due(self, now: float) -> list[fx.Effect]:
        if not self._trigger.due(now, self._reader.configuration.placement.solve_interval_s):
            return []
        self._avoid_until = {k: until for k, until in self._avoid_until.items() if until > now}
        self._moves.observe(self.fleet, now)
        problem = build_problem(
            self._reader.configuration,
            self.fleet,
            self.demand.planned(),
            self._moves.held_models,
            frozenset(self._avoid_until) | self._moves.avoided(now),
        )
        self._solve_cause = self._trigger.begin(now)
        if problem == self._problem and not self._partial_plan:
            self._trigger.end()
            return []
        self._problem = problem
        self.solves += 1
        self._solve_began = now
        self._solve_ticket = self._tools.context.identifiers.next()
        return [fx.Compute(self._solve_ticket, self._tools.solve, problem)]

    def _solved(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        self._solve_ticket = None
        self.last_solve_s = now - self._solve_began
        self._trigger.end()
        plan, effects = event.result, []
        if event.error or not isinstance(plan, PlacementPlan):
            self.failed_solves += 1
            effects.append(fx.Log("error", "solve failed", {"problem": event.error}))
            plan = spread(self._problem)
        record_plan(self.decisions, self._plan, plan, self._solve_cause)
        self._plan = plan
        self._cause = self._solve_cause
        self._adopt(plan, now)
        self.publisher.dirty = True
        return effects

    def _adopt(self, plan: PlacementPlan, now: float) -> None:
        """Aim at a plan; one made on partial knowledge takes nothing away yet."""
        self._partial_plan = self.takeover.is_partial(now)
        if self._partial_plan:
            plan = taking_nothing_away(plan, self._moves, self._last_plan)
        self._moves.adopt(plan, self._cause, now)

    def _carry_out(self, now: float) -> list[fx.Effect]:
        if self._plan is None:
            return []
        self._moves.observe(self.fleet, now)
        self._moves.weights_published(self.publisher.accepted_weights(), now)
        step = self._moves.step(self.fleet, now)
        for decision in self._moves.decisions():
            self.decisions.record(DecisionKind(decision.kind), decision.cause, decision.summary)
        self.publisher.dirty |= step != self._step
        self._step = step
        effects: list[fx.Effect] = []
        for order in self._step.orders:
            effects += self._issue(order, now)
        return effects + self._send_orders(now)

    def _send_orders(self, now: float) -> list[fx.Effect]:
        calls, ended = self.desk.send_due(now)
        for order, end in ended:
            self._order_ended(order, end, now)
        return calls

    def _issue(self, order: ModelOrder, now: float) -> list[fx.Effect]:
        """Hand an order over, but no load to a replica that has refused one of late."""
        refused = self._avoid_until.get(order.replica_id, now) > now
        replica = self.fleet.replicas.get(order.replica_id)
        if replica is None or (refused and order.kind is OrderKind.LOAD):
            return []
        return self.desk.issue(order, replica.listed.address, now)

    def _publish(self, now: float) -> list[fx.Effect]:
        if self._plan is None:
            return []
        return self.publisher.publish_if_changed(self._step, self._cause, now)
