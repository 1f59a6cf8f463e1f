"""Pass-through serving: forwards clients' HTTP requests unchanged to the replicas of a service.

This package runs on the users' platform: ``platform/adapter`` composes a gateway front and a
gateway core with ``build.py``. ``rooklug.front`` does the same job on rooklug's own deployments,
with its own API (``/v1/generate``, ``/v1/once``), a queue and once-only requests. The two are
separate because the platform passes responses through byte by byte, while rooklug's API checks each
line; what both need (``front.health``, the runtime, the core link) is shared.

Owns, in a front's memory, the front's view (``view.py``) and its traffic record
(``traffic_record.py``); on the primary core, the list of replicas (``listing.py``) and the region
plan (``region_planner.py``). The formats of clients, operators and the platform are passed in as a
``ClientProtocol`` and an ``OperatorProtocol`` (``protocols.py``).

The entry point is ``executor.py``; continue with ``decision.py``, ``request_forwarder.py`` and
``response_handler.py``.

May import every package below ``api`` (docs/architecture.md).
"""
