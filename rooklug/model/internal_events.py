"""Messages between the parts of one process."""

from typing import Any

import attrs

from rooklug.engine.component import InternalEvent
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    CoreStatus,
    RoleGrant,
    VersionMark,
    ZonesBody,
)


@attrs.frozen
class PrimaryStarted(InternalEvent):
    """This core has become the primary of ``epoch`` and has committed what it found."""

    epoch: int


@attrs.frozen
class PrimaryLeaseExtended(InternalEvent):
    """This primary may act until monotonic time ``until`` (counted from the send)."""

    epoch: int
    until: float


@attrs.frozen
class PrimaryStopped(InternalEvent):
    """This core is the primary no more."""

    reason: str


@attrs.frozen
class PrimaryKnown(InternalEvent):
    """Where the primary is, as far as this core knows ("" while unknown)."""

    epoch: int
    address: str


@attrs.frozen
class ConfigurationCommitted(InternalEvent):
    """A configuration is committed; ``version`` is (epoch of commit, version)."""

    version: VersionMark
    body: ConfigurationBody


@attrs.frozen
class ZonesCommitted(InternalEvent):
    """The set of emptied zones changed; ``version`` is (epoch, sequence)."""

    version: VersionMark
    body: ZonesBody


@attrs.frozen
class TopicOffered(InternalEvent):
    """A part of the primary itself has made a topic; ``body`` is a thrift struct.

    ``sequence`` grows with each offer of the part in this process. The primary's lease is
    what makes the part the only one: no grant is needed.
    """

    topic: str
    epoch: int
    sequence: int
    body: Any


@attrs.frozen
class CoresChanged(InternalEvent):
    """The cores that vote are at these internal addresses now."""

    addresses: tuple[str, ...]


@attrs.frozen
class CoreStatusChanged(InternalEvent):
    """This core's replication status, for ``ctl status``."""

    status: CoreStatus


@attrs.frozen
class TopicChanged(InternalEvent):
    """A node holds a newer body of a topic. ``body`` is the decoded thrift struct."""

    topic: str
    version: VersionMark
    body: Any


@attrs.frozen
class GrantsChanged(InternalEvent):
    """The set of roles this node holds changed. Check ``CoreLink.grant`` before acting."""

    grants: tuple[RoleGrant, ...]
