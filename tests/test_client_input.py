"""No request head of a client ends a front: values that can't be parsed are ignored."""

import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from rooklug.engine import events as ev
from rooklug.gateway.demand import REPORT_INTERVAL_S
from rooklug.gateway.requests import MAX_PREFIX_BLOCKS, MAX_TOKENS, read_request
from rooklug.wire.frames import Message, encode_frame
from rooklug.wire.generated.peers.ttypes import FrontUse, SentPrompt
from tests import hostile_input
from tests.gateway_support import HOST
from tests.platform_documents import edge

NAMES = edge.HEADERS
LONG_NUMBERS = ("9" * 5000, "9" * 4000, "9" * 20, str(2**63), str(2**53), str(2**31))


def read(**headers: str):
    named = {getattr(NAMES, name): value for name, value in headers.items()}
    event = ev.HttpRequestArrived(1, "POST", "/a/x", {}, {"host": HOST, **named}, b"")
    return read_request(event, NAMES)


class ClientInput(unittest.TestCase):
    def test_token_counts_of_any_length_end_no_front(self):
        # X-Token-Counts of 5,000 digits raised ValueError, and the front ended.
        for digits in LONG_NUMBERS:
            with self.subTest(digits=len(digits)):
                request = read(token_counts=f"{digits},80")
                self.assertEqual((request.prompt_tokens, request.answer_tokens), (0, 80))
                request = read(token_counts=f"1460,{digits}")
                self.assertEqual((request.prompt_tokens, request.answer_tokens), (1460, 0))

    def test_prompt_blocks_of_any_size_fit_the_fields_that_carry_them(self):
        # A block of 2**31 tokens overflowed the 32-bit field of the message to the other fronts.
        for digits in LONG_NUMBERS:
            with self.subTest(digits=len(digits)):
                request = read(prompt_parts=f"aa:10,bb:{digits},cc:20")
                self.assertEqual([b.tokens for b in request.prefix_blocks], [10, 20])
        (block,) = read(prompt_parts=f"aa:{MAX_TOKENS}").prefix_blocks
        self.assertEqual(block.tokens, MAX_TOKENS)

    def test_a_request_has_a_bounded_number_of_blocks(self):
        # The cost of choosing a replica grows with the blocks; a head of 64 KiB holds 16,000.
        blocks = read(prompt_parts=",".join(f"{n:x}:1" for n in range(16_000))).prefix_blocks
        self.assertEqual(len(blocks), MAX_PREFIX_BLOCKS)

    def test_a_deadline_that_is_no_finite_number_is_ignored(self):
        for text in ("nan", "inf", "-inf", "1e400", "-1e400", "x", "9" * 5000, ""):
            with self.subTest(text[:10]):
                self.assertIsNone(read(deadline_ms=text).deadline_s)
        self.assertEqual(read(deadline_ms="2500").deadline_s, 2.5)
        self.assertEqual(read(deadline_ms="-1").deadline_s, 0.0)

    @given(
        st.fixed_dictionaries(
            {},
            optional={
                name: hostile_input.header_values()
                for name in ("token_counts", "prompt_parts", "deadline_ms", "request_id", "model")
            },
        )
    )
    @example({"token_counts": "9" * 5000})
    @example({"prompt_parts": f"aa:{2**31}"})
    def test_any_head_is_read_into_values_that_messages_can_carry(self, headers):
        request = read(**headers)
        blocks = request.prefix_blocks
        prompt = SentPrompt(
            "r-1", [b.block_id for b in blocks], [b.tokens for b in blocks], 182_005
        )
        use = FrontUse("front-1", "incarnation", 1, [], [prompt])
        frame = encode_frame(Message(1, is_answer=False, sender="front", body=use))
        self.assertTrue(frame.is_ok())
        self.assertGreaterEqual(request.prompt_tokens / REPORT_INTERVAL_S, 0.0)
        self.assertTrue(0.0 <= request.draw < 1.0)
