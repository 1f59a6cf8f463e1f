"""Comparison of versions and fencing tokens; both are pairs (epoch, counter)."""

from rooklug.wire.generated.control.ttypes import VersionMark

ZERO_VERSION = VersionMark(epoch=0, counter=0)
"""Older than every published version: stands for "nothing received yet"."""


def version_key(version: VersionMark) -> tuple[int, int]:
    """Return the sort key of a version: epoch, then counter."""
    return (version.epoch, version.counter)


def is_newer(candidate: VersionMark, current: VersionMark) -> bool:
    """Return whether ``candidate`` is strictly newer than ``current`` and may replace it."""
    return version_key(candidate) > version_key(current)
