"""The newest bodies of the topics that this node holds; they are never replaced by older ones."""

from typing import Any

import attrs

from rooklug.distribution.document_delta import ApplyTask
from rooklug.distribution.members_delta import apply_members_delta
from rooklug.model.internal_events import TopicChanged
from rooklug.model.topics import ALL_TOPICS, CONFIGURATION, MEMBERS, PLAN, REPLICAS, ZONES
from rooklug.model.versions import ZERO_VERSION, is_newer
from rooklug.wire.codec import decode
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    MembersBody,
    MembersDelta,
    PlanBody,
    ReplicasBody,
    TopicMark,
    TopicUpdate,
    VersionMark,
    ZonesBody,
)
from rooklug.wire.packing import decode_packed

BODY_TYPES = {
    CONFIGURATION: ConfigurationBody,
    ZONES: ZonesBody,
    MEMBERS: MembersBody,
    REPLICAS: ReplicasBody,
    PLAN: PlanBody,
}

# How the bodies of deltas are encoded; other topics have none.
DELTA_TYPES = {CONFIGURATION: ConfigurationBody, MEMBERS: MembersDelta}


@attrs.frozen
class TopicProblem:
    """An update that can't be taken."""

    topic: str
    message: str


@attrs.frozen
class PendingDelta:
    """A delta of the configuration that has to be applied first, outside the event loop."""

    version: VersionMark
    document_version: int
    task: ApplyTask


TakenUpdate = TopicChanged | PendingDelta | TopicProblem | None


@attrs.frozen
class _HeldTopic:
    version: VersionMark
    body: Any


@attrs.define
class HeldTopics:
    """Bodies by topic. ``ask_whole``: topics whose next body must not be a delta."""

    ask_whole: set[str] = attrs.field(factory=set)
    _held: dict[str, _HeldTopic] = attrs.field(factory=dict)

    def version(self, topic: str) -> VersionMark:
        """Return the version of the held body, or the zero version."""
        held = self._held.get(topic)
        return held.version if held else ZERO_VERSION

    def body(self, topic: str) -> Any | None:
        """Return the held body as a decoded struct, or None."""
        held = self._held.get(topic)
        return held.body if held else None

    def poll_versions(self) -> list[TopicMark]:
        """Return what a poll names as held."""
        return [TopicMark(topic=topic, version=self._poll_version(topic)) for topic in ALL_TOPICS]

    def _poll_version(self, topic: str) -> VersionMark:
        return ZERO_VERSION if topic in self.ask_whole else self.version(topic)

    def behind(self, newest: list[TopicMark]) -> bool:
        """Tell whether any of ``newest`` is newer than what is held."""
        return any(
            entry.topic in BODY_TYPES and is_newer(entry.version, self.version(entry.topic))
            for entry in newest
        )

    def take(self, update: TopicUpdate) -> TakenUpdate:
        """Take an update; None when it isn't newer than what is held."""
        if update.topic not in BODY_TYPES:
            return TopicProblem(update.topic, "unknown topic")
        if not is_newer(update.version, self.version(update.topic)):
            return None
        if update.patch_base is not None:
            return self._delta(update)
        decoded = decode_packed(BODY_TYPES[update.topic], update.body)
        if decoded.is_error():
            return TopicProblem(update.topic, decoded.error.message)
        return self._hold(update.topic, update.version, decoded.ok)

    def _delta(self, update: TopicUpdate) -> TakenUpdate:
        topic, held = update.topic, self.body(update.topic)
        if held is None or topic not in DELTA_TYPES or update.patch_base != self.version(topic):
            return self._want_whole(topic, "a delta against a body that isn't held")
        decoded = decode(DELTA_TYPES[topic], update.body)
        if decoded.is_error():
            return self._want_whole(topic, decoded.error.message)
        if topic == MEMBERS:
            return self._hold(topic, update.version, apply_members_delta(held, decoded.ok))
        body = decoded.ok
        task = ApplyTask(held.document, body.document, body.digest)
        return PendingDelta(update.version, body.version, task)

    def _want_whole(self, topic: str, message: str) -> TopicProblem:
        self.ask_whole.add(topic)
        return TopicProblem(topic, message)

    def take_applied(self, delta: PendingDelta, document: bytes | None) -> TakenUpdate:
        """Take the document that a delta gave, or ask for the whole one if it gave none."""
        if document is None:
            return self._want_whole(CONFIGURATION, "the delta gives another document")
        if not is_newer(delta.version, self.version(CONFIGURATION)):
            return None
        body = ConfigurationBody(
            version=delta.document_version, digest=delta.task.digest, document=document
        )
        return self._hold(CONFIGURATION, delta.version, body)

    def _hold(self, topic: str, version: VersionMark, body: Any) -> TopicChanged:
        self.ask_whole.discard(topic)
        self._held[topic] = _HeldTopic(version, body)
        return TopicChanged(topic, version, body)
