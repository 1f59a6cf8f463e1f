"""Turns plans into orders: runs the move executor on the placer's view of the fleet."""

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
    """The result of one step.

    ``orders`` are due now. ``intended`` maps each replica id to the models that fronts may use
    there, and ``matrix`` is the routing matrix to publish. ``weights_sequence`` identifies this
    matrix for ``Moves.weights_published``.
    """

    orders: tuple[ModelOrder, ...] = ()
    intended: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    matrix: tuple[RouteShare, ...] = ()
    weights_sequence: int = 0


class Moves:
    """Carries out the plans of one placer term through a ``MoveExecutor``."""

    def __init__(self, configuration: Configuration) -> None:
        self._executor = MoveExecutor(configuration.models, _settings(configuration))
        self._published = PublishWeights(0, (), {})

    def configure(self, configuration: Configuration) -> None:
        """Apply the models and the move limits of a new configuration."""
        self._executor.configure(configuration.models, _settings(configuration))

    def adopt(self, plan: PlacementPlan, cause: str, now: float) -> None:
        """Make ``plan`` the target of all further steps; ``cause`` goes into decision records."""
        self._executor.adopt(plan, now, cause)

    def observe(self, fleet: FleetState, now: float) -> None:
        """Pass the current state of the usable replicas to the executor; others count as gone."""
        reports = {replica.listed.replica_id: _slot_report(replica) for replica in fleet.usable()}
        self._executor.observe(reports, now)

    def step(self, fleet: FleetState, now: float) -> MoveStep:
        """Return what is due now. Call ``observe`` first."""
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
        """Record that a primary has accepted the weights up to ``sequence``."""
        self._executor.weights_published(sequence, now)

    def decisions(self) -> list[MoveDecision]:
        """Return the executor's decisions since the previous call."""
        return self._executor.decisions()

    def committed_models(self, replica_id: str) -> tuple[str, ...]:
        """Return the models that a solve should treat as loaded: loaded or being loaded."""
        return self._executor.committed_models(replica_id)

    def avoided(self, now: float) -> frozenset[str]:
        """Return the ids of replicas that get no load for now, because one was given up there."""
        return self._executor.avoided_slots(now)


def taking_nothing_away(
    plan: PlacementPlan, moves: Moves, last_plan: PlanBody | None
) -> PlacementPlan:
    """Return ``plan`` changed so that it withdraws nothing, for use with partial knowledge.

    Loaded models stay assigned, and the weights of the last published plan stay in force.
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
    """Return the loaded models of dead replicas, which stay published but are marked unhealthy.

    A front uses them only when it has no healthy replica: in that case it may be the probers that
    are disconnected.
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
