"""Publishes the members topic: batched, as deltas, and under a rate limit."""

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
"""Number of previous publications that deltas are made from; other nodes get the full body."""


def members_body(
    leases: LeaseTable, roles: RoleTable, core_addresses: tuple[str, ...] = ()
) -> MembersBody:
    """Return the body of the members topic: live nodes, owners of roles among them, and cores."""
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
    """Decides when the members topic is published, and builds its versions and deltas.

    ``dirty``: a publication is scheduled; it covers all changes until it happens. The version
    counter grows for the lifetime of the process, also across terms.
    """

    dirty: bool = False
    core_addresses: tuple[str, ...] = ()
    _counter: int = 0
    _next_publication_at: float = 0.0
    _published: deque[_Publication] = attrs.field(factory=lambda: deque(maxlen=DELTA_BASES))

    def start(self) -> None:
        """Start a term: deltas of earlier terms are dropped, the first publication is due."""
        self._published.clear()
        self.dirty = True

    @property
    def published(self) -> bool:
        """Whether a complete body has been published in this term."""
        return bool(self._published)

    def delay_s(self, now: float) -> float:
        """Return in how many seconds a change may be published, by batching and rate limit."""
        return max(MEMBERS_BATCH_S, self._next_publication_at - now)

    def publish_provisional(self, store: TopicStore, leases: LeaseTable, roles: RoleTable) -> None:
        """Offer an incomplete body to nodes that have no members body at all.

        A term's first publication waits until every live node has had time to renew its lease:
        otherwise nodes with a body of an earlier term would take the missing nodes for dead. A
        node that has just started has no body; it can't compute its rate limits without the
        number of its peers, so an incomplete list is better than none.
        """
        self._counter += 1
        version = VersionMark(epoch=roles.epoch, counter=self._counter)
        body = members_body(leases, roles, self.core_addresses)
        store.offer_provisional(MEMBERS, version, encode_packed(body))

    def publish(
        self,
        store: TopicStore,
        leases: LeaseTable,
        roles: RoleTable,
        pending_polls: int,
        now: float,
    ) -> bool:
        """Store a new version if any published field has changed; return whether it did.

        The size of the update and the number of pending polls set when the next one may follow.
        """
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
        typical = deltas[-1].body if deltas else full
        delay_s = len(typical) * pending_polls / MEMBERS_BYTES_PER_S
        self._next_publication_at = now + min(delay_s, MEMBERS_MAX_DELAY_S)
        return True


def _delta(base: _Publication, version: VersionMark, body: MembersBody) -> TopicUpdate:
    delta = encode(make_members_delta(base.body, body))
    return TopicUpdate(topic=MEMBERS, version=version, patch_base=base.version, body=delta)
