"""The stream checker accepts only a complete stream of one request, with its lines in order."""

import json
import unittest
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.front.streams import MAX_LINE_BYTES, StreamChecker, StreamFault

PIECES = st.lists(st.text(max_size=4), max_size=6)


def stream_lines(pieces: list[str], request_id: str = "r") -> list[bytes]:
    lines = [
        json.dumps({"request_id": request_id, "index": index, "piece": piece}).encode()
        for index, piece in enumerate(pieces)
    ]
    end = {"request_id": request_id, "index": len(pieces), "end": True, "pieces": len(pieces)}
    return [*lines, json.dumps(end).encode()]


def check(data: bytes, cuts: list[int]) -> tuple[bool, list[str], bytes]:
    """Feed ``data`` in chunks cut at ``cuts``; return (complete, texts, forwarded bytes)."""
    checker = StreamChecker("r")
    texts: list[str] = []
    forwarded = b""
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for begin, end in pairwise(bounds):
        checked = checker.feed(data[begin:end])
        if isinstance(checked, StreamFault):
            return False, texts, forwarded
        texts += checked.texts
        forwarded += checked.lines
    end_line = checker.finish()
    return end_line.is_ok(), texts, forwarded + (end_line.ok if end_line.is_ok() else b"")


class StreamCheckerTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(PIECES, st.lists(st.integers(min_value=0, max_value=999), max_size=5))
    def test_valid_streams_pass_for_any_chunking(self, pieces, cuts) -> None:
        data = b"".join(line + b"\n" for line in stream_lines(pieces))
        self.assertEqual(check(data, cuts), (True, pieces, data))

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(PIECES, PIECES, st.data())
    def test_any_other_sequence_of_lines_is_a_fault(self, pieces, others, data) -> None:
        own = stream_lines(pieces)
        foreign = stream_lines(others, "other")
        chosen = data.draw(st.lists(st.sampled_from(own + foreign), max_size=9))
        complete, texts, _ = check(b"".join(line + b"\n" for line in chosen), [])
        self.assertEqual(complete, chosen == own)
        self.assertEqual(texts, pieces[: len(texts)])

    @settings(derandomize=True, deadline=None)
    @given(PIECES, st.integers(min_value=1, max_value=400))
    def test_truncated_stream_is_never_complete(self, pieces, missing) -> None:
        data = b"".join(line + b"\n" for line in stream_lines(pieces))
        self.assertFalse(check(data[:-1][: -min(missing, len(data) - 1)], [])[0])

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_a_fault_not_an_exception(self, data) -> None:
        self.assertFalse(check(data + b"\n", [])[0])

    def test_malformed_lines_are_faults(self) -> None:
        for line in (
            b"[" * 100_000,
            b'{"request_id":"r","index":true,"piece":""}',
            b'{"request_id":"r","index":0,"piece":1}',
            b'{"request_id":"r","index":0,"end":1,"pieces":0}',
            b"x" * (MAX_LINE_BYTES + 1),
        ):
            self.assertTrue(
                isinstance(StreamChecker("r").feed(line + b"\n"), StreamFault), line[:40]
            )
        self.assertIsInstance(StreamChecker("r").feed(b"x" * (MAX_LINE_BYTES + 1)), StreamFault)
