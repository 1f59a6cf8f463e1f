"""Comparison of version versions and fencing tokens."""

from rooklug.wire.generated.control.ttypes import VersionMark

ZERO_VERSION = VersionMark(epoch=0, counter=0)


def version_key(version: VersionMark) -> tuple[int, int]:
    """Return the sort key of a version: epoch first, then counter."""
    return (version.epoch, version.counter)


def is_newer(candidate: VersionMark, held: VersionMark) -> bool:
    """Tell whether ``candidate`` may replace ``held``."""
    return version_key(candidate) > version_key(held)
