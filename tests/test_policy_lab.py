"""Simulated deployments: determinism, scoring, fault scenarios, settings and the command."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

import attrs

from rooklug.gateway import serving_fronts
from rooklug_lab.cli import main
from rooklug_lab.policy.arrivals import ClientRequest
from rooklug_lab.policy.credit import Outcome, Usage, judge
from rooklug_lab.policy.experiment import difference
from rooklug_lab.policy.faults import DAYS
from rooklug_lab.policy.mechanisms import MECHANISMS
from rooklug_lab.policy.settings import SettingError, read_setting
from rooklug_lab.policy.shapes import PolicySite, read_site, site_names
from rooklug_lab.policy.world import PolicyWorld

SHORT_S = 8.0


def short_site(name: str = "three-regions", length_s: float = SHORT_S) -> PolicySite:
    return attrs.evolve(read_site(name), length_s=length_s)


def outcome(first_s: float, kind: str = "draft", **fields) -> Outcome:
    site = read_site("three-regions")
    found = next(k for k in site.kinds if k.name == kind)
    request = ClientRequest(1, 10.0, found, site.zones[0], (), 2368, 4, 0.0, 1.0)
    return Outcome(request, first_at=10.0 + first_s, complete=True, **fields)


class Worlds(unittest.TestCase):
    def test_a_seed_repeats_to_the_byte(self):
        first, second = (PolicyWorld(short_site(), "replicas_crash", 5) for _ in range(2))
        self.assertEqual(repr(first.run()), repr(second.run()))
        self.assertEqual(repr(first.usage), repr(second.usage))

    def test_every_site_serves_nearly_everything_on_a_calm_day(self):
        for name in site_names():
            with self.subTest(site=name):
                world = PolicyWorld(short_site(name), "calm", 1)
                world.run()
                served = sum(o.complete for o in world.outcomes)
                self.assertGreater(served, 0.97 * len(world.outcomes))

    def test_every_day_can_be_played(self):
        for day in DAYS:
            with self.subTest(day=day):
                world = PolicyWorld(short_site(length_s=24.0), day, 2, load=0.2)
                verdict = world.run()
                self.assertGreater(verdict.whole_day, 0.3)

    def test_cold_replicas_keep_within_their_bound(self):
        site = short_site(length_s=20.0)
        bound = 8.8 * site.cold_overshoot + site.cold_slack
        for day in ("region_is_lost", "zone_returns_cold"):
            world = PolicyWorld(site, day, 3)
            world.run()
            self.assertLessEqual(world.usage.worst_cold_second, bound)


class Credit(unittest.TestCase):
    def test_in_time_earns_everything_and_late_earns_its_share(self):
        self.assertEqual(outcome(0.9).earned, 3.0)
        self.assertAlmostEqual(outcome(1.1).earned, 0.9)

    def test_a_long_pause_makes_a_stream_late(self):
        self.assertAlmostEqual(outcome(0.1, longest_gap_s=0.7).earned, 0.9)

    def test_a_fast_refusal_and_a_good_second_try_earn_the_mean(self):
        refused = outcome(1.5, refusals=1, refused_fast=True, attempt_at=11.0)
        self.assertAlmostEqual(refused.earned, (3.0 + 0.9) / 2)

    def test_what_is_not_complete_earns_nothing(self):
        lost = outcome(0.1)
        lost.complete = False
        self.assertEqual(lost.earned, 0.0)

    def test_parts_and_prices_add_up_to_the_total(self):
        site = read_site("three-regions")
        found = [outcome(0.1), outcome(2.0), outcome(0.1, "receipt")]
        verdict = judge(site, found, Usage(tokens_again=1000, connections=2))
        goal = site.goal
        parts = goal.whole_day * verdict.whole_day + goal.worst_windows * verdict.worst_windows
        parts += goal.worst_kind * verdict.worst_kind
        self.assertAlmostEqual(verdict.total, parts - sum(verdict.prices.values()))


class Experiments(unittest.TestCase):
    def test_a_setting_replaces_a_constant(self):
        kept = serving_fronts.SERVING_SHARE
        setting = read_setting("serving_fronts.SERVING_SHARE=0.5")
        try:
            setting.apply()
            self.assertEqual(serving_fronts.SERVING_SHARE, 0.5)
        finally:
            serving_fronts.SERVING_SHARE = kept

    def test_bad_settings_are_refused(self):
        for text in ("nothing", "serving_fronts.NOBODY=1", "nowhere.X=1", "serving_fronts.X"):
            with self.subTest(text=text), self.assertRaises(SettingError):
                read_setting(text)

    def test_a_difference_within_two_errors_is_noise(self):
        self.assertEqual(difference([0.01, -0.01, 0.02]).verdict, "noise")
        self.assertEqual(difference([0.02, 0.021, 0.022]).verdict, "better")
        self.assertEqual(difference([-0.02, -0.021]).verdict, "worse")

    def test_an_unknown_day_or_setting_ends_with_2(self):
        for words in (["--day", "doomsday"], ["--set", "nowhere.X=1"]):
            with contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(main(["policy", "run", *words]), 2)

    def test_every_mechanism_can_be_switched_off(self):
        for mechanism in MECHANISMS.values():
            with self.subTest(mechanism=mechanism.name):
                self.assertTrue(mechanism.settings)

    def test_compare_without_a_mechanism_says_whether_it_is_noise(self):
        words = ["--without", "peer-exchange", "--seeds", "1-2", "--load", "0.1"]
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            self.assertEqual(main(["policy", "compare", *words]), 0)
        self.assertRegex(printed.getvalue(), r"2 pairs: (noise|better|worse)")
        with contextlib.redirect_stderr(io.StringIO()):
            self.assertEqual(main(["policy", "compare", "--without", "nothing"]), 2)

    def test_show_prints_tables_and_a_picture(self):
        with tempfile.TemporaryDirectory() as folder:
            picture = Path(folder, "run.png")
            words = ["--load", "0.1", "--plot", str(picture)]
            with contextlib.redirect_stdout(io.StringIO()) as printed:
                self.assertEqual(main(["policy", "show", *words]), 0)
            self.assertGreater(picture.stat().st_size, 1000)
        for heading in ("reading ms", "north", "from 10 s"):
            self.assertIn(heading, printed.getvalue())

    def test_run_prints_one_object_a_run(self):
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            code = main(["policy", "run", "--seeds", "1-1", "--load", "0.1", "--json"])
        self.assertEqual(code, 0)
        self.assertIn("whole_day", json.loads(printed.getvalue().splitlines()[0]))
