"""Append-only, checksummed record files in a node's data folder.

Begin with ``folder.py`` (identity, lock, appends, atomic rewrites); ``records.py`` is the file
format. Blocking code: ``rooklug.runtime.disk`` calls it from a thread. May import nothing of
rooklug.
"""
