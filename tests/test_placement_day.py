"""The queueing model of the simulated day, and the first 20 minutes of a day."""

import unittest

from rooklug_lab.placement.day import run_day
from rooklug_lab.placement.queueing import (
    PREFILL_S,
    QUEUE_WAIT_S,
    FirstTokenTimes,
    Station,
    Wait,
    wait_of,
)


class QueueTest(unittest.TestCase):
    def test_the_wait_probability_of_one_server_is_its_utilisation(self) -> None:
        self.assertAlmostEqual(wait_of(Station(1, 100.0, 1, 60.0)).chance, 0.6)

    def test_two_servers_at_half_load_wait_with_probability_one_third(self) -> None:
        self.assertAlmostEqual(wait_of(Station(2, 100.0, 1, 100.0)).chance, 1.0 / 3.0)

    def test_a_saturated_station_waits_for_the_whole_limit(self) -> None:
        times = FirstTokenTimes()
        times.add(wait_of(Station(1, 100.0, 8, 100.0)), 0.0, 1.0)
        self.assertAlmostEqual(times.quantile(0.95), PREFILL_S + QUEUE_WAIT_S, places=1)

    def test_quantiles_are_weighted(self) -> None:
        times = FirstTokenTimes()
        times.add(Wait(0.0, 1.0), 0.0, 90.0)
        times.add(Wait(0.0, 1.0), 0.5, 10.0)
        self.assertAlmostEqual(times.quantile(0.5), PREFILL_S, places=1)
        self.assertAlmostEqual(times.quantile(0.95), PREFILL_S + 0.5, places=1)


class DayTest(unittest.TestCase):
    def test_every_strategy_serves_within_home_regions(self) -> None:
        for figures in run_day("payroll", 0, minutes=20):
            with self.subTest(strategy=figures.strategy):
                self.assertEqual(figures.out_of_home_requests, 0.0)
                self.assertGreater(figures.goodput_share, 0.9)
                self.assertGreater(figures.replica_hours, 0.0)
