"""The thrift codec: encoded structs decode to the same value; malformed input is an error value."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.control.ttypes import ConfigurationBody, VersionMark

INTEGERS = st.integers(min_value=-(2**63), max_value=2**63 - 1)


class CodecTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(INTEGERS, INTEGERS)
    def test_version_mark_round_trip(self, epoch: int, counter: int) -> None:
        mark = VersionMark(epoch=epoch, counter=counter)
        self.assertEqual(decode(VersionMark, encode(mark)).ok, mark)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_are_decoded_or_an_error_value(self, data: bytes) -> None:
        result = decode(ConfigurationBody, data)
        self.assertTrue(result.is_ok() or result.error.message)

    def test_trailing_bytes_are_rejected(self) -> None:
        self.assertTrue(decode(VersionMark, encode(VersionMark(1, 2)) + b"\0").is_error())

    def test_truncated_struct_is_rejected(self) -> None:
        self.assertTrue(decode(VersionMark, encode(VersionMark(1, 2))[:-1]).is_error())
