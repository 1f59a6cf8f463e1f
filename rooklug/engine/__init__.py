"""The interface between a role and its runtime: reducers turn events into effects, without I/O.

The entry point is ``reducer.py``, with ``events.py`` and ``effects.py``; ``component.py`` and
``composite.py`` assemble a role from components. Daemons and the simulator run the same reducers.
May not import any other package of rooklug.
"""
