"""Version marks order by epoch, then counter."""

import unittest

from rooklug.model.versions import is_newer
from rooklug.wire.generated.control.ttypes import VersionMark


class MarkOrderTest(unittest.TestCase):
    def test_epoch_goes_before_counter(self) -> None:
        self.assertTrue(is_newer(VersionMark(2, 0), VersionMark(1, 9)))
        self.assertFalse(is_newer(VersionMark(1, 9), VersionMark(1, 9)))
