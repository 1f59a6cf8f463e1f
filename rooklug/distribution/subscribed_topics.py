"""The newest body of each topic that this node subscribes to; an older never replaces it."""

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
"""The structs that encode deltas; topics that aren't listed have no deltas."""


@attrs.frozen
class RejectedUpdate:
    """An update that wasn't applied, and the reason."""

    topic: str
    message: str


@attrs.frozen
class PendingDelta:
    """A delta of the configuration, which ``apply_delta`` must apply outside the event loop."""

    version: VersionMark
    document_version: int
    task: ApplyTask


UpdateResult = TopicChanged | PendingDelta | RejectedUpdate | None


@attrs.frozen
class _TopicBody:
    version: VersionMark
    body: Any


@attrs.define
class SubscribedTopics:
    """Bodies by topic. For topics in ``full_body_needed`` the next poll names no version.

    The primary then answers with the full body instead of a delta.
    """

    full_body_needed: set[str] = attrs.field(factory=set)
    _bodies: dict[str, _TopicBody] = attrs.field(factory=dict)

    def version(self, topic: str) -> VersionMark:
        """Return the version of the stored body, or the zero version without one."""
        current = self._bodies.get(topic)
        return current.version if current else ZERO_VERSION

    def body(self, topic: str) -> Any | None:
        """Return the stored body as a decoded struct, or None without one."""
        current = self._bodies.get(topic)
        return current.body if current else None

    def poll_versions(self) -> list[TopicMark]:
        """Return the versions that a poll reports as known, in the order of ``ALL_TOPICS``."""
        return [TopicMark(topic=topic, version=self._poll_version(topic)) for topic in ALL_TOPICS]

    def _poll_version(self, topic: str) -> VersionMark:
        return ZERO_VERSION if topic in self.full_body_needed else self.version(topic)

    def is_behind(self, newest: list[TopicMark]) -> bool:
        """Return whether any of ``newest`` is newer than the stored version of its topic."""
        return any(
            entry.topic in BODY_TYPES and is_newer(entry.version, self.version(entry.topic))
            for entry in newest
        )

    def take(self, update: TopicUpdate) -> UpdateResult:
        """Apply an update; return None if it isn't newer than the stored version."""
        if update.topic not in BODY_TYPES:
            return RejectedUpdate(update.topic, "unknown topic")
        if not is_newer(update.version, self.version(update.topic)):
            return None
        if update.patch_base is not None:
            return self._apply_delta(update)
        decoded = decode_packed(BODY_TYPES[update.topic], update.body)
        if decoded.is_error():
            return RejectedUpdate(update.topic, decoded.error.message)
        return self._store(update.topic, update.version, decoded.ok)

    def _apply_delta(self, update: TopicUpdate) -> UpdateResult:
        topic, current = update.topic, self.body(update.topic)
        if current is None or topic not in DELTA_TYPES or update.patch_base != self.version(topic):
            return self._request_full_body(topic, "delta base is not the stored version")
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

    def apply_document(self, delta: PendingDelta, document: bytes | None) -> UpdateResult:
        """Store the document that a delta gave; if that is None, request the full body."""
        if document is None:
            return self._request_full_body(CONFIGURATION, "delta result has the wrong digest")
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
