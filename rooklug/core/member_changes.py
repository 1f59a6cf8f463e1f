"""Decides which core becomes a voting member next, and which member it replaces."""

import attrs

from rooklug.core.constants import (
    DRAINING_VALID_S,
    JOIN_VALID_S,
    REJOIN_BACKOFF_S,
    REPLACE_AFTER_S,
    SUCCESSION_PAUSE_S,
)
from rooklug.core.follower import NEVER, Follower
from rooklug.core.replicator import Replicator
from rooklug.core.types import CoreMember, View
from rooklug.core.witness_rules import MemberChange


@attrs.frozen
class PendingJoin:
    """A core's request to become a voting member.

    ``requested_at`` is the monotonic time at which it arrived, in seconds; ``zone`` is where a
    core is that was never a member, "" for any other.
    """

    member: CoreMember
    first_start: bool
    requested_at: float
    zone: str


class MemberChanges:
    """Keeps the newest join request and decides whether it can be granted; one at a time.

    A new core replaces a member that is gone; if none is, it succeeds the only member of its
    zone, which a machine of the same zone is about to replace. So the successor votes and copies
    the log while its predecessor still runs, and the group is whole when that is removed. Only a
    core that was never a member succeeds a running one: else the two would replace each other.
    """

    def __init__(self, replicator: Replicator, own_zone: str) -> None:
        self._replicator = replicator
        self._own_zone = own_zone
        self._pending_join: PendingJoin | None = None
        self._next_change_at = 0.0
        self._draining_since: dict[str, float] = {}
        self._next_succession_at = 0.0

    def request_join(self, member: CoreMember, now: float, *, first_start: bool, zone: str) -> None:
        """Record a core's request, in the place of an earlier one of any core."""
        self._pending_join = PendingJoin(member, first_start, now, zone)

    def record_draining(self, core_id: str, now: float) -> None:
        """Record that a core is being stopped on purpose: it may be replaced without waiting."""
        self._draining_since[core_id] = now

    def is_succeeded(self, view: View, required_acks: int, now: float) -> bool:
        """Return whether this core should hand over now to be succeeded.

        A primary can't propose a view without itself: the next primary does.
        """
        pending = self._pending_join
        if pending is None or not self._may_succeed(pending, now):
            return False
        if pending.zone != self._own_zone or self._others_in(pending.zone, view):
            return False
        others_in_sync = len(view.in_sync) - 1
        if others_in_sync < required_acks or now < self._next_succession_at:
            return False
        self._next_succession_at = now + SUCCESSION_PAUSE_S
        return True

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
        leaver = "" if pending.first_start else self._leaver(pending, view, required_acks, now)
        if not (pending.first_start or leaver):
            return None
        self._next_change_at = now + REJOIN_BACKOFF_S
        return MemberChange(pending.member, leaver)

    def _leaver(self, pending: PendingJoin, view: View, required_acks: int, now: float) -> str:
        """Return the member that a later core replaces, "" if there is none."""
        gone = [f for f in self._replicator.followers.values() if self._is_gone(f, now)]
        replaceable = _not_required(gone, view, required_acks)
        if replaceable:
            return min(replaceable, key=lambda follower: follower.last_contact_at).core_id
        if gone or not self._may_succeed(pending, now) or pending.zone == self._own_zone:
            return ""
        others = self._others_in(pending.zone, view)
        if len(others) != 1 or not _not_required(others, view, required_acks):
            return ""
        return others[0].core_id

    def _may_succeed(self, pending: PendingJoin, now: float) -> bool:
        """Return whether a new core may take the place of a running member of its zone.

        Not while another member is gone: the votes of those that run are needed.
        """
        is_new = bool(pending.zone) and not pending.first_start
        followers = self._replicator.followers.values()
        calm = all(follower.zone and not self._is_gone(follower, now) for follower in followers)
        return is_new and calm and now < pending.requested_at + JOIN_VALID_S

    def _others_in(self, zone: str, view: View) -> list[Follower]:
        """Return the other members that are in a zone."""
        return [
            follower
            for follower in self._replicator.followers.values()
            if follower.zone == zone and follower.core_id in view.member_ids
        ]

    def _is_gone(self, follower: Follower, now: float) -> bool:
        if now >= follower.last_contact_at + REPLACE_AFTER_S:
            return True
        return now < self._draining_since.get(follower.core_id, NEVER) + DRAINING_VALID_S


def _not_required(followers: list[Follower], view: View, required_acks: int) -> list[Follower]:
    """Return those without whose disks the in-sync set is still large enough."""
    in_sync = {disk.core_id for disk in view.in_sync}
    return [f for f in followers if len(in_sync - {f.core_id}) >= required_acks]
