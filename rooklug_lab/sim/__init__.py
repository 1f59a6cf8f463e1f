"""The simulator behind ``rooklug-lab sim``: the daemons' own reducers run in virtual time.

It owns virtual time, the simulated network, disks and processes, and the scenarios. The entry
point is ``runner.run_scenario``. May import the daemons, ``rooklug_lab.standins`` and
``rooklug_lab.oracles``.
"""
