"""The singleton roles beside the core: platform watcher, prober shards, placer.

Owns, in memory only, the platform's list, the verdicts on replicas, the demand of the fronts and
the plan; a new owner of a role gathers them again (docs/controller.md). Every order and publication
carries the role's fencing token.

Begin with ``build.py``; then ``role.py`` (how a role is followed), ``platform_watcher.py``,
``prober.py`` and ``placer.py`` with ``placer_term.py``.

On the users' platform these roles don't run: there the primary core hosts the platform's list and
the region planner of ``rooklug.gateway`` (docs/architecture.md).

May import ``config``, ``engine``, ``model``, ``placement``, ``wire``.
"""
