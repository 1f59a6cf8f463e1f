"""Immutable values of the epoch protocol."""

import attrs


class NotLeadingError(Exception):
    """A step that only the primary of a view makes was begun by a core that leads none."""


@attrs.frozen(order=True, cache_hash=True)
class MemberDisk:
    """One incarnation of one core's disk; a lost or wiped disk comes back with a new id."""

    core_id: str
    disk_id: str


@attrs.frozen(order=True)
class Position:
    """An entry's position in a log. Equal positions mean equal logs up to there."""

    epoch: int
    sequence: int


START = Position(0, 0)


@attrs.frozen(order=True, cache_hash=True)
class CoreMember:
    """A core that votes, and its internal address."""

    core_id: str
    address: str


@attrs.frozen(cache_hash=True)
class View:
    """Who is the primary of ``epoch``, and whose disks have every committed change.

    ``members`` (sorted) are the cores that vote; empty: the ones of the settings.
    ``previous``: set while the members change; a majority of these is needed as well, until a
    view without them is chosen.
    """

    epoch: int
    primary_id: str
    in_sync: tuple[MemberDisk, ...]
    members: tuple[CoreMember, ...] = ()
    previous: tuple[CoreMember, ...] = ()

    @property
    def member_ids(self) -> frozenset[str]:
        """The ids of the cores that vote; empty: the ones of the settings."""
        return _ids(self.members)

    @property
    def previous_ids(self) -> frozenset[str]:
        """The ids of the cores that must agree as well while the members change."""
        return _ids(self.previous)

    def has(self, member: MemberDisk) -> bool:
        """Return whether this very disk is in sync."""
        return member in self.in_sync


def _ids(members: tuple[CoreMember, ...]) -> frozenset[str]:
    return frozenset(member.core_id for member in members)


@attrs.frozen(cache_hash=True)
class WitnessState:
    """The durable state of a witness. ``disks`` and ``retired`` are sorted."""

    own: MemberDisk
    folder_identity: str = ""
    voting: bool = False
    promised_epoch: int = 0
    promised_to: MemberDisk | None = None
    view: View | None = None
    disks: tuple[MemberDisk, ...] = ()
    retired: tuple[str, ...] = ()

    @property
    def accepted_epoch(self) -> int:
        """The epoch of the accepted view, 0 if none."""
        return self.view.epoch if self.view else 0


@attrs.frozen
class Promise:
    """A granted promise: who gave it, the view it had accepted, and the end of its log."""

    voter: MemberDisk
    view: View | None
    last: Position


@attrs.frozen
class EpochRun:
    """Log entries from ``first_sequence`` on were created in ``epoch``."""

    epoch: int
    first_sequence: int
