"""Once-only requests: each key is written to a back end at most once, whatever fails.

A front first claims the key at the owner of the key's claim shard. The owner is a front too; it
grants the claim once a majority of the claim stores, which run in the cores, has recorded it. Only
then does the requesting front write to a back end. It keeps the result for repeats of the key
and replicates it to another front.

The package owns attempts and their outcomes at a front, the claim tables of shard owners, and
the claim files of the stores. ``build.py`` composes a front's components,
``claim_store.build_claim_store_components`` a core's. To follow a request, read
``once_only_component.py``, ``claim_requester.py`` and ``shard_owner.py`` (docs/once-only.md).

May import what ``rooklug.front`` may import, and ``rooklug.front`` itself.
"""
