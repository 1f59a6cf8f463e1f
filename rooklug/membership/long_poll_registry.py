"""Long polls that are pending at the primary until a topic has a newer version."""

import attrs

from rooklug.membership.topic_store import TopicStore
from rooklug.model.constants import POLL_WAIT_S
from rooklug.wire.generated.control.ttypes import PollRequest, TopicMark, TopicUpdate

MAX_PENDING_POLLS = 4096
"""Polls beyond this number are answered immediately."""


@attrs.frozen
class PendingPoll:
    """A poll that has no answer yet; it ends without updates at ``expires_at`` (monotonic)."""

    call_id: int
    node_id: str
    known_versions: tuple[TopicMark, ...]
    expires_at: float


@attrs.frozen
class PollReply:
    """The answer to a poll; without updates if the poll ended for another reason."""

    call_id: int
    updates: list[TopicUpdate]


@attrs.define
class LongPollRegistry:
    """The pending polls, at most one for each node."""

    store: TopicStore
    _pending: dict[str, PendingPoll] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._pending)

    def poll(self, call_id: int, request: PollRequest, now: float) -> list[PollReply]:
        """Answer a poll or keep it pending; an earlier poll of the node ends without updates."""
        replies = self._end_earlier(request.node_id)
        known_versions = tuple(request.held)
        updates = self.store.newer_than(known_versions)
        wait_s = min(max(request.wait_ms, 0) / 1000, POLL_WAIT_S)
        if updates or wait_s == 0 or len(self._pending) >= MAX_PENDING_POLLS:
            return [*replies, PollReply(call_id, updates)]
        self._pending[request.node_id] = PendingPoll(
            call_id, request.node_id, known_versions, now + wait_s
        )
        return replies

    def wake(self) -> list[PollReply]:
        """Answer all polls for which the store has newer versions.

        Polls with the same known versions share one list of updates.
        """
        replies: list[PollReply] = []
        shared: dict[tuple, list[TopicUpdate]] = {}
        for poll in list(self._pending.values()):
            key = tuple(
                (entry.topic, entry.version.epoch, entry.version.counter)
                for entry in poll.known_versions
            )
            if key not in shared:
                shared[key] = self.store.newer_than(poll.known_versions)
            if shared[key]:
                del self._pending[poll.node_id]
                replies.append(PollReply(poll.call_id, shared[key]))
        return replies

    def request_renewal(self, node_ids: list[str]) -> list[PollReply]:
        """End the polls of these nodes without updates, so that they renew their leases now."""
        polls = [self._pending[node_id] for node_id in node_ids if node_id in self._pending]
        return [self._end(poll) for poll in polls]

    def expire(self, now: float) -> list[PollReply]:
        """End the polls that have timed out, without updates."""
        overdue = [poll for poll in self._pending.values() if poll.expires_at <= now]
        return [self._end(poll) for poll in overdue]

    def release_all(self) -> list[PollReply]:
        """End all polls without updates: this core has lost its leadership."""
        return [self._end(poll) for poll in list(self._pending.values())]

    def _end_earlier(self, node_id: str) -> list[PollReply]:
        earlier = self._pending.get(node_id)
        return [self._end(earlier)] if earlier else []

    def _end(self, poll: PendingPoll) -> PollReply:
        del self._pending[poll.node_id]
        return PollReply(poll.call_id, [])
