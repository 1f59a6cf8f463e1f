"""Demand forecast by demand key: a decaying maximum of the smoothed demand.

A forecast that is too low costs rejected or slow requests until the next solve and load; one that
is too high costs idle replicas; one that changes with every measurement costs model loads.
``python -m rooklug_lab.placement.forecasts`` compares forecasts by these costs. There, adding a
trend or the curve of the previous day cost more than it saved.
"""

from math import exp

import attrs

from rooklug.placement.facts import key_order
from rooklug.placement.problem import DemandKey


@attrs.frozen
class ForecastSettings:
    """Parameters of the forecast.

    ``smoothing_s`` is the time constant of the smoothed demand and ``decay_s`` that of the decay of
    a past peak. A key below ``floor`` (tokens/s) is dropped.
    """

    smoothing_s: float = 15.0
    decay_s: float = 120.0
    floor: float = 0.01


@attrs.define
class _Series:
    at_s: float
    level: float
    peak: float


class DemandForecast:
    """The forecasts of all keys, without I/O: fed by ``observe``, read by ``predict``."""

    def __init__(self, settings: ForecastSettings | None = None) -> None:
        self._settings = settings if settings is not None else ForecastSettings()
        self._series: dict[DemandKey, _Series] = {}

    def observe(self, demand: dict[DemandKey, float], now: float) -> None:
        """Add the demand (tokens/s) measured at ``now``; a missing key counts as 0."""
        for key in sorted({*demand, *self._series}, key=key_order):
            self._observe_key(key, demand.get(key, 0.0), now)

    def _observe_key(self, key: DemandKey, load: float, now: float) -> None:
        series = self._series.get(key)
        if series is None:
            self._series[key] = _Series(now, load, load)
            return
        elapsed = max(0.0, now - series.at_s)
        settings = self._settings
        series.level += (load - series.level) * _share(elapsed, settings.smoothing_s)
        faded = series.level + (series.peak - series.level) * exp(-elapsed / settings.decay_s)
        series.peak = max(series.level, faded)
        series.at_s = now
        if max(series.level, series.peak) < settings.floor and load == 0:
            del self._series[key]

    def predict(self) -> dict[DemandKey, float]:
        """Return the demand (tokens/s) to plan for, by key."""
        return {key: series.peak for key, series in self._series.items()}


def _share(elapsed: float, time_constant: float) -> float:
    return 1.0 - exp(-elapsed / time_constant)
