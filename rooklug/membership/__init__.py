"""Who is in the fleet, and who owns which singleton role: the core's side.

Owns the nodes' leases, the grants of roles under fencing tokens, the newest body of each topic
and the stream of decisions. All of it is in memory and rebuilt after a failover
(docs/membership.md). The node's side is ``rooklug.distribution``.

Begin with ``membership_component.py``; then ``leases.py``, ``roles.py`` with
``role_planning.py``, and ``topic_store.py`` with ``long_poll_registry.py``.

May import ``distribution`` (the deltas that both sides share), ``engine``, ``model``, ``wire``.
"""
