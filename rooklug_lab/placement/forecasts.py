"""What a wrong forecast costs, both ways, for several forecasts of the same days.

``python -m rooklug_lab.placement.forecasts --deployment quiz --seeds 5``. Fronts count whole
requests in windows of ten seconds, so what is measured scatters around the true rate. A
forecast made after one window sizes each key's replicas for the next one. The controller's
own pace is ``--window-s 1 --review-s 5 --load-s 3``: samples each second, a solve at each
review or when a key's forecast has stepped up, replicas that serve some time later. Too few for the
true rate: tokens short. Too many: idle replica-hours. Each change of a count is a load or an
unload. ``cost`` adds them up in replica-hours, at ``SHORT_PRICE`` times the replica time of
the tokens short and ``CHANGE_PRICE_S`` replica-seconds a change.
"""

import argparse
import json
import sys
from collections import deque
from collections.abc import Callable
from math import ceil, exp
from random import Random

import attrs

from rooklug.controller.demand_forecast import DemandForecast as PlacersForecast
from rooklug.controller.demand_forecast import has_stepped_up, round_up_to_grid
from rooklug.placement.forecast import DemandForecast, ForecastSettings
from rooklug.placement.problem import DemandKey
from rooklug_lab.placement.demand import demand_of_day
from rooklug_lab.placement.deployments import DEPLOYMENTS, RESOURCE

USABLE = 0.9
SHORT_PRICE = 10.0
CHANGE_PRICE_S = 30.0
DAY_S = 24 * 3600
REQUEST_TOKENS = 200.0
SURGE_AT_S = 60
SURGE_LIMIT_S = 300

Demand = dict[DemandKey, float]
Forecast = Callable[[list[Demand], int], Demand]
"""Takes the windows measured so far and the newest one's index, returns what to plan for."""


@attrs.frozen
class Pace:
    """Times in seconds; windows must divide a minute, and reviews and loads be whole windows.

    ``review_s``: how often counts follow the forecast, besides at steps up. ``load_s``: how
    much later an additional replica serves.
    """

    window_s: int = 10
    review_s: int = 10
    load_s: int = 0

    def windows_a_day(self) -> int:
        """Return how many windows a day has."""
        return DAY_S // self.window_s


@attrs.frozen
class ForecastFigures:
    """Totals over all days. ``changes``: how often a key's replica count changed."""

    short_share: float
    idle_replica_hours: float
    changes: int
    cost_replica_hours: float


ForecastMaker = Callable[[Pace], Forecast]


def last_value(history: list[Demand], window: int) -> Demand:
    """Forecast the last window again."""
    return history[window]


def last_day(pace: Pace) -> Forecast:
    """Return a forecast of yesterday's next window, at least today's last one."""

    def predict(history: list[Demand], window: int) -> Demand:
        yesterday = history[window + 1 - pace.windows_a_day()]
        return {key: max(load, history[window][key]) for key, load in yesterday.items()}

    return predict


class _Trend:
    """Two averages of different speed; their difference is the trend."""

    FAST_S = 15.0
    SLOW_S = 30.0

    def __init__(self, trend_s: float, window_s: float) -> None:
        self._trend_s = trend_s
        self._window_s = window_s
        self._fast: Demand = {}
        self._slow: Demand = {}

    def ahead(self, measured: Demand) -> Demand:
        """Take one window and return the averages carried on by the trend."""
        found = {}
        for key, load in measured.items():
            fast = self._average(self._fast, key, load, self.FAST_S)
            slow = self._average(self._slow, key, load, self.SLOW_S)
            found[key] = fast + max(0.0, fast - slow) / self.FAST_S * self._trend_s
        return found

    def _average(self, held: Demand, key: DemandKey, load: float, time_constant_s: float) -> float:
        before = held.get(key, load)
        held[key] = before + (load - before) * (1.0 - exp(-self._window_s / time_constant_s))
        return held[key]


def decaying(decay_s: float, trend_s: float = 0.0, smoothing_s: float = 15.0) -> ForecastMaker:
    """Return a maker of decayed maxima, carried on by the recent trend for ``trend_s``."""

    def make(pace: Pace) -> Forecast:
        forecast = DemandForecast(ForecastSettings(smoothing_s, decay_s))
        trend = _Trend(trend_s, pace.window_s)

        def predict(history: list[Demand], window: int) -> Demand:
            forecast.observe(history[window], float(window * pace.window_s))
            planned = forecast.predict()
            if not trend_s:
                return planned
            ahead = trend.ahead(history[window])
            return {key: max(load, ahead.get(key, 0.0)) for key, load in planned.items()}

        return predict

    return make


def on_the_placers_grid(make: ForecastMaker) -> ForecastMaker:
    """Return a maker of the same forecasts, rounded up as the controller's are."""

    def make_rounded(pace: Pace) -> Forecast:
        exact = make(pace)

        def predict(history: list[Demand], window: int) -> Demand:
            return {key: round_up_to_grid(load) for key, load in exact(history, window).items()}

        return predict

    return make_rounded


def placers_forecast(pace: Pace) -> Forecast:
    """Return the controller's forecast: level and trend (Holt), held, rounded up on a grid."""
    forecast = PlacersForecast()

    def predict(history: list[Demand], window: int) -> Demand:
        forecast.sample(history[window], float(window * pace.window_s))
        return forecast.planned()

    return predict


FORECASTS: dict[str, ForecastMaker] = {
    "last window": lambda _pace: last_value,
    "last day": last_day,
    "average": decaying(1.0),
    "average + trend": decaying(1.0, 30.0),
    "decayed maximum 1 min": decaying(60.0),
    "decayed maximum 2 min": decaying(120.0),
    "decayed maximum 1 min, grid": on_the_placers_grid(decaying(60.0)),
    "decayed maximum 2 min, grid": on_the_placers_grid(decaying(120.0)),
    "decayed maximum 2 min of 4 s, grid": on_the_placers_grid(decaying(120.0, 0.0, 4.0)),
    "decayed maximum 2 min + trend": decaying(120.0, 30.0),
    "decayed maximum 5 min": decaying(300.0),
    "decayed maximum 10 min": decaying(600.0),
    "decayed maximum 60 min": decaying(3600.0),
    "placer's (level, trend, held)": placers_forecast,
}


def windows_of(
    minutes: list[Demand], seed: int, window_s: int
) -> tuple[list[Demand], list[Demand]]:
    """Return the true rates and the measured ones (tokens/s) by window."""
    random = Random(f"windows/{seed}")
    true, measured = [], []
    for minute in minutes:
        for _ in range(60 // window_s):
            true.append(minute)
            measured.append({key: _counted(load, window_s, random) for key, load in minute.items()})
    return true, measured


def _counted(load: float, window_s: int, random: Random) -> float:
    """Return the rate that a window of whole requests shows (Poisson, normal approximation)."""
    expected = load * window_s / REQUEST_TOKENS
    count = max(0.0, random.gauss(expected, expected**0.5))
    return round(count) * REQUEST_TOKENS / window_s


class _Sizing:
    """The replica counts that a forecast leads to, reviewed at the controller's pace."""

    def __init__(self, name: str, pace: Pace) -> None:
        self._models = DEPLOYMENTS[name].models
        self._pace = pace
        self._solved_for: Demand = {}
        self._reviewed = -DAY_S
        self._decided: dict[DemandKey, deque[int]] = {}
        self.changes = 0

    def rate(self, key: DemandKey) -> float:
        """Return what one replica does (tokens/s)."""
        return self._models[key.model].resources[RESOURCE].tokens_per_s

    def count(self, key: DemandKey, load: float) -> int:
        """Return how many replicas carry ``load``."""
        return max(1, ceil(load / (USABLE * self.rate(key))))

    def take(self, planned: Demand, now: int) -> None:
        """Take a forecast; it counts at a review or when it steps up."""
        total = sum(planned.values())
        stepped = any(
            has_stepped_up(load, self._solved_for.get(key, 0.0), total)
            for key, load in planned.items()
        )
        if stepped or now - self._reviewed >= self._pace.review_s:
            self._solved_for, self._reviewed = planned, now

    def serving(self, key: DemandKey) -> int:
        """Return how many replicas serve ``key`` in the next window; call it once a window."""
        count = self.count(key, self._solved_for.get(key, 0.0))
        decided = self._decided.get(key)
        if decided is None:
            waits = self._pace.load_s // self._pace.window_s
            decided = self._decided[key] = deque([count], maxlen=1 + waits)
        self.changes += decided[-1] != count
        decided.append(count)
        return min(decided)


def measure(name: str, seeds: range, make: ForecastMaker, pace: Pace) -> ForecastFigures:
    """Run one forecast over the second day of each seed."""
    short = total = idle = cost = 0.0
    changes = 0
    hours = pace.window_s / 3600.0
    day = pace.windows_a_day()
    for seed in seeds:
        true, measured = windows_of(demand_of_day(name, seed, days=2), seed, pace.window_s)
        predict = make(pace)
        sizing = _Sizing(name, pace)
        for window in range(day - 1, 2 * day - 1):
            sizing.take(predict(measured, window), window * pace.window_s)
            for key, load in true[window + 1].items():
                rate, count = sizing.rate(key), sizing.serving(key)
                missing = max(0.0, load - count * rate)
                short += missing
                total += load
                idle += max(0, count - sizing.count(key, load)) * hours
                cost += SHORT_PRICE * missing / rate * hours
        changes += sizing.changes
    cost += idle + changes * CHANGE_PRICE_S / 3600.0
    return ForecastFigures(round(short / total, 6), round(idle, 1), changes, round(cost, 1))


def seconds_to_cover(make: ForecastMaker, factor: float) -> int | None:
    """Return how long after a step of demand by ``factor`` it is planned for whole.

    Samples each second without scatter; None: not within ``SURGE_LIMIT_S``.
    """
    predict = make(Pace(window_s=1))
    key = DemandKey("model", "only", "region")
    history: list[Demand] = [{key: 100.0}] * SURGE_AT_S
    for second in range(SURGE_AT_S):
        predict(history, second)
    for second in range(SURGE_AT_S, SURGE_AT_S + SURGE_LIMIT_S):
        history.append({key: 100.0 * factor})
        if predict(history, second)[key] >= 99.0 * factor:
            return second - SURGE_AT_S + 1
    return None


def main(arguments: list[str] | None = None) -> int:
    """Compare the forecasts and print their figures as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), required=True)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--only", nargs="*", choices=sorted(FORECASTS), default=list(FORECASTS))
    parser.add_argument("--window-s", type=int, default=10)
    parser.add_argument("--review-s", type=int, default=10)
    parser.add_argument("--load-s", type=int, default=0)
    parser.add_argument("--surge", type=float, help="instead: seconds to cover a step by a factor")
    options = parser.parse_args(arguments)
    pace = Pace(options.window_s, options.review_s, options.load_s)
    for name in options.only:
        if options.surge is not None:
            covered = seconds_to_cover(FORECASTS[name], options.surge)
            print(json.dumps({"forecast": name, "seconds_to_cover": covered}))
            continue
        figures = measure(options.deployment, range(options.seeds), FORECASTS[name], pace)
        print(json.dumps({"forecast": name, **attrs.asdict(figures)}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
