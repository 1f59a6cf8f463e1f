"""Immutable values of the view-change protocol."""

import attrs


class NotLeadingError(Exception):
    """A core that leads no view attempted a step that only the primary of a view may take."""


@attrs.frozen(order=True, cache_hash=True)
class MemberDisk:
    """One incarnation of a core's disk; a disk that was lost or wiped gets a new ``disk_id``."""

    core_id: str
    disk_id: str


@attrs.frozen(order=True)
class Position:
    """An entry's position in a log; logs that share a position are equal up to it."""

    epoch: int
    sequence: int


START = Position(0, 0)
"""The position before the first entry."""


@attrs.frozen(order=True, cache_hash=True)
class CoreMember:
    """A voting member and its internal address ("ip:port")."""

    core_id: str
    address: str


@attrs.frozen(cache_hash=True)
class View:
    """The configuration of the group during one epoch.

    Attributes
    ----------
    primary_id
        The core that leads.
    in_sync
        The disks that have every committed entry, sorted.
    members
        The voting cores, sorted; empty stands for the cores of the settings.
    previous
        The former voting cores while the members change, else empty. A majority of these is
        required as well, until a view without them is chosen.
    """

    epoch: int
    primary_id: str
    in_sync: tuple[MemberDisk, ...]
    members: tuple[CoreMember, ...] = ()
    previous: tuple[CoreMember, ...] = ()

    @property
    def member_ids(self) -> frozenset[str]:
        """The ids of the voting cores; empty stands for the cores of the settings."""
        return _ids(self.members)

    @property
    def previous_ids(self) -> frozenset[str]:
        """The ids of the former voting cores while the members change, else empty."""
        return _ids(self.previous)

    def has(self, member: MemberDisk) -> bool:
        """Return whether this incarnation of the disk is in sync."""
        return member in self.in_sync


def _ids(members: tuple[CoreMember, ...]) -> frozenset[str]:
    return frozenset(member.core_id for member in members)


@attrs.frozen(cache_hash=True)
class WitnessState:
    """The durable state of a witness.

    Attributes
    ----------
    own
        The disk that this state is on.
    folder_identity
        The identity of the data folder that the state was created in.
    voting
        Whether the witness may vote. It may not after its disk was lost, until it has read the
        state of the other witnesses.
    promised_epoch, promised_to
        The highest epoch promised, and the proposer it was promised to.
    view
        The newest view accepted or learned.
    disks
        The known disk of each core, sorted.
    retired
        The ids of disks that were replaced by new ones, sorted.
    founders
        The cores that form the first view, sorted, if this witness takes part in that; it may vote
        then although it knows no view yet.
    """

    own: MemberDisk
    folder_identity: str = ""
    voting: bool = False
    promised_epoch: int = 0
    promised_to: MemberDisk | None = None
    view: View | None = None
    disks: tuple[MemberDisk, ...] = ()
    retired: tuple[str, ...] = ()
    founders: tuple[CoreMember, ...] = ()

    @property
    def accepted_epoch(self) -> int:
        """The epoch of the accepted view, 0 if none."""
        return self.view.epoch if self.view else 0


@attrs.frozen
class Promise:
    """A granted promise: the voter, the view it had accepted, and the end of its log."""

    voter: MemberDisk
    view: View | None
    last: Position


@attrs.frozen
class EpochRun:
    """A run of log entries of the same epoch, which starts at ``first_sequence``."""

    epoch: int
    first_sequence: int
