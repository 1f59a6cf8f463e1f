"""Decides which members the next view has in sync: removes late ones, admits caught-up ones.

A change is acknowledged only once every in-sync member has it on disk, so one slow disk delays
all operators. A late member is therefore removed by a view change, receives the entries that it
lacks as a learner, and is admitted again once its log equals the primary's.
"""

from collections.abc import Iterable

from rooklug.core.constants import (
    CATCH_UP_LAG_ENTRIES,
    CATCH_UP_S,
    REJOIN_BACKOFF_LIMIT_S,
    REJOIN_BACKOFF_S,
)
from rooklug.core.follower import NEVER, Follower
from rooklug.core.outbox import Outbox
from rooklug.core.replicator import Replicator
from rooklug.core.store import ReplicaStore
from rooklug.core.types import View

EVERYONE_STAYS: frozenset[str] = frozenset()


class InSyncSet:
    """Decides on view changes that alter the in-sync set; the primary executes them.

    While ``is_waiting_for_learner`` the primary appends nothing, for at most ``CATCH_UP_S``, so
    that the log of a learner that lacks few entries can become equal to the primary's.
    """

    def __init__(self, outbox: Outbox, store: ReplicaStore, replicator: Replicator) -> None:
        self._outbox = outbox
        self._store = store
        self._replicator = replicator
        self._catching_up_since: float | None = None
        self._rejoin_at: dict[str, float] = {}
        self._backoff_s: dict[str, float] = {}

    @property
    def is_waiting_for_learner(self) -> bool:
        """Whether appends are paused until a learner has caught up."""
        return self._catching_up_since is not None

    def reset(self) -> None:
        """Stop waiting for a learner; called when a view begins or ends."""
        self._catching_up_since = None

    def excluded_from_next_view(
        self, view: View, required_acks: int, now: float
    ) -> frozenset[str] | None:
        """Return the members to remove by a view change now, None if no view change is due.

        ``EVERYONE_STAYS``: the view change only admits learners that have caught up.
        """
        late = self._late(view, required_acks, now)
        if late:
            self._postpone_rejoin(late, now)
            message = "removing late members from the in-sync set"
            self._outbox.log("warning", message, members=sorted(late))
            return late
        return self._admission(now)

    def _late(self, view: View, required_acks: int, now: float) -> frozenset[str]:
        """Return the in-sync members to remove because they delay commits.

        A member that is only silent is removed only while ``required_acks`` others remain: it
        delays no commit as long as nothing is appended.
        """
        overdue = self._replicator.overdue(now)
        unresponsive = self._replicator.unresponsive(now) | overdue
        return unresponsive if len(view.in_sync) - len(unresponsive) >= required_acks else overdue

    def _admission(self, now: float) -> frozenset[str] | None:
        candidates = [f for f in self._replicator.learners() if self._may_rejoin(f, now)]
        equal = [f for f in candidates if f.acknowledged == self._store.last.sequence]
        if equal:
            self._catching_up_since = None
            self._postpone_rejoin(_ids(equal), now)
            return EVERYONE_STAYS
        if self._catching_up_since is None:
            self._catching_up_since = now if candidates else None
        elif now >= self._catching_up_since + CATCH_UP_S:
            self._catching_up_since = None
            self._postpone_rejoin(_ids(candidates), now)
        return None

    def _may_rejoin(self, follower: Follower, now: float) -> bool:
        lag = self._store.last.sequence - follower.acknowledged
        rested = now >= self._rejoin_at.get(follower.core_id, 0.0)
        return follower.started and follower.reachable and rested and lag <= CATCH_UP_LAG_ENTRIES

    def _postpone_rejoin(self, core_ids: Iterable[str], now: float) -> None:
        """Double the members' re-admission backoff; restart it after a long time without change."""
        for core_id in core_ids:
            calm = now > self._rejoin_at.get(core_id, NEVER) + REJOIN_BACKOFF_LIMIT_S
            previous_s = REJOIN_BACKOFF_S / 2 if calm else self._backoff_s[core_id]
            backoff_s = min(REJOIN_BACKOFF_LIMIT_S, 2 * previous_s)
            self._backoff_s[core_id] = backoff_s
            self._rejoin_at[core_id] = now + backoff_s


def _ids(followers: Iterable[Follower]) -> frozenset[str]:
    return frozenset(follower.core_id for follower in followers)
