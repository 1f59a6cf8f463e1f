"""Short forecast of demand, so that loads begin before the demand is there.

Holt's linear method on samples a second: a level and a trend. What is planned for also
falls only slowly, so that a lull, a lost report or a cut-off front unloads nothing at once.
"""

import math

import attrs

from rooklug.placement.problem import DemandKey

HORIZON_S = 10.0
LEVEL_TIME_S = 4.0
TREND_TIME_S = 12.0
DECAY_HALF_LIFE_S = 60.0
MAX_GROWTH = 2.0
STEP_SHARE = 1.3
STEP_TOKENS_PER_S = 50.0
STEP_TOTAL_SHARE = 0.002
GRID = 1.15
NEGLIGIBLE = 0.5


@attrs.define
class Forecast:
    """One key's level (tokens/s), trend (tokens/s a second) and slowly falling peak."""

    level: float
    trend: float = 0.0
    peak: float = 0.0

    def sample(self, value: float, elapsed_s: float) -> None:
        """Take the demand measured ``elapsed_s`` after the last sample."""
        before = self.level
        weight = 1.0 - math.exp(-elapsed_s / LEVEL_TIME_S)
        self.level += weight * (value - self.level)
        slope = (self.level - before) / elapsed_s
        self.trend += (1.0 - math.exp(-elapsed_s / TREND_TIME_S)) * (slope - self.trend)
        decayed = self.peak * 0.5 ** (elapsed_s / DECAY_HALF_LIFE_S)
        self.peak = max(decayed, self._expected())

    def _expected(self) -> float:
        ahead = self.level + max(0.0, self.trend) * HORIZON_S
        return min(self.level * MAX_GROWTH, ahead)


@attrs.define
class DemandForecast:
    """Forecasts by key."""

    _by_key: dict[DemandKey, Forecast] = attrs.field(factory=dict)
    _sampled_at: float | None = None

    def sample(self, totals: dict[DemandKey, float], now: float) -> None:
        """Take all totals measured at ``now``."""
        elapsed = now - self._sampled_at if self._sampled_at is not None else 0.0
        if self._sampled_at is not None and elapsed <= 0.0:
            return
        self._sampled_at = now
        for key in sorted(totals.keys() | self._by_key.keys(), key=_order):
            value = totals.get(key, 0.0)
            forecast = self._by_key.get(key)
            if forecast is None:
                self._by_key[key] = Forecast(level=value, peak=value)
            else:
                forecast.sample(value, elapsed)
        self._by_key = {k: f for k, f in self._by_key.items() if f.peak > NEGLIGIBLE}

    def planned(self) -> dict[DemandKey, float]:
        """Return what to plan for, rounded up to a coarse grid so that plans don't flutter."""
        return {key: on_grid(forecast.peak) for key, forecast in self._by_key.items()}


def rose(planned: float, solved_for: float, total: float) -> bool:
    """Return whether demand has stepped up enough to solve at once.

    ``total`` is the planned demand of all keys. A deployment with hundreds of small keys has
    one that jumps by chance in every second; what is small beside the whole waits for the
    next review.
    """
    least = max(STEP_TOKENS_PER_S, total * STEP_TOTAL_SHARE)
    return planned > solved_for * STEP_SHARE and planned > solved_for + least


def on_grid(value: float) -> float:
    """Round up to the next power of ``GRID``; what is negligible to 0."""
    if value <= NEGLIGIBLE:
        return 0.0
    return GRID ** math.ceil(math.log(value, GRID))


def _order(key: DemandKey) -> tuple[str, str, str, tuple[str, ...]]:
    return (key.model, key.latency_class, key.source_region, key.home_regions)
