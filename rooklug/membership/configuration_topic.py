"""When and how committed configurations are published: in batches, as deltas if smaller."""

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

PUBLISH_CONFIGURATION = "publish-configuration"

DELTA_BASES = 2
"""Nodes that have one of this number of previous publications get a delta."""


class _Stage(Enum):
    """The step that the newest committed configuration is in."""

    NOTHING = "nothing waits"
    BATCH = "others that may follow at once"
    DELTAS = "its deltas are being made"


@attrs.define
class ConfigurationTopic:
    """Publishes the newest committed configuration; those overtaken meanwhile are left out."""

    store: TopicStore
    identifiers: Identifiers
    _stage: _Stage = _Stage.NOTHING
    _pending: ConfigurationCommitted | None = None
    _in_work: ConfigurationCommitted | None = None
    _bases: tuple[ConfigurationCommitted, ...] = ()
    _ticket: int = 0
    _next_at: float = float("-inf")
    _published: deque[ConfigurationCommitted] = attrs.field(
        factory=lambda: deque(maxlen=DELTA_BASES)
    )

    def take(self, event: ConfigurationCommitted, now: float) -> list[fx.Effect]:
        """Take a committed configuration; an older one than known is ignored."""
        if not is_newer(event.version, self.store.version(CONFIGURATION)):
            return []
        if self._pending is None or is_newer(event.version, self._pending.version):
            self._pending = event
        return self.advance(now) if self._stage is _Stage.NOTHING else []

    def advance(self, now: float) -> list[fx.Effect]:
        """Publish the pending configuration, or begin with its deltas, unless it is too soon."""
        self._stage = _Stage.NOTHING
        if self._pending is None:
            return []
        if now < self._next_at:
            self._stage = _Stage.BATCH
            return [fx.StartTimer(PUBLISH_CONFIGURATION, self._next_at - now)]
        event, self._pending = self._pending, None
        self._in_work = event
        self._next_at = now + CONFIGURATION_BATCH_S
        document = event.body.document
        self._bases = tuple(self._published) if len(document) >= MIN_DOCUMENT_BYTES else ()
        if not self._bases:
            self._publish(event, ())
            return []
        self._stage = _Stage.DELTAS
        self._ticket = self.identifiers.next()
        bases = tuple(base.body.document for base in self._bases)
        return [fx.Compute(self._ticket, make_deltas, DeltaTask(bases, document))]

    def computed(self, event: ev.Computed, now: float) -> list[fx.Effect]:
        """Publish with the deltas; without them if they couldn't be made."""
        if event.ticket != self._ticket or self._in_work is None:
            return []
        patches = (None,) * len(self._bases) if event.error else event.result
        self._publish(self._in_work, patches)
        return self.advance(now)

    def _publish(self, event: ConfigurationCommitted, patches: tuple[bytes | None, ...]) -> None:
        self._in_work = None
        deltas = tuple(
            _delta(base, event, patch)
            for base, patch in zip(self._bases, patches, strict=False)
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
