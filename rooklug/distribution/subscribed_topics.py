"""The newest body of each topic that this node subscribes to; it is never replaced by an older."""

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

BODY_TYPES: dict[str, type[Any]] = {
    CONFIGURATION: ConfigurationBody,
    ZONES: ZonesBody,
    MEMBERS: MembersBody,
    REPLICAS: ReplicasBody,
    PLAN: PlanBody,
}

DELTA_TYPES: dict[str, type[Any]] = {CONFIGURATION: ConfigurationBody, MEMBERS: MembersDelta}
"""The structs that deltas are encoded in; other topics have no deltas."""


@attrs.frozen
class RejectedUpdate:
    """An update that can't be used, and why."""

    topic: str
    message: str


@attrs.frozen
class PendingDelta:
    """A delta of the configuration that has to be applied first, outside the event loop."""

    version: VersionMark
    document_version: int
    task: ApplyTask


TakenUpdate = TopicChanged | PendingDelta | RejectedUpdate | None


@attrs.frozen
class _TopicBody:
    version: VersionMark
    body: Any


@attrs.define
class SubscribedTopics:
    """Bodies by topic. ``full_body_needed``: topics whose next update must not be a delta."""

    full_body_needed: set[str] = attrs.field(factory=set)
    _bodies: dict[str, _TopicBody] = attrs.field(factory=dict)

    def version(self, topic: str) -> VersionMark:
        """Return the version of the body that this node has, or the zero version."""
        current = self._bodies.get(topic)
        return current.version if current else ZERO_VERSION

    def body(self, topic: str) -> Any | None:
        """Return the body as a decoded struct, or None."""
        current = self._bodies.get(topic)
        return current.body if current else None

    def poll_versions(self) -> list[TopicMark]:
        """Return the versions that a poll names."""
        return [TopicMark(topic=topic, version=self._poll_version(topic)) for topic in ALL_TOPICS]

    def _poll_version(self, topic: str) -> VersionMark:
        return ZERO_VERSION if topic in self.full_body_needed else self.version(topic)

    def behind(self, newest: list[TopicMark]) -> bool:
        """Return whether any of ``newest`` is newer than what this node has."""
        return any(
            entry.topic in BODY_TYPES and is_newer(entry.version, self.version(entry.topic))
            for entry in newest
        )

    def take(self, update: TopicUpdate) -> TakenUpdate:
        """Take an update; None when it isn't newer than what this node has."""
        if update.topic not in BODY_TYPES:
            return RejectedUpdate(update.topic, "unknown topic")
        if not is_newer(update.version, self.version(update.topic)):
            return None
        if update.patch_base is not None:
            return self._delta(update)
        decoded = decode_packed(BODY_TYPES[update.topic], update.body)
        if decoded.is_error():
            return RejectedUpdate(update.topic, decoded.error.message)
        return self._store(update.topic, update.version, decoded.ok)

    def _delta(self, update: TopicUpdate) -> TakenUpdate:
        topic, current = update.topic, self.body(update.topic)
        if current is None or topic not in DELTA_TYPES or update.patch_base != self.version(topic):
            return self._request_full_body(topic, "a delta against a body that isn't held")
        decoded = decode(DELTA_TYPES[topic], update.body)
        if decoded.is_error():
            return self._request_full_body(topic, decoded.error.message)
        if topic == MEMBERS:
            return self._store(topic, update.version, apply_members_delta(current, decoded.ok))
        body = decoded.ok
        task = ApplyTask(current.document, body.document, body.digest)
        return PendingDelta(update.version, body.version, task)

    def _request_full_body(self, topic: str, message: str) -> RejectedUpdate:
        self.full_body_needed.add(topic)
        return RejectedUpdate(topic, message)

    def take_applied(self, delta: PendingDelta, document: bytes | None) -> TakenUpdate:
        """Take the document that a delta gave; without one, the next update must be complete."""
        if document is None:
            return self._request_full_body(CONFIGURATION, "the delta gives another document")
        if not is_newer(delta.version, self.version(CONFIGURATION)):
            return None
        body = ConfigurationBody(
            version=delta.document_version, digest=delta.task.digest, document=document
        )
        return self._store(CONFIGURATION, delta.version, body)

    def _store(self, topic: str, version: VersionMark, body: Any) -> TopicChanged:
        self.full_body_needed.discard(topic)
        self._bodies[topic] = _TopicBody(version, body)
        return TopicChanged(topic, version, body)
