"""Cluster membership and singleton role ownership on the core.

Owns the node leases, the role grants with their fencing tokens, the newest body of each topic
and the stream of decisions. All of this state is in memory and is rebuilt from the nodes' own
requests after a failover (docs/membership.md). The node's side is ``rooklug.distribution``.

The entry point is ``membership_component.py``. Read ``leases.py``, ``roles.py`` with
``role_planning.py``, and ``topic_store.py`` with ``long_poll_registry.py`` next.

May import ``distribution`` (the deltas that both sides share), ``engine``, ``model``, ``wire``.
"""
