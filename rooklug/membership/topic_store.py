"""The newest body of each topic at the primary, and what a poll gets of it: full or delta."""

import attrs

from rooklug.model.topics import ALL_TOPICS
from rooklug.model.versions import ZERO_VERSION, is_newer, version_key
from rooklug.wire.generated.control.ttypes import TopicMark, TopicUpdate, VersionMark


@attrs.frozen
class StoredTopic:
    """One topic: its full body, and deltas by the key of the version that they start from."""

    full: TopicUpdate
    deltas: dict[tuple[int, int], TopicUpdate] = attrs.field(factory=dict)


@attrs.define
class TopicStore:
    """Bodies by topic; an older version never replaces a newer one."""

    _topics: dict[str, StoredTopic] = attrs.field(factory=dict)
    _early: dict[str, TopicUpdate] = attrs.field(factory=dict)

    def offer_early(self, topic: str, version: VersionMark, body: bytes) -> None:
        """Keep an incomplete body for nodes that know nothing of the topic, until ``offer``."""
        self._early[topic] = TopicUpdate(topic=topic, version=version, body=body)

    def offer(
        self,
        topic: str,
        version: VersionMark,
        body: bytes,
        deltas: tuple[TopicUpdate, ...] = (),
    ) -> bool:
        """Store a body if its version is newer than the stored one; return whether it was."""
        if not is_newer(version, self.version(topic)):
            return False
        full = TopicUpdate(topic=topic, version=version, body=body)
        by_base = {version_key(delta.patch_base): delta for delta in deltas}
        self._topics[topic] = StoredTopic(full, by_base)
        self._early.pop(topic, None)
        return True

    def forget(self, topic: str) -> None:
        """Drop a topic's body."""
        self._topics.pop(topic, None)
        self._early.pop(topic, None)

    def version(self, topic: str) -> VersionMark:
        """Return the newest version of a topic, or the zero version."""
        stored = self._topics.get(topic)
        return stored.full.version if stored else ZERO_VERSION

    def versions(self) -> list[TopicMark]:
        """Return the newest versions of the topics that have a body."""
        return [
            TopicMark(topic=topic, version=self._topics[topic].full.version)
            for topic in ALL_TOPICS
            if topic in self._topics
        ]

    def newer_than(self, known: tuple[TopicMark, ...]) -> list[TopicUpdate]:
        """Return the updates of exactly those topics that are newer than ``known``."""
        newer = [
            self._update_for(entry)
            for entry in known
            if entry.topic in self._topics and is_newer(self.version(entry.topic), entry.version)
        ]
        return newer + [
            self._early[entry.topic] for entry in known if self._takes_early_body(entry)
        ]

    def _takes_early_body(self, known: TopicMark) -> bool:
        """Return whether a node has nothing better than the early body of a topic."""
        early = self._early.get(known.topic)
        if early is None or not is_newer(early.version, known.version):
            return False
        return known.version.epoch in (ZERO_VERSION.epoch, early.version.epoch)

    def _update_for(self, known: TopicMark) -> TopicUpdate:
        stored = self._topics[known.topic]
        return stored.deltas.get(version_key(known.version), stored.full)
