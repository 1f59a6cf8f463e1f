"""From plan to orders: hosts the planner's move executor on the placer's picture."""

import attrs

from rooklug.config.document import Configuration
from rooklug.controller.fleet_state import FleetState, Replica
from rooklug.controller.health import Verdict
from rooklug.controller.order_dispatcher import ModelOrder, OrderKind
from rooklug.controller.plan_body import share_of
from rooklug.placement.moves import MoveExecutor
from rooklug.placement.orders import (
    Load,
    MoveDecision,
    MoveSettings,
    Order,
    PublishWeights,
    SlotReport,
    Unload,
)
from rooklug.placement.problem import PlacementPlan, RouteShare
from rooklug.wire.generated.control.ttypes import PlanBody


@attrs.frozen
class MoveStep:
    """What the moves come to at one moment. ``intended`` is by replica id.

    ``weights_sequence`` numbers the weights for ``Moves.weights_published``.
    """

    orders: tuple[ModelOrder, ...] = ()
    intended: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    matrix: tuple[RouteShare, ...] = ()
    weights_sequence: int = 0


class Moves:
    """Carries out plans of one placer term, in the executor's small safe steps."""

    def __init__(self, configuration: Configuration) -> None:
        self._executor = MoveExecutor(configuration.models, _settings(configuration))
        self._published = PublishWeights(0, (), {})

    def configure(self, configuration: Configuration) -> None:
        """Take the models and the pace of a new configuration."""
        self._executor.configure(configuration.models, _settings(configuration))

    def adopt(self, plan: PlacementPlan, cause: str, now: float) -> None:
        """Aim at ``plan`` from now on."""
        self._executor.adopt(plan, now, cause)

    def observe(self, fleet: FleetState, now: float) -> None:
        """Take the newest picture. Replicas that get no orders count as gone."""
        reports = {replica.listed.replica_id: _slot_report(replica) for replica in fleet.usable()}
        self._executor.observe(reports, now)

    def step(self, fleet: FleetState, now: float) -> MoveStep:
        """Return what to do now, after ``observe``."""
        orders = []
        for order in self._executor.step(now):
            if isinstance(order, PublishWeights):
                self._published = order
            else:
                orders.append(_model_order(order))
        intended = {**_offered_though_dead(fleet), **self._published.intended}
        published = self._published
        return MoveStep(tuple(orders), intended, published.matrix, published.sequence)

    def weights_published(self, sequence: int, now: float) -> None:
        """Take note that a primary has accepted the weights of ``sequence`` and earlier."""
        self._executor.weights_published(sequence, now)

    def decisions(self) -> list[MoveDecision]:
        """Return the executor's decisions since the last call."""
        return self._executor.decisions()

    def committed_models(self, replica_id: str) -> tuple[str, ...]:
        """Return what a solve should count as loaded: loaded, or being loaded."""
        return self._executor.committed_models(replica_id)

    def avoided(self, now: float) -> frozenset[str]:
        """Return the replicas where loads were given up of late."""
        return self._executor.avoided_slots(now)


def taking_nothing_away(
    plan: PlacementPlan, moves: Moves, last_plan: PlanBody | None
) -> PlacementPlan:
    """Return ``plan`` for decisions on partial knowledge.

    What is loaded stays wanted, so that nothing is withdrawn, and the last plan's weights stand.
    """
    assignments = {
        replica_id: tuple(sorted({*models, *moves.committed_models(replica_id)}))
        for replica_id, models in plan.assignments.items()
    }
    cells = tuple(share_of(weight) for weight in last_plan.matrix) if last_plan is not None else ()
    return attrs.evolve(plan, assignments=assignments, matrix=cells or plan.matrix)


def _settings(configuration: Configuration) -> MoveSettings:
    placement = configuration.placement
    return MoveSettings(
        max_loading=placement.max_loading,
        load_timeout_factor=placement.load_timeout_factor,
        needs_confirmation=True,
    )


def _slot_report(replica: Replica) -> SlotReport:
    return SlotReport(
        replica_id=replica.listed.replica_id,
        incarnation=replica.incarnation,
        region=replica.listed.region,
        resource=replica.listed.resource,
        resource_units=replica.listed.resource_units,
        loaded=replica.loaded_models,
        loading=replica.loading_models,
    )


def _offered_though_dead(fleet: FleetState) -> dict[str, tuple[str, ...]]:
    """Keep the dead ones on offer, marked unhealthy.

    A front uses them only when it has no healthy one: then the probers may be those cut off.
    """
    return {
        replica_id: replica.loaded_models
        for replica_id, replica in fleet.replicas.items()
        if replica.verdict is Verdict.DEAD
    }


def _model_order(order: Order) -> ModelOrder:
    kind = OrderKind.LOAD if isinstance(order, Load) else OrderKind.UNLOAD
    assert isinstance(order, Load | Unload)
    return ModelOrder(kind, order.slot, order.model, order.order_id)
