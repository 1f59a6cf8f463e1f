"""Publishes the plan when it has changed, never more often than needed."""

from collections import deque

import attrs

from rooklug.config.document import Configuration
from rooklug.controller.configuration_reader import ConfigurationReader
from rooklug.controller.decision_log import DecisionLog
from rooklug.controller.fleet_state import FleetState
from rooklug.controller.link import Link
from rooklug.controller.moves import MoveStep
from rooklug.controller.plan_body import build_plan_body, same_content
from rooklug.engine.effects import Effect
from rooklug.model import topics
from rooklug.wire.generated.control.ttypes import PlanBody

SPACING_S = 0.1
SPACING_A_REPLICA_S = 0.002
"""A plan goes whole to every front: the larger the fleet, the more changes go into one."""
REBUILD_INTERVAL_S = 1.0


@attrs.frozen
class _Carried:
    """Weights, and the publication of the plan that carries them."""

    weights_sequence: int
    published_sequence: int


@attrs.define
class PlanPublisher:
    """Keeps what was published last. ``dirty`` says that a rebuild may differ from it.

    One publisher serves one term: publications are numbered from 1 under each token.
    """

    link: Link
    reader: ConfigurationReader
    fleet: FleetState
    decisions: DecisionLog
    dirty: bool = False
    publications: int = 0
    _published: PlanBody | None = None
    _published_at: float = float("-inf")
    _built_at: float = float("-inf")
    _carried: deque[_Carried] = attrs.field(factory=deque)
    _accepted_weights: int = 0

    def publish_if_changed(
        self, step: MoveStep, cause: str, configuration: Configuration, now: float
    ) -> list[Effect]:
        """Return the publication if content or decisions are new."""
        if now - self._published_at < self._spacing_s():
            return []
        stale = now - self._built_at >= REBUILD_INTERVAL_S
        if not (self.dirty or stale or self.decisions.has_pending):
            return []
        self.dirty, self._built_at = False, now
        body = self._build(step, cause, configuration, now)
        if same_content(self._published, body) and not self.decisions.has_pending:
            self._record_carried(step)
            return []
        self._published, self._published_at = body, now
        self.publications += 1
        decisions = self.decisions.take()
        effects = self.link.publish(topics.PLAN, topics.ROLE_PLACER, body, decisions, now)
        self._record_carried(step)
        return effects

    def accepted_weights(self) -> int:
        """Return the newest weights, by ``MoveStep.weights_sequence``, a primary has accepted."""
        accepted = self.link.accepted_sequence(topics.PLAN)
        while self._carried and self._carried[0].published_sequence <= accepted:
            self._accepted_weights = self._carried.popleft().weights_sequence
        return self._accepted_weights

    def _record_carried(self, step: MoveStep) -> None:
        """Note that the newest publication carries the step's weights, or the same ones."""
        newest = self._carried[-1].weights_sequence if self._carried else self._accepted_weights
        if step.weights_sequence > newest:
            sequence = self.link.published_sequence(topics.PLAN)
            self._carried.append(_Carried(step.weights_sequence, sequence))

    def _spacing_s(self) -> float:
        return max(SPACING_S, SPACING_A_REPLICA_S * len(self.fleet.replicas))

    def _build(
        self, step: MoveStep, cause: str, configuration: Configuration, now: float
    ) -> PlanBody:
        return build_plan_body(
            self.reader.version,
            self.fleet,
            step.intended,
            step.matrix,
            cause,
            configuration.slow_start.duration_s,
            now,
        )
