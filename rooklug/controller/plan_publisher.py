"""Publishes the plan when it has changed, at a limited rate."""

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

MIN_SPACING_S = 0.1
SPACING_PER_REPLICA_S = 0.002
"""The interval between publications grows with the fleet.

Each publication sends the whole plan to every front; so a larger fleet batches more changes into
one publication.
"""
REBUILD_INTERVAL_S = 1.0


@attrs.frozen
class _PublishedWeights:
    """The sequence of some weights, and of the publication that first carries them."""

    weights_sequence: int
    published_sequence: int


@attrs.define
class PlanPublisher:
    """Remembers the last published plan and publishes a changed one.

    The term sets ``dirty`` when the plan may have changed. Even without it, the plan is rebuilt
    every ``REBUILD_INTERVAL_S``, since some of its content changes with time. ``publications``
    counts from the beginning of the term.
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
    _published_weights: deque[_PublishedWeights] = attrs.field(factory=deque)
    _accepted_weights: int = 0

    def publish_if_changed(
        self, step: MoveStep, cause: str, configuration: Configuration, now: float
    ) -> list[Effect]:
        """Publish the plan if its content has changed or there are unpublished decisions."""
        if now - self._published_at < self._spacing_s():
            return []
        stale = now - self._built_at >= REBUILD_INTERVAL_S
        if not (self.dirty or stale or self.decisions.has_pending):
            return []
        self.dirty, self._built_at = False, now
        body = self._build(step, cause, configuration, now)
        if same_content(self._published, body) and not self.decisions.has_pending:
            self._record_published_weights(step)
            return []
        self._published, self._published_at = body, now
        self.publications += 1
        decisions = self.decisions.take_pending()
        effects = self.link.publish(topics.PLAN, topics.ROLE_PLACER, body, decisions, now)
        self._record_published_weights(step)
        return effects

    def accepted_weights(self) -> int:
        """Return the highest ``MoveStep.weights_sequence`` that a primary has accepted."""
        accepted = self.link.accepted_sequence(topics.PLAN)
        while self._published_weights and self._published_weights[0].published_sequence <= accepted:
            self._accepted_weights = self._published_weights.popleft().weights_sequence
        return self._accepted_weights

    def _record_published_weights(self, step: MoveStep) -> None:
        """Record that the newest publication carries the weights of ``step``, or equal ones."""
        newest = (
            self._published_weights[-1].weights_sequence
            if self._published_weights
            else self._accepted_weights
        )
        if step.weights_sequence > newest:
            sequence = self.link.published_sequence(topics.PLAN)
            self._published_weights.append(_PublishedWeights(step.weights_sequence, sequence))

    def _spacing_s(self) -> float:
        return max(MIN_SPACING_S, SPACING_PER_REPLICA_S * len(self.fleet.replicas))

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
