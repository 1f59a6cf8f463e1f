"""The replicated control state, kept by a group of three or more cores with their own disks.

Owns the configuration, the identity of every accepted change, and the set of drained zones. A
primary that holds a lease replicates a log to the in-sync disks; the cores' witnesses elect the
primary (see docs/replication.md).

Entry point: ``control_state_component.py``, which wires the modules. Read next:
``witness_rules.py`` (what a witness may promise and accept), ``view_change.py`` (elections),
``primary.py`` and ``replicator.py`` (the primary's side of replication), ``backup.py`` (the
backup's side), ``store.py`` (the log on disk) and ``changes.py`` (operators' requests).

May import ``engine``, ``model`` and ``wire``; only ``build.py`` imports ``config``.
"""
