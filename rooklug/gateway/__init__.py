"""Pass-through serving: clients' HTTP requests go unchanged to the replicas of a service.

This is what runs on the users' platform: ``platform/adapter`` composes a gateway front and a
gateway core by ``build.py``. ``rooklug.front`` has the same job on rooklug's own deployments, with
an API of its own (``/v1/generate``, ``/v1/once``), a queue and once-only requests. They are two
because the platform passes answers through byte by byte, and rooklug's API checks each line; what
both need (``front.health``, the runtime, the core link) is shared.

Owns, in a front's memory, its view (``view.py``) and its traffic record (``traffic_record.py``);
at the primary core the list of replicas (``listing.py``) and the region plan
(``region_planner.py``). Formats of clients, operators and the platform come in as a
``ClientProtocol`` and an ``OperatorProtocol`` (``protocols.py``).

Begin with ``executor.py``, then ``decision.py``, ``request_forwarder.py``, ``response_handler.py``.

May import every package below ``api`` (docs/architecture.md).
"""
