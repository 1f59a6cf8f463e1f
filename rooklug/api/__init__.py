"""The operators' HTTP API of rooklug's own fronts: ``/v1/config``, ``/v1/zones``, ``/v1/status``.

Owns the operators' requests in flight at a front. Entry point: ``build.py``; ``forwarding.py``
sends the requests to the primary core.

May import every package below ``gateway`` (docs/architecture.md).
"""
