"""Version marks are ordered by epoch, then by counter."""

import unittest

from rooklug.model.versions import is_newer
from rooklug.wire.generated.control.ttypes import VersionMark


class VersionOrderTest(unittest.TestCase):
    def test_higher_epoch_is_newer_whatever_the_counter(self) -> None:
        self.assertTrue(is_newer(VersionMark(2, 0), VersionMark(1, 9)))
        self.assertFalse(is_newer(VersionMark(1, 9), VersionMark(1, 9)))
