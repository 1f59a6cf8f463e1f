"""Decides when this core may propose itself as the primary."""

from random import Random

from rooklug.core.constants import (
    ELECTION_JITTER_S,
    ELECTION_RETRY_JITTER_S,
    ELECTION_RETRY_S,
    ELECTION_STAGGER_S,
    LEASE_GUARD_S,
    RESUME_RETRY_INTERVAL_S,
    RESUME_WINDOW_S,
    SYNC_DEADLINE_S,
)
from rooklug.core.disk import Disk
from rooklug.core.follower import NEVER
from rooklug.core.types import WitnessState
from rooklug.core.witness import Witness


class Candidacy:
    """Decides when an election is due; the caller starts the view change.

    A core waits until the lease of the primary that its witness supports has certainly expired.
    Then the in-sync members propose themselves in the order of their ids, ``ELECTION_STAGGER_S``
    apart and with jitter, so that competing proposals are rare.

    A primary that was restarted may propose itself at once (``_may_resume_until``): the only
    lease that could prevent it is its own, which ended with its process. It retries for
    ``RESUME_WINDOW_S``, since the other cores may be starting too.
    """

    def __init__(self, witness: Witness, disk: Disk, random: Random) -> None:
        self._witness = witness
        self._disk = disk
        self._random = random
        self._not_before = 0.0
        self._may_resume_until = NEVER
        self._jitter_s = random.uniform(0.0, ELECTION_JITTER_S)

    def allow_resume(self, now: float) -> None:
        """Allow immediate proposals: this core restarted, and its newest view names it primary."""
        self._may_resume_until = now + RESUME_WINDOW_S

    def wait_for_other_founders(self, now: float) -> None:
        """Start the delay after which a founder proposes the first view."""
        self._not_before = now

    def on_primary_seen(self) -> None:
        """Stop resuming: some primary is active."""
        self._may_resume_until = NEVER

    def on_stepped_down(self, now: float, stand_back_s: float) -> None:
        """Wait ``stand_back_s`` after losing leadership, so that others can propose first."""
        self._not_before = now + stand_back_s

    def on_proposal_failed(self, now: float) -> None:
        """Back off before the next proposal, with new jitter."""
        if self._witness.state.view is None:
            # The other founders are starting too; nobody is served before the first view.
            self._not_before = now + RESUME_RETRY_INTERVAL_S
            self._jitter_s = self._random.uniform(0.0, ELECTION_JITTER_S)
            return
        retry_s = RESUME_RETRY_INTERVAL_S if now < self._may_resume_until else ELECTION_RETRY_S
        self._not_before = now + retry_s
        self._jitter_s = self._random.uniform(0.0, ELECTION_RETRY_JITTER_S)

    def is_due(self, now: float) -> bool:
        """Return whether this core should propose itself now."""
        rank = _rank(self._witness.state)
        if rank is None:
            return False
        if self._disk.oldest_write_age_s(now) >= SYNC_DEADLINE_S / 2:
            return False
        if now < self._may_resume_until:
            return now >= self._not_before
        lease_over_at = self._witness.last_heartbeat_at + LEASE_GUARD_S
        election_delay_s = self._jitter_s + rank * ELECTION_STAGGER_S
        return now >= max(lease_over_at, self._not_before) + election_delay_s


def _rank(state: WitnessState) -> int | None:
    """Return this core's place among those that may propose themselves, None if it may not."""
    if not state.voting:
        return None
    if state.view is None:
        ids = [member.core_id for member in state.founders]
        return ids.index(state.own.core_id) if state.own.core_id in ids else None
    return state.view.in_sync.index(state.own) if state.view.has(state.own) else None
