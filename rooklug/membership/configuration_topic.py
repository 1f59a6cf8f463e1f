"""Publishes committed configurations: batched, and as deltas where these are smaller."""

from collections import deque
from enum import Enum

import attrs

from rooklug.distribution.document_delta import MIN_DOCUMENT_BYTES, DeltaTask, make_deltas
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers
from rooklug.membership.timing import CONFIGURATION_BATCH_S
from rooklug.membership.topic_store import TopicStore
from rooklug.model.internal_events import ConfigurationCommitted
from rooklug.model.topics import CONFIGURATION
from rooklug.model.versions import is_newer
from rooklug.wire.codec import encode
from rooklug.wire.generated.control.ttypes import ConfigurationBody, TopicUpdate
from rooklug.wire.packing import encode_packed

PUBLISH_CONFIGURATION_TIMER = "publish-configuration"

DELTA_BASES = 2
"""Number of previous publications that deltas are made from; other nodes get the full body."""


class _Stage(Enum):
    """What the topic does at present."""

    IDLE = "no configuration is pending"
    BATCHING = "waiting for the end of the batch interval"
    COMPUTING_DELTAS = "deltas of the newest configuration are being computed"


@attrs.define
class ConfigurationTopic:
    """Publishes the newest committed configuration.

    A configuration that is superseded while it is pending is never published.
    """

    store: TopicStore
    identifiers: Identifiers
    _stage: _Stage = _Stage.IDLE
    _pending: ConfigurationCommitted | None = None
    _in_progress: ConfigurationCommitted | None = None
    _delta_bases: tuple[ConfigurationCommitted, ...] = ()
    _compute_ticket: int = 0
    _next_publication_at: float = float("-inf")
    _published: deque[ConfigurationCommitted] = attrs.field(
        factory=lambda: deque(maxlen=DELTA_BASES)
    )

    def record_committed(self, event: ConfigurationCommitted, now: float) -> list[fx.Effect]:
        """Make a committed configuration pending, unless a newer one is pending or published."""
        if not is_newer(event.version, self.store.version(CONFIGURATION)):
            return []
        if self._pending is None or is_newer(event.version, self._pending.version):
            self._pending = event
        return self.publish_pending(now) if self._stage is _Stage.IDLE else []

    def publish_pending(self, now: float) -> list[fx.Effect]:
        """Publish the pending configuration, or start computing its deltas.

        Within ``CONFIGURATION_BATCH_S`` of the previous publication it starts a timer instead.
        """
        self._stage = _Stage.IDLE
        if self._pending is None:
            return []
        if now < self._next_publication_at:
            self._stage = _Stage.BATCHING
            return [fx.StartTimer(PUBLISH_CONFIGURATION_TIMER, self._next_publication_at - now)]
        event, self._pending = self._pending, None
        self._in_progress = event
        self._next_publication_at = now + CONFIGURATION_BATCH_S
        document = event.body.document
        self._delta_bases = tuple(self._published) if len(document) >= MIN_DOCUMENT_BYTES else ()
        if not self._delta_bases:
            self._publish(event, ())
            return []
        self._stage = _Stage.COMPUTING_DELTAS
        self._compute_ticket = self.identifiers.next()
        bases = tuple(base.body.document for base in self._delta_bases)
        return [fx.Compute(self._compute_ticket, make_deltas, DeltaTask(bases, document))]

    def handle_computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        """Publish with the computed deltas, or without any if the computation failed."""
        if event.ticket != self._compute_ticket or self._in_progress is None:
            return []
        patches = (None,) * len(self._delta_bases) if event.error else event.result
        self._publish(self._in_progress, patches)
        return self.publish_pending(now)

    def _publish(self, event: ConfigurationCommitted, patches: tuple[bytes | None, ...]) -> None:
        self._in_progress = None
        deltas = tuple(
            _delta(base, event, patch)
            for base, patch in zip(self._delta_bases, patches, strict=False)
            if patch is not None
        )
        self.store.offer(CONFIGURATION, event.version, encode_packed(event.body), deltas)
        self._published.append(event)


def _delta(
    base: ConfigurationCommitted, event: ConfigurationCommitted, patch: bytes
) -> TopicUpdate:
    body = ConfigurationBody(version=event.body.version, digest=event.body.digest, document=patch)
    return TopicUpdate(
        topic=CONFIGURATION, version=event.version, patch_base=base.version, body=encode(body)
    )
