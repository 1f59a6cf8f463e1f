"""The control plane's singleton roles outside the core: platform watcher, prober shards, placer.

The package owns the platform's replica list, the health verdicts on replicas, the demand reported
by the fronts, and the placement plan. All of it is held in memory only: a node that acquires a
role collects it again (docs/controller.md). Every order and publication carries the fencing token
of its role.

The entry point is ``build.py``. Then read ``role.py`` (how a component follows the grant of its
role), ``platform_watcher.py``, ``prober.py``, and ``placer.py`` with ``placer_term.py``.

These roles don't run on the users' platform: there, the primary core hosts the platform's list and
the region planner of ``rooklug.gateway`` (docs/architecture.md).

May import ``config``, ``engine``, ``model``, ``placement``, ``wire``.
"""
