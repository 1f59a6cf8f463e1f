"""The move executor keeps its guarantees, and each guard is needed for one of them."""

import unittest

import attrs

from rooklug.config.document import Model, ResourceNeed, RoundTrip
from rooklug.placement.moves import MoveExecutor
from rooklug.placement.orders import (
    Load,
    MoveGuards,
    MoveSettings,
    PublishWeights,
    SlotReport,
    Unload,
)
from rooklug.placement.problem import DemandKey, PlacementPlan, RouteShare
from rooklug_lab.placement import move_oracle
from rooklug_lab.placement.deployments import DEPLOYMENTS
from rooklug_lab.placement.sweep import run_sweep

SWEEP_SEEDS = range(3)
GUARDS_AND_GUARANTEES = (
    ("wait_for_loaded", move_oracle.WEIGHT_ON_UNLOADED, "payroll", range(1)),
    ("weights_before_unload", move_oracle.UNLOAD_BEFORE_WEIGHTS, "payroll", range(2)),
    ("keep_required", move_oracle.TOO_FEW_SERVING, "payroll", range(1, 3)),
    ("check_capacity", move_oracle.CAPACITY_EXCEEDED, "payroll", range(1, 3)),
    ("within_homes", move_oracle.OUTSIDE_HOMES, "payroll", range(2)),
)

NEED = ResourceNeed(8.0, 100.0, load_s=5.0)
MODELS = {name: Model({"only": RoundTrip.GLOBAL}, {"gpu": NEED}) for name in ("old", "new")}
KEY = DemandKey("old", "only", "east")


def reports(**loaded: tuple[str, ...]) -> dict[str, SlotReport]:
    """Return the reports of slots in region east, given their loaded models by slot."""
    return {
        name: SlotReport(name, "1", "east", "gpu", 8.0, models) for name, models in loaded.items()
    }


def plan(required: int = 1, **assignments: tuple[str, ...]) -> PlacementPlan:
    """Return a plan with all traffic for model "old" inside region east."""
    cell = RouteShare(KEY, "east", 0, 1.0)
    needed = {"old": {"east": required}}
    return PlacementPlan(assignments, (cell,), {}, (), 0.0, "test", required=needed)


def of_type(orders: list, order_type: type) -> list:
    return [order for order in orders if isinstance(order, order_type)]


class MoveExecutorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.executor = MoveExecutor(MODELS, MoveSettings())

    def step(self, now: float, **loaded: tuple[str, ...]) -> list:
        self.executor.observe(reports(**loaded), now)
        return self.executor.step(now)

    def test_nothing_before_the_first_plan(self) -> None:
        self.assertEqual(self.step(0.0, a=("old",)), [])

    def test_load_then_weights_then_unload(self) -> None:
        self.executor.observe(reports(a=("old",), b=()), 0.0)
        self.executor.adopt(plan(a=(), b=("old",)), 0.0, "demand moved")
        first = self.executor.step(0.0)
        self.assertEqual(
            [(order.slot, order.model) for order in of_type(first, Load)], [("b", "old")]
        )
        self.assertEqual(of_type(first, PublishWeights)[0].intended["a"], ("old",))
        moved = self.step(5.0, a=("old",), b=("old",))
        self.assertEqual(of_type(moved, PublishWeights)[0].intended, {"a": (), "b": ("old",)})
        self.assertEqual(of_type(moved, Unload), [])
        drained = self.step(11.0, a=("old",), b=("old",))
        self.assertEqual([order.slot for order in of_type(drained, Unload)], ["a"])
        causes = {decision.cause for decision in self.executor.decisions()}
        self.assertEqual(causes, {"demand moved"})

    def test_a_lost_replica_cancels_an_unload(self) -> None:
        self.executor.observe(reports(a=("old",), b=("old",)), 0.0)
        self.executor.adopt(plan(a=(), b=("old",)), 0.0)
        self.step(0.0, a=("old",), b=("old",))
        orders = self.step(6.0, a=("old",))
        self.assertEqual(of_type(orders, Unload), [])
        again = self.step(6.5, a=("old",))
        self.assertEqual(of_type(again, PublishWeights)[0].intended, {"a": ("old",)})

    def test_an_equal_plan_records_no_new_decision(self) -> None:
        self.executor.observe(reports(a=("old",)), 0.0)
        for now in (0.0, 5.0):
            self.executor.adopt(plan(a=("old",)), now)
            self.step(now, a=("old",))
        self.assertEqual([entry.kind for entry in self.executor.decisions()], ["weights"])

    def test_an_unseen_load_is_retried_with_the_same_order_id(self) -> None:
        self.executor.observe(reports(a=()), 0.0)
        self.executor.adopt(plan(a=("old",)), 0.0)
        first = of_type(self.step(0.0, a=()), Load)
        self.assertEqual(of_type(self.step(1.0, a=()), Load), [])
        self.assertEqual(of_type(self.step(2.0, a=()), Load), first)

    def test_an_unseen_load_that_no_longer_fits_is_not_retried(self) -> None:
        small = attrs.evolve(MODELS["old"], resources={"gpu": attrs.evolve(NEED, units=4.0)})
        self.executor = MoveExecutor({"old": small, "new": small}, MoveSettings())
        self.executor.observe(reports(a=("old",)), 0.0)
        self.executor.adopt(plan(a=("old", "new")), 0.0)
        self.assertEqual(len(of_type(self.step(0.0, a=("old",)), Load)), 1)
        self.executor.configure({"old": MODELS["old"], "new": small}, MoveSettings())
        self.assertEqual(of_type(self.step(2.0, a=("old",)), Load), [])

    def test_an_unseen_load_that_is_no_longer_planned_is_not_retried(self) -> None:
        self.executor.observe(reports(a=()), 0.0)
        self.executor.adopt(plan(a=("old",)), 0.0)
        self.step(0.0, a=())
        self.executor.adopt(plan(a=()), 1.0)
        self.assertEqual(of_type(self.step(2.0, a=()), Load), [])
        self.assertEqual(self.executor.avoided_slots(20.0), frozenset())

    def test_a_stalled_load_is_given_up_and_its_slot_avoided(self) -> None:
        self.executor.observe(reports(a=()), 0.0)
        self.executor.adopt(plan(a=("old",)), 0.0)
        self.step(0.0, a=())
        loading = {"a": attrs.evolve(reports(a=())["a"], loading=("old",))}
        self.executor.observe(loading, 15.0)
        orders = self.executor.step(15.0)
        self.assertEqual([order.slot for order in of_type(orders, Unload)], ["a"])
        self.assertEqual(self.executor.avoided_slots(15.0), frozenset({"a"}))
        self.assertEqual(self.executor.avoided_slots(45.0), frozenset())
        self.assertIn("give_up", {decision.kind for decision in self.executor.decisions()})

    def test_a_restart_starts_the_load_under_a_new_order_id(self) -> None:
        self.executor.observe(reports(a=()), 0.0)
        self.executor.adopt(plan(a=("old",)), 0.0)
        first = of_type(self.step(0.0, a=()), Load)
        self.executor.observe({"a": attrs.evolve(reports(a=())["a"], incarnation="2")}, 1.0)
        second = of_type(self.executor.step(1.0), Load)
        self.assertNotEqual(first[0].order_id, second[0].order_id)

    def test_a_needed_replica_is_never_unloaded_for_another_model(self) -> None:
        self.executor.observe(reports(a=("old",)), 0.0)
        self.executor.adopt(plan(a=("old",)), 0.0)
        self.step(0.0, a=("old",))
        self.executor.adopt(plan(a=("new",), b=("old",)), 1.0)
        for now in (1.0, 8.0, 20.0):
            self.assertEqual(of_type(self.step(now, a=("old",)), Load | Unload), [])
        self.assertIn("blocked", {decision.kind for decision in self.executor.decisions()})

    def test_spare_loads_are_bounded(self) -> None:
        self.executor.observe(reports(a=("old",), b=(), c=(), d=()), 0.0)
        wanted = plan(a=("old",), b=("old",), c=("old",), d=("old",))
        self.executor.adopt(wanted, 0.0)
        orders = self.step(0.0, a=("old",), b=(), c=(), d=())
        self.assertEqual(len(of_type(orders, Load)), MoveSettings().max_loading)

    def test_unloads_wait_for_confirmation_if_configured(self) -> None:
        self.executor = MoveExecutor(MODELS, MoveSettings(needs_confirmation=True))
        self.executor.observe(reports(a=("old",), b=("old",)), 0.0)
        self.executor.adopt(plan(a=(), b=("old",)), 0.0)
        weights = of_type(self.step(0.0, a=("old",), b=("old",)), PublishWeights)[0]
        self.assertEqual(of_type(self.step(60.0, a=("old",), b=("old",)), Unload), [])
        self.executor.weights_published(weights.sequence, 60.0)
        self.assertEqual(len(of_type(self.step(66.0, a=("old",), b=("old",)), Unload)), 1)


class SweepTest(unittest.TestCase):
    def test_guarantees_hold_under_random_faults(self) -> None:
        for name in sorted(DEPLOYMENTS):
            for outcome in run_sweep(name, SWEEP_SEEDS):
                with self.subTest(deployment=name, seed=outcome.seed):
                    self.assertEqual(outcome.breaches, ())
                    self.assertTrue(outcome.converged)
                    self.assertGreater(outcome.loads, 0)

    def test_each_guarantee_breaks_without_its_guard(self) -> None:
        for guard, guarantee, deployment, seeds in GUARDS_AND_GUARANTEES:
            with self.subTest(guard=guard):
                guards = attrs.evolve(MoveGuards(), **{guard: False})
                broken = [
                    breach
                    for outcome in run_sweep(deployment, seeds, guards)
                    for breach in outcome.breaches
                ]
                self.assertIn(guarantee, {breach.split(":", 1)[0] for breach in broken})
