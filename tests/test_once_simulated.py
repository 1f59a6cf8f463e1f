"""Once-only requests in virtual time without faults, checked by the oracle of the site."""

import unittest

from tests.once_support import Site

FIRST_START_S = 7.0


class WithoutFaultsTest(unittest.TestCase):
    def test_every_key_runs_once_and_is_done(self) -> None:
        site = Site(1)
        site.calling = False
        site.world.run_for(FIRST_START_S)
        site.calling = True
        site.world.run_for(10.0)
        site.calling = False
        site.world.run_for(6.0)
        self.assertEqual(site.violations(), [])
        self.assertEqual(site.share_of_keys_done(), 1.0)
        self.assertGreater(len(site.executions), 100)
