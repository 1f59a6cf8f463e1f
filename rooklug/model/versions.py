"""Comparison of versions and fencing tokens, which are both (epoch, counter)."""

from rooklug.wire.generated.control.ttypes import VersionMark

ZERO_VERSION = VersionMark(epoch=0, counter=0)
"""Older than every real version: nothing is there yet."""


def version_key(version: VersionMark) -> tuple[int, int]:
    """Return the sort key of a version: epoch, then counter."""
    return (version.epoch, version.counter)


def is_newer(candidate: VersionMark, current: VersionMark) -> bool:
    """Return whether ``candidate`` may replace ``current``."""
    return version_key(candidate) > version_key(current)
