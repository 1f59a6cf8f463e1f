"""A node's link to the core: lease, role grants, topics by long poll, publications.

Owns the control plane state of one front or controller, all of it in memory. The core's side is
``rooklug.membership``; the deltas of topics (``members_delta``, ``document_delta``) are shared
with it.

The entry point is ``core_link.py``. Read ``lease_renewal.py``, ``polling.py`` with
``subscribed_topics.py``, and ``publishing.py`` with ``publication_outbox.py`` next.

May import ``engine``, ``model``, ``wire``, and ``config`` for JSON merge patches.
"""
