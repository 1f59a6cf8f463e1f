"""A mark in the data folder: the first start of the group, and the cores that it started with.

The platform states only once that a start is the first one. The mark keeps that statement for the
processes that follow if the first one is killed before it has stored anything else, so it is
written as early as possible. This module imports nothing that takes long to load.
"""

import os
from collections.abc import Sequence

MARK_FILE = "first-start"
_END = "end"


def record_first_start(folder: str, founders: Sequence[str]) -> None:
    """Write the mark and sync it, unless the folder holds any file already.

    Raises
    ------
    OSError
        The mark may be missing or incomplete; an incomplete one counts as missing.
    """
    os.makedirs(folder, exist_ok=True)
    if os.listdir(folder):
        return
    descriptor = os.open(os.path.join(folder, MARK_FILE), os.O_WRONLY | os.O_CREAT, 0o600)
    try:
        os.write(descriptor, "\n".join([*founders, _END, ""]).encode())
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    _sync_folder(folder)


def recorded_founders(folder: str) -> tuple[str, ...]:
    """Return the founders that the mark names, () if there is no complete mark."""
    try:
        with open(os.path.join(folder, MARK_FILE), encoding="utf-8") as mark:
            lines = mark.read().splitlines()
    except (OSError, ValueError):
        return ()
    return tuple(lines[:-1]) if lines and lines[-1] == _END else ()


def _sync_folder(folder: str) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
