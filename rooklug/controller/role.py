"""Following one singleton role: acted on only while its grant is valid by the own clock."""

from enum import Enum

import attrs

from rooklug.controller.link import Link
from rooklug.model.constants import ROLE_LEASE_S
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import RoleGrant, VersionMark

FENCE_REVIEW_S = 2 * ROLE_LEASE_S


class NotOwnerError(Exception):
    """A step under a role was begun by a node that doesn't own it."""


class RoleChange(Enum):
    """What happened to a role since the last ``refresh``."""

    NONE = "none"
    TAKEN = "taken"
    LOST = "lost"


@attrs.define
class RoleFollower:
    """Knows whether this node owns a role, and when that began or ended.

    A grant under another token is a new term of the role. So is the same grant seen again
    after a gap longer than a lease: this process was frozen, and what it knows is old.
    """

    link: Link
    role_key: str
    grant: RoleGrant | None = None
    until: float = 0.0
    _seen_at: float = 0.0
    _fenced: VersionMark | None = None
    _fenced_at: float = 0.0

    @property
    def is_owner(self) -> bool:
        """Whether this node owned the role at the last ``refresh``."""
        return self.grant is not None

    @property
    def token(self) -> VersionMark:
        """The fencing token of the current grant.

        Raises
        ------
        NotOwnerError
            This node doesn't own the role.
        """
        if self.grant is None:
            raise NotOwnerError(self.role_key)
        return self.grant.token

    @property
    def token_key(self) -> tuple[int, int]:
        """The sort key of the current token; (0, 0) without the role."""
        return version_key(self.grant.token) if self.grant is not None else (0, 0)

    def refresh(self, now: float) -> RoleChange:
        """Look at the grant; call it first in every ``handle``."""
        previous = self.grant
        frozen = previous is not None and now - self._seen_at > ROLE_LEASE_S
        self._seen_at = now
        self.grant = self._usable_grant(now)
        if self.grant is None:
            return RoleChange.LOST if previous is not None else RoleChange.NONE
        self.until = self.link.grant_until(self.role_key, now)
        same = previous is not None and version_key(previous.token) == version_key(self.grant.token)
        return RoleChange.NONE if same and not frozen else RoleChange.TAKEN

    def fence(self) -> None:
        """Stop acting under the current token: somebody has seen a higher one."""
        if self.grant is not None:
            self._fenced = self.grant.token
            self._fenced_at = self._seen_at
        self.grant = None

    def _usable_grant(self, now: float) -> RoleGrant | None:
        """Return the grant unless it is fenced.

        A fence ends early when the core goes on renewing the same grant for longer than
        any other owner's lease could last: then nobody else owns the role, and standing
        by for ever would leave the fleet without it.
        """
        grant = self.link.grant(self.role_key, now)
        if grant is None:
            self._fenced_at = now
            return None
        if self._fenced is None or version_key(grant.token) > version_key(self._fenced):
            return grant
        if now - self._fenced_at < FENCE_REVIEW_S:
            return None
        self._fenced = None
        return grant
