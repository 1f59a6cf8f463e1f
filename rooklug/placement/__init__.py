"""Which replicas load which model, and where each region's traffic goes.

One solve gives replica counts, slots and the routing matrix; the move executor then brings the
fleet there in small safe steps (docs/placement.md). Pure functions and state, no I/O.

Begin with ``problem.py`` (what is solved) and ``planner.py`` (how); the integer program is
``program.py``, the executor ``moves.py``. The JSON of ``explain.py``, ``whatif.py`` and
``documents.py`` takes its keys from the fields of the classes there: those names stay.

May import ``config``.
"""
