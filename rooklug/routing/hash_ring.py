"""A consistent hash ring: every front finds the same owner for a key, in logarithmic time."""

from bisect import bisect_right
from collections.abc import Iterable

import attrs
import xxhash

POINTS_PER_MEMBER = 16
"""Points of each member on the ring; with so many the largest share is about half as large again
as the mean, which only decides where an unknown prompt goes first."""


@attrs.frozen
class HashRing:
    """Members sorted by their points on the ring."""

    _points: tuple[int, ...]
    _members: tuple[str, ...]

    @staticmethod
    def of(members: Iterable[str]) -> "HashRing":
        """Build a ring of these members."""
        points = sorted(
            (xxhash.xxh64_intdigest(f"{member}/{number}".encode()), member)
            for member in members
            for number in range(POINTS_PER_MEMBER)
        )
        return HashRing(tuple(point for point, _ in points), tuple(name for _, name in points))

    def owner(self, key: str) -> str | None:
        """Return the member that owns a key; None on an empty ring."""
        if not self._points:
            return None
        index = bisect_right(self._points, xxhash.xxh64_intdigest(key.encode()))
        return self._members[index % len(self._members)]
