"""The newest body of each topic at the primary, and the choice of full body or delta."""

import attrs

from rooklug.model.topics import ALL_TOPICS
from rooklug.model.versions import ZERO_VERSION, is_newer, version_key
from rooklug.wire.generated.control.ttypes import TopicMark, TopicUpdate, VersionMark


@attrs.frozen
class StoredTopic:
    """The full body of a topic, and its deltas by the key of their base version."""

    full: TopicUpdate
    deltas: dict[tuple[int, int], TopicUpdate] = attrs.field(factory=dict)


@attrs.define
class TopicStore:
    """Bodies by topic. An older version never replaces a newer one."""

    _topics: dict[str, StoredTopic] = attrs.field(factory=dict)
    _provisional: dict[str, TopicUpdate] = attrs.field(factory=dict)

    def offer_provisional(self, topic: str, version: VersionMark, body: bytes) -> None:
        """Store an incomplete body for nodes without any body of the topic, until ``offer``."""
        self._provisional[topic] = TopicUpdate(topic=topic, version=version, body=body)

    def offer(
        self,
        topic: str,
        version: VersionMark,
        body: bytes,
        deltas: tuple[TopicUpdate, ...] = (),
    ) -> bool:
        """Store a body if its version is newer than the stored one; return whether it is."""
        if not is_newer(version, self.version(topic)):
            return False
        full = TopicUpdate(topic=topic, version=version, body=body)
        by_base = {version_key(delta.patch_base): delta for delta in deltas}
        self._topics[topic] = StoredTopic(full, by_base)
        self._provisional.pop(topic, None)
        return True

    def forget(self, topic: str) -> None:
        """Drop the bodies of a topic, also a provisional one."""
        self._topics.pop(topic, None)
        self._provisional.pop(topic, None)

    def version(self, topic: str) -> VersionMark:
        """Return the version of the stored body, or the zero version without one."""
        stored = self._topics.get(topic)
        return stored.full.version if stored else ZERO_VERSION

    def versions(self) -> list[TopicMark]:
        """Return the stored versions, in the order of ``ALL_TOPICS``."""
        return [
            TopicMark(topic=topic, version=self._topics[topic].full.version)
            for topic in ALL_TOPICS
            if topic in self._topics
        ]

    def newer_than(self, known: tuple[TopicMark, ...]) -> list[TopicUpdate]:
        """Return an update for each topic of ``known`` whose stored version is newer.

        Topics that ``known`` doesn't list are left out: the node doesn't subscribe to them.
        """
        newer = [
            self._update_for(entry)
            for entry in known
            if entry.topic in self._topics and is_newer(self.version(entry.topic), entry.version)
        ]
        return newer + [
            self._provisional[entry.topic] for entry in known if self._needs_provisional_body(entry)
        ]

    def _needs_provisional_body(self, known: TopicMark) -> bool:
        """Return whether the node has no body of the topic, or an older one of the same epoch."""
        provisional = self._provisional.get(known.topic)
        if provisional is None or not is_newer(provisional.version, known.version):
            return False
        return known.version.epoch in (ZERO_VERSION.epoch, provisional.version.epoch)

    def _update_for(self, known: TopicMark) -> TopicUpdate:
        stored = self._topics[known.topic]
        return stored.deltas.get(version_key(known.version), stored.full)
