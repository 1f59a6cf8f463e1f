"""Internal events exchanged between components of different packages."""

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
    """This core has become the primary of ``epoch`` and has committed the log it started with."""

    epoch: int


@attrs.frozen
class GroupStartReported(InternalEvent):
    """A node that was started with the group has not been answered by any primary yet."""

    node_id: str


@attrs.frozen
class EarlierPrimaryReported(InternalEvent):
    """A node that called a core without a primary has heard of one, or holds a configuration.

    ``epoch`` is the highest epoch that it knows.
    """

    node_id: str
    epoch: int


@attrs.frozen
class PrimaryLeaseExtended(InternalEvent):
    """The primary's lease is valid until monotonic time ``until``, in seconds of this process."""

    epoch: int
    until: float


@attrs.frozen
class PrimaryStopped(InternalEvent):
    """This core has lost its leadership or stepped down; ``reason`` says why."""

    reason: str


@attrs.frozen
class PrimaryChanged(InternalEvent):
    """This core has learnt of another primary or a new epoch.

    ``address`` is the primary's internal address, "" while it is unknown.
    """

    epoch: int
    address: str


@attrs.frozen
class ConfigurationCommitted(InternalEvent):
    """A configuration has been committed; ``version`` is (epoch of the commit, its version)."""

    version: VersionMark
    body: ConfigurationBody


@attrs.frozen
class ZonesCommitted(InternalEvent):
    """A change of the drained zones has been committed; ``version`` is (epoch, sequence)."""

    version: VersionMark
    body: ZonesBody


@attrs.frozen
class TopicOffered(InternalEvent):
    """A component in the primary's own process publishes a topic; ``body`` is a thrift struct.

    ``sequence`` increases with each publication of the component in this process. The primary's
    lease guarantees that the component is the only publisher, so it needs no role grant.
    """

    topic: str
    epoch: int
    sequence: int
    body: Any


@attrs.frozen
class CoresChanged(InternalEvent):
    """The internal addresses of the voting cores have changed."""

    addresses: tuple[str, ...]


@attrs.frozen
class CoreStatusChanged(InternalEvent):
    """This core's replication status, shown by ``ctl status``, has changed."""

    status: CoreStatus


@attrs.frozen
class TopicChanged(InternalEvent):
    """This node has received a newer version of a topic; ``body`` is the decoded thrift struct."""

    topic: str
    version: VersionMark
    body: Any


@attrs.frozen
class GrantsChanged(InternalEvent):
    """The roles granted to this node have changed.

    A grant may have expired since: check ``CoreLink.grant`` before acting on it.
    """

    grants: tuple[RoleGrant, ...]
