"""Watches which live nodes hold the newest operators' state, as far as their polls tell.

A node names the versions that it holds in each poll. One that hasn't polled this primary, or
whose last poll named an older version, counts as behind once that version is ``BEHIND_AFTER_S``
old. It only logs and counts; nothing depends on it.
"""

from collections.abc import Iterable

import attrs

from rooklug.engine import effects as fx
from rooklug.model.topics import CONFIGURATION, ZONES
from rooklug.model.versions import ZERO_VERSION, is_newer
from rooklug.wire.generated.control.ttypes import TopicMark, VersionMark

BEHIND_AFTER_S = 2.0
"""Age from which every live node should have named a version."""
WATCHED_TOPICS = (CONFIGURATION, ZONES)
MAX_LOGGED_NODES = 20


@attrs.define
class _WatchedTopic:
    """The newest version of a topic, since when it is the newest, and the nodes last logged."""

    version: VersionMark = ZERO_VERSION
    newest_since: float = 0.0
    logged: tuple[str, ...] = ()


@attrs.define
class PropagationWatch:
    """Logs which live nodes are behind, once for as long as they are the same."""

    _topics: dict[str, _WatchedTopic] = attrs.field(
        factory=lambda: {topic: _WatchedTopic() for topic in WATCHED_TOPICS}
    )
    _polled: dict[str, dict[str, VersionMark]] = attrs.field(factory=dict)

    def start(self, now: float) -> None:
        """Start a term: no node has polled yet, and each has the usual time to do so."""
        self._polled.clear()
        for watched in self._topics.values():
            watched.newest_since = now
            watched.logged = ()

    def record_version(self, topic: str, version: VersionMark, now: float) -> None:
        """Record that this core has a version of a topic."""
        watched = self._topics[topic]
        if is_newer(version, watched.version):
            watched.version = version
            watched.newest_since = now

    def record_poll(self, node_id: str, held: Iterable[TopicMark]) -> None:
        """Record the versions that a node named in a poll."""
        self._polled[node_id] = {
            mark.topic: mark.version for mark in held if mark.topic in self._topics
        }

    def behind(self, topic: str, live_nodes: Iterable[str], now: float) -> tuple[str, ...]:
        """Return the live nodes that are behind on a topic, sorted."""
        watched = self._topics[topic]
        if now < watched.newest_since + BEHIND_AFTER_S:
            return ()
        return tuple(
            node_id
            for node_id in sorted(live_nodes)
            if is_newer(watched.version, self._held(node_id, topic))
        )

    def check(self, live_nodes: Iterable[str], now: float) -> list[fx.Effect]:
        """Log each topic whose nodes behind have changed; forget the polls of nodes that left."""
        live = frozenset(live_nodes)
        self._polled = {node: held for node, held in self._polled.items() if node in live}
        return [effect for topic in self._topics for effect in self._check_topic(topic, live, now)]

    def _check_topic(self, topic: str, live: frozenset[str], now: float) -> list[fx.Effect]:
        watched = self._topics[topic]
        behind = self.behind(topic, live, now)
        if behind == watched.logged:
            return []
        watched.logged = behind
        fields = {
            "topic": topic,
            "epoch": watched.version.epoch,
            "counter": watched.version.counter,
            "count": len(behind),
            "nodes": list(behind[:MAX_LOGGED_NODES]),
        }
        if not behind:
            return [fx.Log("info", "all live nodes have the newest state again", fields)]
        return [fx.Log("warning", "live nodes haven't confirmed the newest state", fields)]

    def _held(self, node_id: str, topic: str) -> VersionMark:
        return self._polled.get(node_id, {}).get(topic, ZERO_VERSION)
