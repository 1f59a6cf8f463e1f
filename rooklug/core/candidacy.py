"""When this core may propose itself as the primary."""

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
    """Decides about elections; the caller begins the view change.

    A core waits until the lease of the primary that its witness supports is surely over. Then
    the members in sync go in the order of their ids, ``FAILOVER_STEP_S`` apart and with jitter,
    so that two candidates rarely refuse each other's proposals.

    A primary that was restarted may propose itself at once (``may_resume_until``): no lease but
    its own can stand in its way, and that one ended with its process. It retries for a while,
    since the other cores may be starting too.
    """

    def __init__(self, witness: Witness, disk: Disk, random: Random) -> None:
        self._witness = witness
        self._disk = disk
        self._random = random
        self._not_before = 0.0
        self._may_resume_until = NEVER
        self._jitter_s = random.uniform(0.0, FAILOVER_JITTER_S)

    def resume(self, now: float) -> None:
        """The witness' newest view names this core, restarted, as its primary."""
        self._may_resume_until = now + RESUME_S

    def primary_seen(self) -> None:
        """Some primary is at work: there is nothing to resume."""
        self._may_resume_until = NEVER

    def stepped_down(self, now: float) -> None:
        """Let others go first after losing the leadership."""
        self._not_before = now + RETRY_S

    def proposal_failed(self, now: float) -> None:
        """Wait before the next proposal."""
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
