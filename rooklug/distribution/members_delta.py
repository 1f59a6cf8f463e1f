"""Deltas of the members topic: the nodes and role owners that have changed."""

from rooklug.wire.generated.control.ttypes import (
    MembersBody,
    MembersDelta,
    NodeRecord,
    RoleOwner,
)


def published_fields(node: NodeRecord) -> tuple:
    """Return the fields of a record whose change makes a new version of the members topic.

    The configuration version isn't among them: each commit would publish every node again.
    """
    return (
        node.node_id,
        node.incarnation,
        node.role,
        node.zone,
        node.region,
        node.internal_address,
        node.http_address,
        node.ready,
        node.draining,
    )


def owner_fields(owner: RoleOwner) -> tuple:
    """Return the fields of a role owner as a comparable tuple."""
    token = owner.token
    return (owner.role_key, owner.node_id, owner.internal_address, token.epoch, token.counter)


def make_members_delta(old: MembersBody, new: MembersBody) -> MembersDelta:
    """Return the delta from ``old`` to ``new``; it ignores fields beside ``published_fields``."""
    old_nodes = {node.node_id: published_fields(node) for node in old.nodes}
    old_owners = {owner.role_key: owner_fields(owner) for owner in old.role_owners}
    new_ids = {node.node_id for node in new.nodes}
    new_keys = {owner.role_key for owner in new.role_owners}
    return MembersDelta(
        changed_nodes=[n for n in new.nodes if old_nodes.get(n.node_id) != published_fields(n)],
        gone_nodes=sorted(old_nodes.keys() - new_ids),
        changed_owners=[
            owner
            for owner in new.role_owners
            if old_owners.get(owner.role_key) != owner_fields(owner)
        ],
        gone_roles=sorted(old_owners.keys() - new_keys),
        core_addresses=None if old.core_addresses == new.core_addresses else new.core_addresses,
    )


def apply_members_delta(body: MembersBody, delta: MembersDelta) -> MembersBody:
    """Return the newer body, with nodes and owners sorted by key as the primary sends them."""
    nodes = {node.node_id: node for node in body.nodes}
    owners = {owner.role_key: owner for owner in body.role_owners}
    nodes |= {node.node_id: node for node in delta.changed_nodes}
    owners |= {owner.role_key: owner for owner in delta.changed_owners}
    for node_id in delta.gone_nodes:
        nodes.pop(node_id, None)
    for role_key in delta.gone_roles:
        owners.pop(role_key, None)
    return MembersBody(
        nodes=[nodes[node_id] for node_id in sorted(nodes)],
        role_owners=[owners[key] for key in sorted(owners)],
        core_addresses=delta.core_addresses or body.core_addresses,
    )
