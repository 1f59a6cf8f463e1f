"""What the primary knows of each other member during one view."""

import attrs

from rooklug.core.constants import SYNC_DEADLINE_S
from rooklug.core.types import Position

NEVER = float("-inf")


@attrs.define(eq=False)
class SnapshotTransfer:
    """A snapshot on its way to a learner, chunk by chunk; ``next_index`` is sent next."""

    position: Position
    chunks: list[bytes]
    next_index: int = 0


@attrs.define(eq=False)
class Follower:
    """Another core, as the primary sees it. Times are monotonic, in seconds.

    Attributes
    ----------
    in_sync
        Whether its disk counts for a commit; else it is a learner.
    reachable
        Whether it has answered the last heartbeat.
    started
        Whether it has compared its log with the primary's in this view.
    acknowledged
        The last sequence that is synced to its disk.
    sending
        Whether a message to it is in flight; the next one waits for its end.
    owing_since, allowed_s
        Since when it owes an answer, and how long that may take.
    last_contact_at
        When it last answered anything.
    supported_at
        When the newest heartbeat was sent that its witness supports.
    transfer
        The snapshot that it receives, if any.
    """

    core_id: str
    in_sync: bool
    reachable: bool = False
    started: bool = False
    acknowledged: int = 0
    sending: bool = False
    owing_since: float | None = None
    allowed_s: float = SYNC_DEADLINE_S
    last_contact_at: float = 0.0
    supported_at: float = NEVER
    transfer: SnapshotTransfer | None = None
