"""The move executor: brings the reported state to the adopted plan, step by step.

It is a pure state machine. For each model, the steps are: load it on all replicas that the plan
assigns; once these report it loaded, switch the weights; then unload it elsewhere. A full slot
needs an unload before its load, which makes one model's load depend on another model's unload:
such an unload may come before the switch of weights only if the live weights can spare the replica.

Reports are the source of truth; the executor's own orders count only while they are in flight.
"""

from rooklug.config.document import Model
from rooklug.placement.fleet_state import EMPTY_PLAN, FleetView, Withdrawal
from rooklug.placement.live_weights import LiveWeights
from rooklug.placement.load_tracking import LoadTracker
from rooklug.placement.orders import (
    Load,
    MoveDecision,
    MoveGuards,
    MoveSettings,
    Order,
    SlotReport,
    Unload,
)
from rooklug.placement.problem import PlacementPlan

DEFAULT_LOAD_S = 5.0


class MoveExecutor:
    """Carries out placement plans.

    The caller passes reports to ``observe``, then calls ``step`` and executes the orders that it
    returns. ``guards`` lets tests disable single safety checks.
    """

    def __init__(
        self, models: dict[str, Model], settings: MoveSettings, guards: MoveGuards | None = None
    ) -> None:
        self._settings = settings
        self._guards = guards if guards is not None else MoveGuards()
        self._loads = LoadTracker(settings)
        self._fleet = FleetView(models, self._loads)
        self._weights = LiveWeights(self._fleet, self._guards)
        self._plan = EMPTY_PLAN
        self._cause = ""
        self._order_count = 0
        self._decisions: list[MoveDecision] = []
        self._blocked: list[tuple[str, str]] = []

    def configure(self, models: dict[str, Model], settings: MoveSettings) -> None:
        """Apply the models and limits of a new configuration; a plan for it should follow."""
        self._settings = settings
        self._loads.settings = settings
        self._fleet.models = models

    def adopt(self, plan: PlacementPlan, now: float, cause: str = "") -> None:
        """Make ``plan`` the target of all further steps.

        The live weights of a model stay until its planned replicas are loaded. ``cause`` goes into
        the decisions.
        """
        if self._plan is EMPTY_PLAN:
            self._weights.require_serving_replicas()
        self._plan = plan
        self._cause = cause
        self._weights.adopt(plan)
        self._blocked = []

    def observe(self, reports: dict[str, SlotReport], now: float) -> None:
        """Replace all reports by the newest one of each existing replica."""
        for load in self._loads.observe(reports):
            cause = f"{load.order.slot} restarted or vanished"
            self._record_decision("load_lost", cause, load.order.model, load.order.slot)
        self._fleet.observe(reports)
        self._track_foreign_loads(now)

    def step(self, now: float) -> list[Order]:
        """Return the orders to execute now, in sequence; none before the first plan."""
        if self._plan is EMPTY_PLAN:
            return []
        orders: list[Order] = []
        orders += self._give_up_overdue_loads(now)
        orders += self._resend_unseen_loads(now)
        for model in self._weights.switch(self._plan):
            self._record_decision(
                "weights", self._cause, model, ", ".join(self._fleet.serving(model))
            )
        orders += self._new_loads(now)
        self._withdraw(now)
        published = self._weights.publish(self._plan)
        orders += [published] if published is not None else []
        orders += self._unloads(now)
        self._record_blocked()
        return orders

    def weights_published(self, sequence: int, now: float) -> None:
        """Record that the core has accepted the weights up to ``sequence``; this starts draining.

        A withdrawal that left the published weights unchanged counts as part of the newest ones.
        """
        for withdrawal in self._fleet.withdrawn.values():
            carried_by = min(withdrawal.sequence, self._weights.sequence)
            if withdrawal.drained_at is None and carried_by <= sequence:
                withdrawal.drained_at = now + self._settings.drain_s

    def decisions(self) -> list[MoveDecision]:
        """Return and clear the decisions since the previous call."""
        taken, self._decisions = self._decisions, []
        return taken

    def avoided_slots(self, now: float) -> frozenset[str]:
        """Return the slots to avoid after timed-out loads, for ``PlacementProblem.avoid_slots``."""
        return self._loads.avoided_slots(now)

    def committed_models(self, slot: str) -> tuple[str, ...]:
        """Return the models that a solve should treat as loaded on ``slot``.

        These are the loaded ones and those with a load in flight, without the withdrawn ones.
        """
        report = self._fleet.reports.get(slot)
        if report is None:
            return ()
        present = set(report.loaded) | self._loads.on_slot(slot)
        return tuple(sorted(present - self._fleet.withdrawn_on(slot)))

    # Loads -----------------------------------------------------------------------------

    def _give_up_overdue_loads(self, now: float) -> list[Order]:
        orders: list[Order] = []
        for load in self._loads.expire_overdue(now):
            cause = f"not loaded by its deadline, {now - load.started_at:.0f} s after the order"
            self._record_decision("give_up", cause, load.order.model, load.order.slot)
            orders.append(self._unload_order(load.order.slot, load.order.model))
        return orders

    def _resend_unseen_loads(self, now: float) -> list[Order]:
        """Send loads again that no report shows; forget those no longer wanted or without room."""
        orders: list[Order] = []
        for order in self._loads.unseen_orders(now):
            wanted = order.model in self._plan.assignments.get(order.slot, ())
            fits = (
                self._fleet.has_capacity(order.slot, order.model) or not self._guards.check_capacity
            )
            if wanted and fits:
                self._loads.record_resend(order, now)
                orders.append(order)
            else:
                self._loads.forget(order)
        return orders

    def _track_foreign_loads(self, now: float) -> None:
        """Track planned loads that reports show but that this executor didn't order.

        So they time out like its own. Slots to avoid are left out.
        """
        avoided = self._loads.avoided_slots(now)
        for slot, report in self._fleet.reports.items():
            wanted = set(self._plan.assignments.get(slot, ())) if slot not in avoided else set()
            for model in sorted(wanted & set(report.loading) - self._fleet.withdrawn_on(slot)):
                if (slot, model) not in self._loads.pending:
                    self._start_load(report, model, now)

    def _new_loads(self, now: float) -> list[Order]:
        orders: list[Order] = []
        avoided = self._loads.avoided_slots(now)
        missing = [
            (slot, model) for slot, model in self._fleet.missing(self._plan) if slot not in avoided
        ]
        models = {model for _, model in (*missing, *self._loads.pending)}
        is_spare = {model: not self._is_short(model) for model in models}
        spare_last = sorted((is_spare[model], slot, model) for slot, model in missing)
        spare_loads = sum(is_spare[model] for _, model in self._loads.pending)
        for spare, slot, model in spare_last:
            if spare and spare_loads >= self._settings.max_loading:
                continue
            if self._fleet.has_capacity(slot, model) or not self._guards.check_capacity:
                spare_loads += spare
                orders.append(self._start_load(self._fleet.reports[slot], model, now))
                self._record_decision("load", self._cause, model, slot)
        return orders

    def _is_short(self, model: str) -> bool:
        """Return whether ``model`` has fewer serving replicas than its demand needs.

        Its loads then repair a shortage and aren't bounded by ``max_loading``.
        """
        planned = sum(self._plan.required.get(model, {}).values())
        live = self._weights.needed_in_total(model)
        needed = min(planned, live) if live else planned
        return len(self._fleet.serving(model)) < max(1, needed)

    def _start_load(self, report: SlotReport, model: str, now: float) -> Load:
        order = Load(report.replica_id, model, self._next_order_id())
        need = self._fleet.need(report, model)
        load_s = need.load_s if need is not None else DEFAULT_LOAD_S
        self._loads.start(order, report.incarnation, load_s, now)
        return order

    # Unloads ---------------------------------------------------------------------------

    def _withdraw(self, now: float) -> None:
        """Withdraw models neither planned nor needed; cancel withdrawals of planned ones."""
        for slot, report in self._fleet.reports.items():
            wanted = self._plan.assignments.get(slot, ())
            for model in (*report.loaded, *report.loading):
                withdrawal = self._fleet.withdrawn.get((slot, model))
                if withdrawal is None and model not in wanted and self._may_withdraw(slot, model):
                    self._start_withdrawal(slot, model, now)
                elif withdrawal is not None and model in wanted and withdrawal.order is None:
                    del self._fleet.withdrawn[slot, model]

    def _may_withdraw(self, slot: str, model: str) -> bool:
        report = self._fleet.reports[slot]
        if model in report.loading or not report.serving:
            return True
        if not self._weights.has_switched(model) and not self._capacity_is_needed(slot):
            return False
        if not self._guards.keep_required:
            return True
        left = len(self._fleet.serving(model, report.region)) - 1
        return left >= self._weights.needed(model, report.region)

    def _capacity_is_needed(self, slot: str) -> bool:
        return any(
            not self._fleet.has_capacity(slot, model)
            for model in self._fleet.missing_on(self._plan, slot)
        )

    def _start_withdrawal(self, slot: str, model: str, now: float) -> None:
        self._loads.pending.pop((slot, model), None)
        report = self._fleet.reports[slot]
        drained_at = None if self._settings.needs_confirmation else now + self._settings.drain_s
        was_routed = model in report.loaded and report.serving
        if not was_routed or not self._guards.weights_before_unload:
            drained_at = now
        sequence = self._weights.sequence + 1
        self._fleet.withdrawn[slot, model] = Withdrawal(sequence, drained_at)

    def _unloads(self, now: float) -> list[Order]:
        orders: list[Order] = []
        for (slot, model), withdrawal in sorted(self._fleet.withdrawn.items()):
            if withdrawal.drained_at is None or now < withdrawal.drained_at:
                continue
            if withdrawal.order is None:
                if not self._is_still_spare(slot, model):
                    del self._fleet.withdrawn[slot, model]
                    continue
                withdrawal.order = self._unload_order(slot, model)
                self._record_decision("unload", self._cause, model, slot)
            elif now - withdrawal.sent_at < self._settings.resend_s:
                continue
            withdrawal.sent_at = now
            orders.append(withdrawal.order)
        return orders

    def _is_still_spare(self, slot: str, model: str) -> bool:
        """Return whether the replica is still not needed, right before its unload.

        Other replicas may have been lost since its withdrawal.
        """
        report = self._fleet.reports[slot]
        if not self._guards.keep_required or model not in report.loaded or not report.serving:
            return True
        left = len(self._fleet.serving(model, report.region))
        return left >= self._weights.needed(model, report.region)

    def _unload_order(self, slot: str, model: str) -> Unload:
        return Unload(slot, model, self._next_order_id())

    # Records ---------------------------------------------------------------------------

    def _next_order_id(self) -> str:
        self._order_count += 1
        return f"order-{self._order_count}"

    def _record_decision(self, kind: str, cause: str, model: str, where: str) -> None:
        self._decisions.append(MoveDecision(kind, cause, f"{kind}: {model} on {where}"))

    def _record_blocked(self) -> None:
        """Record, once per plan, the loads for which no order in flight will make room."""
        if self._loads.pending or self._fleet.withdrawn:
            return
        stuck = [
            (slot, model)
            for slot, model in self._fleet.missing(self._plan)
            if not self._fleet.has_capacity(slot, model)
        ]
        if stuck != self._blocked:
            for slot, model in stuck:
                self._record_decision(
                    "blocked", "no room without dropping needed replicas", model, slot
                )
        self._blocked = stuck
