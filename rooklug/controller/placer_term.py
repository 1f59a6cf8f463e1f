"""One term of the placer: from acquiring the role under a fencing token until losing it.

Each term collects all of its state again, so that no state of an earlier term leaks into it.
"""

from typing import Any

import attrs

from rooklug.config.document import Configuration
from rooklug.controller.configuration_reader import ConfigurationReader, ReadConfiguration
from rooklug.controller.decision_log import DecisionKind, DecisionLog
from rooklug.controller.demand_watch import DemandWatch
from rooklug.controller.fleet_state import FleetChange, FleetState
from rooklug.controller.health import Verdict
from rooklug.controller.link import Link
from rooklug.controller.moves import MoveStep, PlanExecutor, without_withdrawals
from rooklug.controller.order_dispatcher import (
    CompletedOrder,
    ModelOrder,
    OrderDispatcher,
    OrderKind,
    OrderOutcome,
)
from rooklug.controller.plan_publisher import PlanPublisher
from rooklug.controller.probe_urgency import ProbeUrgency
from rooklug.controller.problem_builder import build_problem
from rooklug.controller.role import RoleFollower
from rooklug.controller.solving import Solve, SolveRunner
from rooklug.controller.takeover import Takeover
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import ProcessContext
from rooklug.model import topics
from rooklug.placement.problem import PlacementPlan
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    DemandReport,
    PlanBody,
    ProbeReport,
    ReplicasBody,
    VersionMark,
    ZonesBody,
)

VERDICT_INTERVAL_S = 0.2
AVOID_S = 30.0
"""How long a replica gets no load after it rejected an order or an order timed out."""
FRONT_ROLE = "front"


@attrs.frozen
class PlacerDependencies:
    """The dependencies of a term.

    ``solve`` and ``read_configuration`` run as ``Compute`` effects, outside the event loop.
    """

    context: ProcessContext
    link: Link
    solve: Solve
    read_configuration: ReadConfiguration


class PlacerTerm:
    """The placer's state and behaviour under one fencing token.

    ``PlacerHost`` passes it events and calls ``advance`` to act on what they have changed.
    """

    def __init__(
        self, tools: PlacerDependencies, role: RoleFollower, token: VersionMark, now: float
    ) -> None:
        self._tools = tools
        self._role = role
        context = tools.context
        self.fleet = FleetState()
        self.demand = DemandWatch()
        self.dispatcher = OrderDispatcher(role, context.identifiers, context.random)
        self.decisions = DecisionLog(context, token)
        self.solving = SolveRunner(context.identifiers, tools.solve, self.decisions, now)
        self.urgency = ProbeUrgency()
        self.takeover = Takeover(now)
        self._moves: PlanExecutor | None = None
        self._partial_plan = False
        self._step = MoveStep()
        self._last_plan: PlanBody | None = None
        self._reader = ConfigurationReader(tools.read_configuration, context.identifiers)
        self.publisher = PlanPublisher(tools.link, self._reader, self.fleet, self.decisions)
        self._avoid_until: dict[str, float] = {}
        self._verdicts_updated_at = float("-inf")

    def begin(self, now: float) -> list[fx.Effect]:
        """Start from the bodies of the topics that this node holds."""
        link = self._tools.link
        self._last_plan = link.body(topics.PLAN)
        if self._last_plan is not None:
            self.fleet.remember_plan(self._last_plan.replicas)
        effects: list[fx.Effect] = []
        for topic in (topics.CONFIGURATION, topics.ZONES, topics.REPLICAS):
            body = link.body(topic)
            if body is not None:
                effects += self.handle_topic_changed(topic, body, now)
        self.solving.add_cause("new placer", now)
        return effects

    def finish(self) -> list[fx.Effect]:
        """End the term: cancel the orders that have not completed."""
        return self.dispatcher.cancel_all()

    def handle_topic_changed(self, topic: str, body: Any, now: float) -> list[fx.Effect]:
        """Apply a newer body of topic "configuration", "replicas" or "zones"; ignore others."""
        if topic == topics.CONFIGURATION and isinstance(body, ConfigurationBody):
            return self._reader.submit(body)
        if topic == topics.REPLICAS and isinstance(body, ReplicasBody):
            return self._apply_listing(body, now)
        if topic == topics.ZONES and isinstance(body, ZonesBody):
            return self._apply_zones(body, now)
        return []

    def _apply_listing(self, body: ReplicasBody, now: float) -> list[fx.Effect]:
        came, went = self.fleet.apply_listing(body.replicas)
        self.publisher.dirty = True
        for replica_id in went:
            self.solving.add_cause(f"replica {replica_id} leaving or gone", now)
        if came:
            self.solving.add_cause(f"{len(came)} new replicas", now)
        return self._cancel_orders(went)

    def _cancel_orders(self, replica_ids: list[str]) -> list[fx.Effect]:
        return [effect for gone in replica_ids for effect in self.dispatcher.cancel_replica(gone)]

    def _apply_zones(self, body: ZonesBody, now: float) -> list[fx.Effect]:
        zones = frozenset(body.emptied_zones)
        for zone in sorted(zones - self.fleet.drained_zones):
            self.solving.add_cause(f"zone {zone} emptied", now)
        for zone in sorted(self.fleet.drained_zones - zones):
            self.solving.add_cause(f"zone {zone} restored", now)
        self.fleet.drained_zones = zones
        return self._cancel_orders(self.fleet.in_drained_zones())

    def handle_demand_report(self, report: DemandReport, now: float) -> None:
        """Record a front's demand and its observations of replicas, unless out of date."""
        if self.demand.table.record(report, now):
            self.fleet.apply_observations(report.node_id, report.observations or [], now)

    def handle_probe_report(self, report: ProbeReport, now: float) -> None:
        """Apply a prober's results to the fleet state."""
        for result in report.results:
            change = self.fleet.apply_probe(report.node_id, result, now)
            self.publisher.dirty |= change is not FleetChange.NOTHING
            if change is FleetChange.ASSIGNMENTS:
                self.urgency.clear_request(result.replica_id)

    def handle_computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        """Handle the end of a parse or solve of this term; results of earlier terms are ignored."""
        if self._reader.owns(event):
            readable, effects = self._reader.handle_computed(event)
            if readable and self._reader.configuration is not None:
                self._on_configuration_read(self._reader.configuration, now)
            return effects
        if self.solving.owns(event) and self._moves is not None:
            result = self.solving.finish(event, now)
            self._adopt(result.plan, self._moves, now)
            self.publisher.dirty = True
            return result.effects
        return []

    def _on_configuration_read(self, configuration: Configuration, now: float) -> None:
        if self._moves is None:
            self._moves = PlanExecutor(configuration)
        else:
            self._moves.configure(configuration)
        self.solving.add_cause(f"configuration {self._reader.version}", now)

    def handle_attempt_end(
        self, event: ev.HttpAnswered | ev.HttpFailed, now: float
    ) -> list[fx.Effect]:
        """Handle the end of one attempt of an order; send the orders that are due."""
        order = self.dispatcher.handle_attempt_end(event, now)
        if order is not None:
            self._on_order_completed(order, now)
        return self._send_orders(now)

    def _on_order_completed(self, completed: CompletedOrder, now: float) -> None:
        order, outcome = completed.order, completed.outcome
        self.urgency.request_probe(order.replica_id, now)
        if outcome is OrderOutcome.STALE_TOKEN:
            self._role.fence()
        elif outcome in (OrderOutcome.NO_CAPACITY, OrderOutcome.GAVE_UP):
            self._avoid_until[order.replica_id] = now + AVOID_S
            summary = f"{order.kind.value} {order.model} on {order.replica_id}: {outcome.value}"
            self.decisions.record(DecisionKind.GIVE_UP, outcome.value, summary)
            self.solving.add_cause(f"order to {order.replica_id} failed: {outcome.value}", now)

    def advance(self, now: float) -> list[fx.Effect]:
        """Do what is due: update verdicts, sample demand, solve, send orders, publish the plan."""
        if now - self._verdicts_updated_at >= VERDICT_INTERVAL_S:
            self._verdicts_updated_at = now
            self._update_verdicts(now)
        configuration, moves = self._reader.configuration, self._moves
        if configuration is None or moves is None or not self._may_decide(now):
            return []
        self._sample_demand(configuration, now)
        if self._partial_plan and not self.takeover.is_partial(now):
            self.solving.add_cause("the whole fleet is known", now)
        effects = self._solve_if_due(configuration, moves, now)
        effects += self._execute_plan(moves, now)
        return effects + self._publish(configuration, now)

    def _may_decide(self, now: float) -> bool:
        fronts = [node for node in self._tools.link.members() if node.role == FRONT_ROLE]
        seen = len(self.demand.table.front_ids)
        return self.takeover.may_decide(self.fleet, len(fronts), seen, now)

    def _update_verdicts(self, now: float) -> None:
        for replica_id, before, after in self.fleet.update_verdicts(now):
            self.publisher.dirty = True
            if after is Verdict.SUSPECT:
                self.urgency.request_probe(replica_id, now)
            elif after is Verdict.DEAD:
                self.solving.add_cause(f"lost replica {replica_id}", now)
                self.decisions.record(
                    DecisionKind.REPLICA_LOST, "probes and traffic", f"{replica_id} is dead"
                )
            elif before is Verdict.DEAD:
                self.solving.add_cause(f"replica {replica_id} is back", now)
                self.decisions.record(
                    DecisionKind.REPLICA_BACK, "a report", f"{replica_id} answers again"
                )
            elif before is Verdict.UNKNOWN:
                self.solving.add_cause(f"first report of {replica_id}", now)

    def _sample_demand(self, configuration: Configuration, now: float) -> None:
        solved_for = self.solving.solved_demand
        for cause in self.demand.sample_if_due(configuration, solved_for, now):
            self.solving.add_cause(cause, now)

    def _solve_if_due(
        self, configuration: Configuration, moves: PlanExecutor, now: float
    ) -> list[fx.Effect]:
        if not self.solving.is_due(configuration.placement.solve_interval_s, now):
            return []
        self._avoid_until = {k: until for k, until in self._avoid_until.items() if until > now}
        moves.observe(self.fleet, now)
        problem = build_problem(
            configuration,
            self.fleet,
            self.demand.planned(),
            moves.committed_models,
            frozenset(self._avoid_until) | moves.avoided_replicas(now),
        )
        return self.solving.begin(problem, now, even_if_equal=self._partial_plan)

    def _adopt(self, plan: PlacementPlan, moves: PlanExecutor, now: float) -> None:
        """Make ``plan`` the target; one based on partial knowledge withdraws nothing."""
        self._partial_plan = self.takeover.is_partial(now)
        if self._partial_plan:
            plan = without_withdrawals(plan, moves, self._last_plan)
        moves.adopt(plan, self.solving.cause, now)

    def _execute_plan(self, moves: PlanExecutor, now: float) -> list[fx.Effect]:
        if self.solving.plan is None:
            return []
        moves.observe(self.fleet, now)
        moves.weights_published(self.publisher.accepted_weights(), now)
        step = moves.step(self.fleet, now)
        for decision in moves.decisions():
            self.decisions.record(DecisionKind(decision.kind), decision.cause, decision.summary)
        self.publisher.dirty |= step != self._step
        self._step = step
        effects: list[fx.Effect] = []
        for order in self._step.orders:
            effects += self._issue(order, now)
        return effects + self._send_orders(now)

    def _send_orders(self, now: float) -> list[fx.Effect]:
        due = self.dispatcher.send_due(now)
        for completed in due.given_up:
            self._on_order_completed(completed, now)
        return due.calls

    def _issue(self, order: ModelOrder, now: float) -> list[fx.Effect]:
        """Dispatch an order, except a load to a replica that recently failed one."""
        refused = self._avoid_until.get(order.replica_id, now) > now
        replica = self.fleet.replicas.get(order.replica_id)
        if replica is None or (refused and order.kind is OrderKind.LOAD):
            return []
        return self.dispatcher.issue(order, replica.listed.address, now)

    def _publish(self, configuration: Configuration, now: float) -> list[fx.Effect]:
        if self.solving.plan is None:
            return []
        return self.publisher.publish_if_changed(self._step, self.solving.cause, configuration, now)
