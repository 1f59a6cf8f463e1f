"""When and how the members topic is published: in batches, as deltas, under a rate limit."""

from collections import deque

import attrs

from rooklug.distribution.members_delta import make_members_delta, owner_fields, published_fields
from rooklug.membership.leases import LeaseTable
from rooklug.membership.roles import RoleTable
from rooklug.membership.timing import (
    MEMBERS_BATCH_S,
    MEMBERS_BYTES_PER_S,
    MEMBERS_MAX_DELAY_S,
)
from rooklug.membership.topic_store import TopicStore
from rooklug.model.topics import MEMBERS
from rooklug.wire.codec import encode
from rooklug.wire.generated.control.ttypes import (
    MembersBody,
    RoleOwner,
    TopicUpdate,
    VersionMark,
)
from rooklug.wire.packing import encode_packed

DELTA_BASES = 4
"""Nodes that have one of this number of previous publications get a delta."""


def members_body(
    leases: LeaseTable, roles: RoleTable, core_addresses: tuple[str, ...] = ()
) -> MembersBody:
    """Return the live nodes, the roles that are granted to them, and where the cores are."""
    nodes = leases.live()
    addresses = {node.node_id: node.internal_address for node in nodes}
    owners = [
        RoleOwner(
            role_key=state.key,
            node_id=state.owner.node_id,
            internal_address=addresses[state.owner.node_id],
            token=state.token,
        )
        for state in roles.states()
        if state.owner is not None and state.owner.node_id in addresses
    ]
    cores = list(core_addresses) or None
    return MembersBody(nodes=nodes, role_owners=owners, core_addresses=cores)


@attrs.frozen
class _Publication:
    version: VersionMark
    body: MembersBody
    fields: tuple


def _fields(body: MembersBody) -> tuple:
    nodes = tuple(published_fields(node) for node in body.nodes)
    owners = tuple(owner_fields(owner) for owner in body.role_owners)
    return (nodes, owners, tuple(body.core_addresses or ()))


@attrs.define
class MembersTopic:
    """Decides about publications of the members topic. The counter only grows in a process.

    ``dirty``: a publication is due, and will look at everything that has changed by then.
    """

    dirty: bool = False
    core_addresses: tuple[str, ...] = ()
    _counter: int = 0
    _next_at: float = 0.0
    _published: deque[_Publication] = attrs.field(factory=lambda: deque(maxlen=DELTA_BASES))

    def start(self) -> None:
        """Begin a term with nothing published."""
        self._published.clear()
        self.dirty = True

    @property
    def published(self) -> bool:
        """Whether anything has been published in this term."""
        return bool(self._published)

    def delay(self, now: float) -> float:
        """Return how long a change waits for others to go out with it, in seconds."""
        return max(MEMBERS_BATCH_S, self._next_at - now)

    def publish_early(self, store: TopicStore, leases: LeaseTable, roles: RoleTable) -> None:
        """Publish an incomplete list for nodes that know no member at all.

        A term's first publication waits until every live node has had time to announce itself:
        nodes that have an earlier list must not take the others for dead. Nodes that have just
        started have none, and without their peers they don't know their rate limits.
        """
        self._counter += 1
        version = VersionMark(epoch=roles.epoch, counter=self._counter)
        body = members_body(leases, roles, self.core_addresses)
        store.offer_early(MEMBERS, version, encode_packed(body))

    def publish(
        self, store: TopicStore, leases: LeaseTable, roles: RoleTable, polls: int, now: float
    ) -> bool:
        """Put the members into the store if anything that matters has changed."""
        self.dirty = False
        body = members_body(leases, roles, self.core_addresses)
        fields = _fields(body)
        if self._published and self._published[-1].fields == fields:
            return False
        self._counter += 1
        version = VersionMark(epoch=roles.epoch, counter=self._counter)
        full = encode_packed(body)
        deltas = tuple(_delta(base, version, body) for base in self._published)
        store.offer(MEMBERS, version, full, deltas)
        self._published.append(_Publication(version, body, fields))
        usual = deltas[-1].body if deltas else full
        delay_s = len(usual) * polls / MEMBERS_BYTES_PER_S
        self._next_at = now + min(delay_s, MEMBERS_MAX_DELAY_S)
        return True


def _delta(base: _Publication, version: VersionMark, body: MembersBody) -> TopicUpdate:
    delta = encode(make_members_delta(base.body, body))
    return TopicUpdate(topic=MEMBERS, version=version, patch_base=base.version, body=delta)
