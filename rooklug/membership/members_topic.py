"""When and how the members topic is published: in batches, as deltas, at a bounded pace."""

from collections import deque

import attrs

from rooklug.distribution.members_delta import make_members_delta, owner_facts, visible_facts
from rooklug.membership.leases import LeaseTable
from rooklug.membership.roles import RoleTable
from rooklug.membership.timing import (
    MEMBERS_BATCH_S,
    MEMBERS_BYTES_PER_S,
    MEMBERS_PAUSE_LIMIT_S,
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
"""Nodes that hold one of so many previous publications get a delta."""


def members_body(
    leases: LeaseTable, roles: RoleTable, core_addresses: tuple[str, ...] = ()
) -> MembersBody:
    """Return the live nodes, the roles that are granted to them, and where the cores are."""
    nodes = leases.live()
    addresses = {node.node_id: node.internal_address for node in nodes}
    owners = [
        RoleOwner(
            role_key=state.key,
            node_id=state.holder.node_id,
            internal_address=addresses[state.holder.node_id],
            token=state.token,
        )
        for state in roles.states()
        if state.holder is not None and state.holder.node_id in addresses
    ]
    addresses = list(core_addresses) or None
    return MembersBody(nodes=nodes, role_owners=owners, core_addresses=addresses)


@attrs.frozen
class _Publication:
    version: VersionMark
    body: MembersBody
    facts: tuple


def _facts(body: MembersBody) -> tuple:
    nodes = tuple(visible_facts(node) for node in body.nodes)
    owners = tuple(owner_facts(owner) for owner in body.role_owners)
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
        """Tell those that know no member at all who has announced itself so far.

        A term's first publication waits until every live node has had time to announce itself:
        nodes that hold an earlier list must not take the others for gone. Nodes that have just
        started hold none, and until they know their peers they don't know their shares.
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
        facts = _facts(body)
        if self._published and self._published[-1].facts == facts:
            return False
        self._counter += 1
        version = VersionMark(epoch=roles.epoch, counter=self._counter)
        whole = encode_packed(body)
        deltas = tuple(_delta(base, version, body) for base in self._published)
        store.offer(MEMBERS, version, whole, deltas)
        self._published.append(_Publication(version, body, facts))
        usual = deltas[-1].body if deltas else whole
        pause_s = len(usual) * polls / MEMBERS_BYTES_PER_S
        self._next_at = now + min(pause_s, MEMBERS_PAUSE_LIMIT_S)
        return True


def _delta(base: _Publication, version: VersionMark, body: MembersBody) -> TopicUpdate:
    delta = encode(make_members_delta(base.body, body))
    return TopicUpdate(topic=MEMBERS, version=version, patch_base=base.version, body=delta)
