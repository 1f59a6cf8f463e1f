"""The contract of every role: events in, effects out, without I/O.

Begin with ``reducer.py``, then ``events.py`` and ``effects.py``; ``component.py`` and
``composite.py`` build a role of components. Daemons and the simulator run the same reducers.
May import nothing else of rooklug.
"""
