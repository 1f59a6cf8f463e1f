"""The primary's record of each other member during one view."""

import attrs

from rooklug.core.constants import SYNC_DEADLINE_S
from rooklug.core.types import Position

NEVER = float("-inf")
"""The monotonic time of an event that has not happened."""


@attrs.define(eq=False)
class SnapshotTransfer:
    """A snapshot that is being sent to a learner; ``next_index`` is the next chunk to send."""

    position: Position
    chunks: list[bytes]
    next_index: int = 0


@attrs.define(eq=False)
class Follower:
    """Another core, as the primary sees it. Times are monotonic, in seconds.

    Attributes
    ----------
    in_sync
        Whether its disk must have an entry before the entry commits; else it is a learner.
    reachable
        Whether it answered the last heartbeat.
    log_compared
        Whether it has compared its log with the primary's in this view.
    acknowledged
        The last sequence that it has synced to its disk.
    message_in_flight
        Whether a replication message to it is in flight; at most one is at a time.
    awaiting_answer_since, answer_timeout_s
        Since when it has owed an answer (None if it owes none), and how many seconds the
        answer may take before the follower is overdue.
    last_contact_at
        When its last answer arrived.
    supported_at
        When the newest heartbeat was sent that its witness supports.
    transfer
        The snapshot that is being sent to it, if any.
    zone
        Where it says that it is, "" until it has answered a heartbeat.
    """

    core_id: str
    in_sync: bool
    reachable: bool = False
    log_compared: bool = False
    acknowledged: int = 0
    message_in_flight: bool = False
    awaiting_answer_since: float | None = None
    answer_timeout_s: float = SYNC_DEADLINE_S
    last_contact_at: float = 0.0
    supported_at: float = NEVER
    transfer: SnapshotTransfer | None = None
    zone: str = ""
