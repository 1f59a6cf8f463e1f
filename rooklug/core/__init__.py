"""The replicated control state: one of three or more cores with disks.

Owns the configuration, the identities of all changes, and the drained zones: a primary with a
lease replicates a log to the disks in sync, and witnesses elect it (docs/replication.md).

Begin with ``control_state_component.py``, which wires the modules. Then ``witness_rules.py``
(what a witness may promise and accept), ``view_change.py`` (elections), ``primary.py`` and
``replicator.py`` (the primary's side), ``backup.py`` (the other side), ``store.py`` (the log on
disk) and ``changes.py`` (operators' requests).

May import ``engine``, ``model`` and ``wire``; ``build.py`` alone imports ``config``.
"""
