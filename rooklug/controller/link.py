"""The interface through which the controller's components use the node's link to the core."""

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
        """Return the version of the body that this node holds of ``topic``."""
        ...

    def body(self, topic: str) -> Any:
        """Return the decoded body that this node holds of ``topic``, or None."""
        ...

    def grant(self, role_key: str, now: float) -> RoleGrant | None:
        """Return the grant of a role while it is valid by this process's clock, else None."""
        ...

    def grant_until(self, role_key: str, now: float) -> float:
        """Return the monotonic time until which the grant is valid."""
        ...

    def publish(
        self, topic: str, role_key: str, body: Any, decisions: list[DecisionRecord], now: float
    ) -> list[Effect]:
        """Publish ``body`` under the current grant.

        The link retries it until a newer body of the topic replaces it.
        """
        ...

    def published_sequence(self, topic: str) -> int:
        """Return the sequence of this node's newest publication of ``topic``; 0 if none."""
        ...

    def accepted_sequence(self, topic: str) -> int:
        """Return the highest ``published_sequence`` that a primary has accepted; 0 if none."""
        ...

    def members(self) -> list[NodeRecord]:
        """Return the nodes that hold a lease, as far as this node knows."""
        ...

    def role_owner(self, role_key: str) -> RoleOwner | None:
        """Return the owner of a role as far as this node knows, or None."""
        ...
