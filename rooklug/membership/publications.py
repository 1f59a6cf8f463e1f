"""Publications of role owners: checks of the fencing token, and versions of their bodies."""

from enum import Enum

import attrs

from rooklug.membership.roles import RoleTable
from rooklug.membership.topic_store import TopicStore
from rooklug.model.topics import PUBLISHERS
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import PublishRequest, VersionMark

SEQUENCE_BITS = 32
"""A publication's version is (token epoch, token counter << 32 | sequence).

It doesn't depend on the primary. A body that its owner publishes again after a failover keeps
its version, so nodes that have it aren't updated again, and a delayed older publication can't
replace a newer one.
"""

_SEQUENCE_LIMIT = 1 << SEQUENCE_BITS
_TOKEN_COUNTER_LIMIT = 1 << 30
"""Keeps the version's counter, ``counter << SEQUENCE_BITS``, within a signed 64-bit field."""


class PublishRejection(Enum):
    """Why a publication is rejected; the value is the ``reason`` of the answer."""

    NOT_PRIMARY = "this core is not the primary"
    WRONG_ROLE = "this role does not publish this topic"
    STALE_TOKEN = "the token is not the current grant's"
    BAD_SEQUENCE = "the sequence is out of range"
    OLD_SEQUENCE = "a later sequence was published under this token"


def publication_version(token: VersionMark, sequence: int) -> VersionMark:
    """Return the topic version of a publication; see ``SEQUENCE_BITS``."""
    return VersionMark(epoch=token.epoch, counter=(token.counter << SEQUENCE_BITS) | sequence)


@attrs.define
class Publications:
    """Validates publications and stores their bodies."""

    store: TopicStore
    roles: RoleTable

    def publish(self, request: PublishRequest, now: float) -> PublishRejection | None:
        """Store a publication and return None, or return why it is rejected.

        A repeat of the stored one is accepted without effect, so that owners can retry.
        """
        rejection = self._check(request, now)
        if rejection is not None:
            return rejection
        version = publication_version(request.token, request.sequence)
        current = self.store.version(request.topic)
        if version_key(version) < version_key(current):
            return PublishRejection.OLD_SEQUENCE
        self.store.offer(request.topic, version, request.body)
        return None

    def _check(self, request: PublishRequest, now: float) -> PublishRejection | None:
        if PUBLISHERS.get(request.topic) != request.role_key:
            return PublishRejection.WRONG_ROLE
        if not self.roles.is_current(request.role_key, request.token, now):
            return PublishRejection.STALE_TOKEN
        in_range = 0 < request.sequence < _SEQUENCE_LIMIT
        if not in_range or request.token.counter >= _TOKEN_COUNTER_LIMIT:
            return PublishRejection.BAD_SEQUENCE
        return None
