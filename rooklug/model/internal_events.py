"""Internal events that components of several packages send each other."""

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
    """This core has become the primary of ``epoch`` and has committed its whole log."""

    epoch: int


@attrs.frozen
class PrimaryLeaseExtended(InternalEvent):
    """This primary's lease lasts until monotonic time ``until``, in seconds of its own clock."""

    epoch: int
    until: float


@attrs.frozen
class PrimaryStopped(InternalEvent):
    """This core has lost or given up its leadership."""

    reason: str


@attrs.frozen
class PrimaryKnown(InternalEvent):
    """The primary's internal address as far as this core knows, "" while unknown."""

    epoch: int
    address: str


@attrs.frozen
class ConfigurationCommitted(InternalEvent):
    """A configuration is committed; ``version`` is (epoch of commit, version)."""

    version: VersionMark
    body: ConfigurationBody


@attrs.frozen
class ZonesCommitted(InternalEvent):
    """The set of drained zones has changed; ``version`` is (epoch, sequence)."""

    version: VersionMark
    body: ZonesBody


@attrs.frozen
class TopicOffered(InternalEvent):
    """A component of the primary itself publishes a topic; ``body`` is a thrift struct.

    ``sequence`` grows with each publication of the component in this process. The primary's
    lease makes the component the only publisher, so no role grant is needed.
    """

    topic: str
    epoch: int
    sequence: int
    body: Any


@attrs.frozen
class CoresChanged(InternalEvent):
    """The internal addresses of the cores that vote, once they have changed."""

    addresses: tuple[str, ...]


@attrs.frozen
class CoreStatusChanged(InternalEvent):
    """This core's replication status, for ``ctl status``."""

    status: CoreStatus


@attrs.frozen
class TopicChanged(InternalEvent):
    """This node has received a newer body of a topic; ``body`` is the decoded thrift struct."""

    topic: str
    version: VersionMark
    body: Any


@attrs.frozen
class GrantsChanged(InternalEvent):
    """The roles granted to this node have changed; check ``CoreLink.grant`` before acting."""

    grants: tuple[RoleGrant, ...]
