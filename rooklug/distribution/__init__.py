"""A node's link to the core: lease, role grants, topics by long poll, publications.

Owns what one front or controller knows of the control plane; all of it is in memory. The core's
side is ``rooklug.membership``; the deltas of topics (``members_delta``, ``document_delta``) are
shared with it.

Begin with ``core_link.py``; then ``lease_renewal.py``, ``polling.py`` with
``subscribed_topics.py``, and ``publishing.py`` with ``publication_outbox.py``.

May import ``engine``, ``model``, ``wire``, and ``config`` for JSON merge patches.
"""
