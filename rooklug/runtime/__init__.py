"""The daemon's runtime: executes effects and delivers events over real sockets, disk and time.

Begin with ``host.py``, which drives one reducer; ``process.py`` runs a host until it stops. The
simulator (``rooklug_lab.sim``) takes this package's place in tests. May import ``engine``,
``model``, ``storage`` and ``wire``.
"""
