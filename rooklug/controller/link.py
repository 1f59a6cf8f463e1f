"""What the controller's components need of the node's link to the core."""

from typing import Any, Protocol

from rooklug.engine.effects import Effect
from rooklug.wire.generated.control.ttypes import (
    DecisionRecord,
    NodeRecord,
    RoleGrant,
    RoleOwner,
    VersionMark,
)


class Link(Protocol):
    """The part of ``rooklug.distribution.core_link.CoreLink`` that controllers use."""

    def version(self, topic: str) -> VersionMark:
        """Return the version of the held body of ``topic``."""
        ...

    def body(self, topic: str) -> Any:
        """Return the held body of ``topic``, decoded, or None."""
        ...

    def grant(self, role_key: str, now: float) -> RoleGrant | None:
        """Return the grant of a role while it is valid by this process's clock."""
        ...

    def grant_until(self, role_key: str, now: float) -> float:
        """Return the monotonic time until which the grant is valid."""
        ...

    def publish(
        self, topic: str, role_key: str, body: Any, decisions: list[DecisionRecord], now: float
    ) -> list[Effect]:
        """Publish ``body`` under the current grant; retried while it is the newest."""
        ...

    def published_sequence(self, topic: str) -> int:
        """Return the sequence of what this node published of ``topic`` last; 0: nothing."""
        ...

    def accepted_sequence(self, topic: str) -> int:
        """Return the highest ``published_sequence`` that a primary has accepted; 0: none."""
        ...

    def members(self) -> list[NodeRecord]:
        """Return the nodes that hold leases."""
        ...

    def role_owner(self, role_key: str) -> RoleOwner | None:
        """Return who holds a role, as far as this node knows."""
        ...
