"""The daemon's runtime: executes effects and delivers events, using sockets, disk and clock.

The entry point is ``host.py``, which drives one reducer; ``process.py`` runs a host until it
stops. The simulator (``rooklug_lab.sim``) replaces this package in simulated runs. May import
``engine``, ``model``, ``storage`` and ``wire``.
"""
