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
    """The reports that this process has received; all are lost when it ends.

    ``highest_epoch`` is that of the newest primary that a node has heard of, 0 for none.
    """

    def __init__(self) -> None:
        self._listening_since = 0.0
        self._start_reported_at = NEVER
        self.highest_epoch = 0

    def listen(self, now: float) -> None:
        """Begin the time within which every connected node reports."""
        self._listening_since = now

    def record_start(self, now: float) -> None:
        """Record that a node was started with the group and has heard of no primary."""
        self._start_reported_at = now

    def record_primary(self, epoch: int) -> None:
        """Record that a node has heard of a primary of that epoch, or holds what it published."""
        self.highest_epoch = max(self.highest_epoch, epoch)

    def is_starting(self, now: float) -> bool:
        """Return whether a node has reported the group's first start recently."""
        return now < self._start_reported_at + GROUP_START_REPORT_VALID_S

    def past(self, now: float) -> GroupPast:
        """Return what is known of the group's past at monotonic time ``now``."""
        if self.highest_epoch:
            return GroupPast.HAD_PRIMARY
        if now < self._listening_since + GROUP_REPORT_WINDOW_S:
            return GroupPast.LISTENING
        return GroupPast.NO_PRIMARY_REPORTED

    def reported_epoch(self, now: float) -> int | None:
        """Return the highest epoch reported, 0 if none was in time; None while listening."""
        return None if self.past(now) is GroupPast.LISTENING else self.highest_epoch


def past_of(reported_epoch: int | None) -> GroupPast:
    """Return what another core's ``reported_epoch`` says of the group's past."""
    if reported_epoch is None:
        return GroupPast.LISTENING
    return GroupPast.HAD_PRIMARY if reported_epoch else GroupPast.NO_PRIMARY_REPORTED


def combined(pasts: list[GroupPast]) -> GroupPast:
    """Return what several cores know together: a single report of a primary outweighs the rest."""
    for past in (GroupPast.HAD_PRIMARY, GroupPast.LISTENING):
        if past in pasts:
            return past
    return GroupPast.NO_PRIMARY_REPORTED
