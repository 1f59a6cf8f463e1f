"""Decides when this core may propose itself as the primary."""

from random import Random

from rooklug.core.constants import (
    FAILOVER_JITTER_S,
    FAILOVER_STEP_S,
    LEASE_GUARD_S,
    RESUME_RETRY_S,
    RESUME_S,
    RETRY_JITTER_S,
    RETRY_S,
    SYNC_DEADLINE_S,
)
from rooklug.core.disk import Disk
from rooklug.core.follower import NEVER
from rooklug.core.witness import Witness


class Candidacy:
    """Decides when an election is due; the caller starts the view change.

    A core waits until the lease of the primary that its witness supports has certainly expired.
    Then the in-sync members propose themselves in the order of their ids, ``FAILOVER_STEP_S``
    apart and with jitter, so that competing proposals are rare.

    A primary that was restarted may propose itself at once (``_may_resume_until``): the only
    lease that could prevent it is its own, which ended with its process. It retries for
    ``RESUME_S``, since the other cores may be starting too.
    """

    def __init__(self, witness: Witness, disk: Disk, random: Random) -> None:
        self._witness = witness
        self._disk = disk
        self._random = random
        self._not_before = 0.0
        self._may_resume_until = NEVER
        self._jitter_s = random.uniform(0.0, FAILOVER_JITTER_S)

    def resume(self, now: float) -> None:
        """Allow immediate proposals: this core restarted, and its newest view names it primary."""
        self._may_resume_until = now + RESUME_S

    def primary_seen(self) -> None:
        """Stop resuming: some primary is active."""
        self._may_resume_until = NEVER

    def stepped_down(self, now: float) -> None:
        """Wait ``RETRY_S`` after losing leadership, so that other cores can propose first."""
        self._not_before = now + RETRY_S

    def proposal_failed(self, now: float) -> None:
        """Back off before the next proposal, with new jitter."""
        retry_s = RESUME_RETRY_S if now < self._may_resume_until else RETRY_S
        self._not_before = now + retry_s
        self._jitter_s = self._random.uniform(0.0, RETRY_JITTER_S)

    def is_due(self, now: float) -> bool:
        """Return whether this core should propose itself now."""
        state = self._witness.state
        if not state.voting or state.view is None or not state.view.has(state.own):
            return False
        if self._disk.oldest_age(now) >= SYNC_DEADLINE_S / 2:
            return False
        if now < self._may_resume_until:
            return now >= self._not_before
        rank = state.view.in_sync.index(state.own)
        lease_over_at = self._witness.last_heartbeat_at + LEASE_GUARD_S
        election_delay_s = self._jitter_s + rank * FAILOVER_STEP_S
        return now >= max(lease_over_at, self._not_before) + election_delay_s
