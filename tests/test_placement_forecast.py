"""The forecasts: decay of peaks, dropped keys, and how soon they cover a surge."""

import unittest

from rooklug.placement.forecast import DemandForecast
from rooklug.placement.problem import DemandKey
from rooklug_lab.placement.forecasts import placers_forecast, seconds_to_cover

KEY = DemandKey("banter", "only", "vestland")


class ForecastTest(unittest.TestCase):
    def setUp(self) -> None:
        self.forecast = DemandForecast()

    def test_a_peak_outlasts_a_dip(self) -> None:
        for second in range(0, 60, 5):
            self.forecast.observe({KEY: 100.0}, second)
        self.forecast.observe({KEY: 10.0}, 65.0)
        self.assertGreater(self.forecast.predict()[KEY], 90.0)

    def test_ended_demand_is_dropped(self) -> None:
        self.forecast.observe({KEY: 100.0}, 0.0)
        for minute in range(1, 60):
            self.forecast.observe({}, minute * 60.0)
        self.assertEqual(self.forecast.predict(), {})

    def test_samples_at_the_same_time_change_nothing(self) -> None:
        self.forecast.observe({KEY: 50.0}, 0.0)
        self.forecast.observe({KEY: 500.0}, 0.0)
        self.assertEqual(self.forecast.predict()[KEY], 50.0)


class SurgeTest(unittest.TestCase):
    def test_the_placer_plans_for_a_surge_within_5_s(self) -> None:
        for factor in (1.6, 2.0, 4.0, 10.0):
            covered = seconds_to_cover(placers_forecast, factor)
            self.assertIsNotNone(covered)
            self.assertLessEqual(covered, 5, factor)
