"""Plans which replicas load which model, and to which regions each region's traffic goes.

The package owns the planner and the move executor. One solve gives replica counts, the models of
each slot and the routing matrix; the move executor then brings the fleet to that plan in small
safe steps (docs/placement.md). Everything is pure functions and in-memory state, without I/O.

The entry points are ``planner.py`` (from a ``PlacementProblem`` in ``problem.py`` to a
``PlacementPlan``) and ``moves.py`` (the executor). The integer program is in ``program.py``. The
JSON documents of ``explain.py``, ``whatif.py`` and ``documents.py`` take their keys from the field
names of the classes there, so renaming these fields would change the documents.

May import ``config``.
"""
