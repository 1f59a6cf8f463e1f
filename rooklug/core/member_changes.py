"""Decides which core becomes a voting member next, and which member it replaces."""

import attrs

from rooklug.core.constants import (
    DRAINING_VALID_S,
    JOIN_VALID_S,
    REJOIN_BACKOFF_S,
    REPLACE_AFTER_S,
)
from rooklug.core.follower import NEVER, Follower
from rooklug.core.replicator import Replicator
from rooklug.core.types import CoreMember, View
from rooklug.core.witness_rules import MemberChange


@attrs.frozen
class PendingJoin:
    """A core's request to become a voting member.

    ``requested_at`` is the monotonic time at which it arrived, in seconds.
    """

    member: CoreMember
    first_start: bool
    requested_at: float


class MemberChanges:
    """Keeps the newest join request and decides whether it can be granted; one at a time."""

    def __init__(self, replicator: Replicator) -> None:
        self._replicator = replicator
        self._pending_join: PendingJoin | None = None
        self._next_change_at = 0.0
        self._draining_since: dict[str, float] = {}

    def request_join(self, member: CoreMember, now: float, *, first_start: bool) -> None:
        """Record a core's request, in the place of an earlier one of any core."""
        self._pending_join = PendingJoin(member, first_start, now)

    def record_draining(self, core_id: str, now: float) -> None:
        """Record that a core is being stopped on purpose: it may be replaced without waiting."""
        self._draining_since[core_id] = now

    def next_change(self, view: View, required_acks: int, now: float) -> MemberChange | None:
        """Return the change to make now, None if there is none.

        A core that joins at the first start is added; a later core has to replace a member.
        """
        if now < self._next_change_at:
            return None
        pending, self._pending_join = self._pending_join, None
        if pending is None or now >= pending.requested_at + JOIN_VALID_S:
            return None
        if pending.member.core_id in view.member_ids:
            # It asked again while the view that made it a member was being chosen.
            return None
        leaver = "" if pending.first_start else self._replaceable(view, required_acks, now)
        if not (pending.first_start or leaver):
            return None
        self._next_change_at = now + REJOIN_BACKOFF_S
        return MemberChange(pending.member, leaver)

    def _replaceable(self, view: View, required_acks: int, now: float) -> str:
        """Return the member gone for longest whose disk isn't required, "" if there is none."""
        in_sync = {disk.core_id for disk in view.in_sync}
        gone = [
            follower
            for follower in self._replicator.followers.values()
            if self._is_gone(follower, now) and len(in_sync - {follower.core_id}) >= required_acks
        ]
        return min(gone, key=lambda follower: follower.last_contact_at).core_id if gone else ""

    def _is_gone(self, follower: Follower, now: float) -> bool:
        if now >= follower.last_contact_at + REPLACE_AFTER_S:
            return True
        return now < self._draining_since.get(follower.core_id, NEVER) + DRAINING_VALID_S
