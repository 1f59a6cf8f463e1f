"""The operators' HTTP API of rooklug's own fronts: ``/v1/config``, ``/v1/zones``, ``/v1/status``.

Owns the operators' requests in flight at a front. Begin with ``build.py``, then ``forwarding.py``.

May import every package below ``gateway`` (docs/architecture.md).
"""
