"""Small statistics for figures: percentiles, and the slope of a cost."""

import math

import attrs


def percentile(values: list[float], share: float) -> float:
    """Return the smallest value that ``share`` of all values don't exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


@attrs.frozen
class Spread:
    """Median, 99th percentile and largest of some durations, in seconds."""

    p50_s: float
    p99_s: float
    max_s: float


def spread(values: list[float]) -> Spread | None:
    """Return the spread of durations, None without any."""
    if not values:
        return None
    figures = (percentile(values, 0.5), percentile(values, 0.99), max(values))
    return Spread(*(round(value, 3) for value in figures))


@attrs.frozen
class Line:
    """``base`` at size 0 and ``slope`` for each unit of size."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through (size, cost) points of at least two sizes."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance
    return Line(mean_y - slope * mean_x, slope)
