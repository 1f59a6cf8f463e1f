"""Publications of role owners: who may publish which topic, and under which version."""

from enum import Enum

import attrs

from rooklug.membership.roles import RoleTable
from rooklug.membership.topic_store import TopicStore
from rooklug.model.topics import PUBLISHERS
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import PublishRequest, VersionMark

SEQUENCE_BITS = 32
"""A publication's version is (token epoch, token counter << 32 | sequence).

It is the same at every primary, so a body that is announced again after a failover wakes
no node that has it, and a late older one never passes for a newer one.
"""

_SEQUENCE_LIMIT = 1 << SEQUENCE_BITS
_TOKEN_COUNTER_LIMIT = 1 << 30


class PublishRefusal(Enum):
    """Why a publication is rejected; the value goes into the answer."""

    NOT_PRIMARY = "this core is not the primary"
    WRONG_ROLE = "this role does not publish this topic"
    STALE_TOKEN = "the token is not the current grant's"
    BAD_SEQUENCE = "the sequence is out of range"
    OLD_SEQUENCE = "a later sequence was published under this token"


def publication_version(token: VersionMark, sequence: int) -> VersionMark:
    """Return the version of a publication."""
    return VersionMark(epoch=token.epoch, counter=(token.counter << SEQUENCE_BITS) | sequence)


@attrs.define
class Publications:
    """Checks publications and puts them into the store."""

    store: TopicStore
    roles: RoleTable

    def publish(self, request: PublishRequest, now: float) -> PublishRefusal | None:
        """Take a publication, or say why not. A repeat is taken again without effect."""
        refusal = self._check(request, now)
        if refusal is not None:
            return refusal
        version = publication_version(request.token, request.sequence)
        current = self.store.version(request.topic)
        if version_key(version) < version_key(current):
            return PublishRefusal.OLD_SEQUENCE
        self.store.offer(request.topic, version, request.body)
        return None

    def _check(self, request: PublishRequest, now: float) -> PublishRefusal | None:
        if PUBLISHERS.get(request.topic) != request.role_key:
            return PublishRefusal.WRONG_ROLE
        if not self.roles.current(request.role_key, request.token, now):
            return PublishRefusal.STALE_TOKEN
        in_range = 0 < request.sequence < _SEQUENCE_LIMIT
        if not in_range or request.token.counter >= _TOKEN_COUNTER_LIMIT:
            return PublishRefusal.BAD_SEQUENCE
        return None
