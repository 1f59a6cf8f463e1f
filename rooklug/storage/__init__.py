"""Append-only, checksummed record files in a node's data folder.

Entry point: ``folder.py`` (identity, lock, appends, atomic rewrites); ``records.py`` defines the
file format. All calls block, so ``rooklug.runtime.disk`` makes them from a thread. May not import
any other package of rooklug.
"""
