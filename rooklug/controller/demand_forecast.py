"""Short-term demand forecast, so that model loads start before the demand arrives.

Uses Holt's linear method (a smoothed level and trend) on one sample per second. The planned demand
is a peak that decays slowly, so that a short lull, a lost report or a disconnected front does not
cause unloads at once.
"""

import math

import attrs

from rooklug.placement.problem import DemandKey

HORIZON_S = 10.0
"""How far the trend is extrapolated."""
LEVEL_TIME_CONSTANT_S = 4.0
TREND_TIME_CONSTANT_S = 12.0
DECAY_HALF_LIFE_S = 60.0
MAX_GROWTH = 2.0
"""Upper bound of an extrapolated level, as a multiple of the current level."""
STEP_RATIO = 1.3
"""A step exceeds the demand of the last solve by this factor and by both amounts below."""
STEP_TOKENS_PER_S = 50.0
STEP_SHARE_OF_TOTAL = 0.002
"""Minimum step as a share of the planned demand of all keys."""
GRID_RATIO = 1.15
"""Ratio between neighbouring values of planned demand."""
NEGLIGIBLE_TOKENS_PER_S = 0.5


@attrs.define
class Forecast:
    """The forecast of one demand key.

    ``level`` is the smoothed demand in tokens/s, ``trend`` its slope in tokens/s per second, and
    ``peak`` the decaying maximum of the expected demand in tokens/s.
    """

    level: float
    trend: float = 0.0
    peak: float = 0.0

    def sample(self, value: float, elapsed_s: float) -> None:
        """Add a sample of ``value`` tokens/s, measured ``elapsed_s`` after the previous one."""
        before = self.level
        weight = 1.0 - math.exp(-elapsed_s / LEVEL_TIME_CONSTANT_S)
        self.level += weight * (value - self.level)
        slope = (self.level - before) / elapsed_s
        self.trend += (1.0 - math.exp(-elapsed_s / TREND_TIME_CONSTANT_S)) * (slope - self.trend)
        decayed = self.peak * 0.5 ** (elapsed_s / DECAY_HALF_LIFE_S)
        self.peak = max(decayed, self._expected_level())

    def _expected_level(self) -> float:
        ahead = self.level + max(0.0, self.trend) * HORIZON_S
        return min(self.level * MAX_GROWTH, ahead)


@attrs.define
class DemandForecast:
    """The forecasts of all demand keys; keys whose peak has become negligible are dropped."""

    _by_key: dict[DemandKey, Forecast] = attrs.field(factory=dict)
    _sampled_at: float | None = None

    def sample(self, totals: dict[DemandKey, float], now: float) -> None:
        """Update all forecasts with the tokens/s measured at ``now``; a missing key counts as 0."""
        elapsed = now - self._sampled_at if self._sampled_at is not None else 0.0
        if self._sampled_at is not None and elapsed <= 0.0:
            return
        self._sampled_at = now
        for key in sorted(totals.keys() | self._by_key.keys(), key=_sort_key):
            value = totals.get(key, 0.0)
            forecast = self._by_key.get(key)
            if forecast is None:
                self._by_key[key] = Forecast(level=value, peak=value)
            else:
                forecast.sample(value, elapsed)
        self._by_key = {k: f for k, f in self._by_key.items() if f.peak > NEGLIGIBLE_TOKENS_PER_S}

    def planned(self) -> dict[DemandKey, float]:
        """Return the tokens/s to plan for by key.

        Values are rounded up to a coarse grid, so that small fluctuations don't change the plan.
        """
        return {key: round_up_to_grid(forecast.peak) for key, forecast in self._by_key.items()}


def has_stepped_up(planned: float, solved_for: float, total: float) -> bool:
    """Return whether a key's demand has risen enough to solve before the next periodic solve.

    ``total`` is the planned demand of all keys, in tokens/s. With hundreds of small keys, some
    key jumps by chance every second; so a rise that is small relative to the total waits for the
    periodic solve.
    """
    least = max(STEP_TOKENS_PER_S, total * STEP_SHARE_OF_TOTAL)
    return planned > solved_for * STEP_RATIO and planned > solved_for + least


def round_up_to_grid(value: float) -> float:
    """Round ``value`` up to the next power of ``GRID_RATIO``; negligible values become 0."""
    if value <= NEGLIGIBLE_TOKENS_PER_S:
        return 0.0
    return GRID_RATIO ** math.ceil(math.log(value, GRID_RATIO))


def _sort_key(key: DemandKey) -> tuple[str, str, str, tuple[str, ...]]:
    return (key.model, key.latency_class, key.source_region, key.home_regions)
