"""Follows the grant of one singleton role, which is valid by this process's own clock only."""

from enum import Enum

import attrs

from rooklug.controller.link import Link
from rooklug.model.constants import ROLE_LEASE_S
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import RoleGrant, VersionMark

FENCE_REVIEW_S = 2 * ROLE_LEASE_S


class NotOwnerError(Exception):
    """The fencing token of a role was requested on a node that doesn't own the role."""


class RoleChange(Enum):
    """How the ownership of a role has changed since the previous ``refresh``."""

    NONE = "none"
    TAKEN = "taken"
    LOST = "lost"


@attrs.define
class RoleFollower:
    """Tracks whether this node owns a role, and detects the beginning and end of each term.

    A grant with another token begins a new term. So does an unchanged grant after a gap of more
    than a lease between two calls of ``refresh``: the process was frozen, and its state is out of
    date. ``until`` is the monotonic time at which the current grant expires.
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
        """Whether this node owned the role at the last ``refresh`` and wasn't fenced since."""
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
        """The sort key of the current token; (0, 0) if this node doesn't own the role."""
        return version_key(self.grant.token) if self.grant is not None else (0, 0)

    def refresh(self, now: float) -> RoleChange:
        """Update the grant and return what has changed; call it first in every ``handle``."""
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
        """Stop acting under the current token. Called when a replica has seen a higher one."""
        if self.grant is not None:
            self._fenced = self.grant.token
            self._fenced_at = self._seen_at
        self.grant = None

    def _usable_grant(self, now: float) -> RoleGrant | None:
        """Return the grant unless its token is fenced.

        A higher token ends the fence. It also ends after ``FENCE_REVIEW_S`` in which the core has
        kept renewing the same grant, longer than any other owner's lease could last: then nobody
        else owns the role, and standing by for ever would leave the fleet without an owner.
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
