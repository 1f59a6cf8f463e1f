"""What nodes report to a core without a vote: whether their group has ever had a primary.

Blank disks look the same at a first start as after the loss of all disks; only the other nodes can
tell. A node that was started with the group and has heard of no primary says so, also one that has
been cut off ever since. So what any node knows of a primary outweighs that, and a core listens
before it says that none is known.
"""

from enum import Enum

from rooklug.core.constants import GROUP_REPORT_WINDOW_S, GROUP_START_REPORT_VALID_S
from rooklug.core.follower import NEVER


class GroupPast(Enum):
    """What a core has heard of its group's past."""

    HAD_PRIMARY = "a node has heard of a primary, or holds a configuration"
    NO_PRIMARY_REPORTED = "no node that reports has heard of a primary"
    LISTENING = "nodes may not have reported yet"


class GroupReports:
    """The reports that this process has received; all are lost when it ends."""

    def __init__(self) -> None:
        self._listening_since = 0.0
        self._start_reported_at = NEVER
        self._had_primary = False

    def listen(self, now: float) -> None:
        """Begin the time within which every connected node reports."""
        self._listening_since = now

    def record_start(self, now: float) -> None:
        """Record that a node was started with the group and has heard of no primary."""
        self._start_reported_at = now

    def record_primary(self) -> None:
        """Record that a node has heard of a primary or holds a configuration."""
        self._had_primary = True

    def is_starting(self, now: float) -> bool:
        """Return whether a node has reported the group's first start recently."""
        return now < self._start_reported_at + GROUP_START_REPORT_VALID_S

    def past(self, now: float) -> GroupPast:
        """Return what is known of the group's past at monotonic time ``now``."""
        if self._had_primary:
            return GroupPast.HAD_PRIMARY
        if now < self._listening_since + GROUP_REPORT_WINDOW_S:
            return GroupPast.LISTENING
        return GroupPast.NO_PRIMARY_REPORTED


def combined(pasts: list[GroupPast]) -> GroupPast:
    """Return what several cores know together: a single report of a primary outweighs the rest."""
    for past in (GroupPast.HAD_PRIMARY, GroupPast.LISTENING):
        if past in pasts:
            return past
    return GroupPast.NO_PRIMARY_REPORTED
