"""No call of an operator ends a core: it is sent to the primary, or rejected with a 4xx."""

import json
import unittest
from unittest import mock

from hypothesis import example, given
from hypothesis import strategies as st

from rooklug.config import json_text
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.gateway.operator_api import LISTENER, GatewayOperatorApi
from rooklug.model.internal_events import PrimaryChanged
from rooklug.wire.frames import Message, encode_frame
from tests import hostile_input
from tests.gateway_control_support import PRIMARY, context
from tests.platform_documents import DOCUMENT, control

REPLACE, PATCH = "/api/configuration/replace", "/api/configuration/patch"
PATCH_DOCUMENT = {"version": 9, "upsert": DOCUMENT, "remove": {"routes": ["r-old"]}}
VERSIONS = st.sampled_from(
    ["0", "7", "-1", "x", "", str(2**53), str(2**63), "9" * 19, "9" * 20, "9" * 5000, "٣", "²"]
)


def sent(path: str, body: bytes, base_version: str = "7") -> fx.Effect:
    """Return what a core does with a call at once, with the call encoded for the primary."""
    api = GatewayOperatorApi(control.operator_protocol({}), context())
    api.handle(PrimaryChanged(1, PRIMARY), 0.0)
    headers = {"x-base-version": base_version}
    event = ev.HttpRequestArrived(1, "POST", path, {}, headers, body, listener=LISTENER)
    (effect,) = api.handle(event, 0.0)
    if isinstance(effect, fx.Call):
        frame = encode_frame(Message(1, is_answer=False, sender="core", body=effect.request))
        assert frame.is_ok(), frame.error
    return effect


class OperatorInput(unittest.TestCase):
    def assert_refused(self, effect: fx.Effect) -> None:
        self.assertIsInstance(effect, fx.HttpRespond)
        self.assertIn(effect.status, (400, 404))
        self.assertTrue(json.loads(effect.body)["error"])

    def test_half_a_character_anywhere_is_refused_and_ends_no_core(self):
        # A lone surrogate in a configuration ended every core that the operator tried (review/3).
        for path in hostile_input.paths_of(DOCUMENT):
            body = hostile_input.json_text(hostile_input.with_value(DOCUMENT, path, "\ud83d"))
            with self.subTest(path):
                self.assert_refused(sent(REPLACE, body))
                patch = {"version": 9, "upsert": {"routes": [{"name": "\ud83d"}]}}
                self.assert_refused(sent(PATCH, hostile_input.json_text(patch)))

    def test_versions_beyond_the_bound_are_refused_and_end_no_core(self):
        # A version of 20 digits didn't fit its 64-bit field and ended every core (review/3).
        for version in (0, -1, 2**53, 2**63, -(2**63) - 1, 20261204030000123456, 10**4000):
            with self.subTest(digits=len(str(version))):
                document = {**DOCUMENT, "version": version}
                self.assert_refused(sent(REPLACE, hostile_input.json_text(document)))
        largest = {**DOCUMENT, "version": 2**53 - 1}
        self.assertIsInstance(sent(REPLACE, hostile_input.json_text(largest)), fx.Call)

    def test_base_versions_beyond_the_bound_are_refused_and_end_no_core(self):
        # X-Base-Version of 19 digits overflowed its field; of 5,000 digits it was no number.
        body = hostile_input.json_text(DOCUMENT)
        for base in ("9" * 19, "9" * 5000, "-1", "x", "", "²"):
            with self.subTest(digits=len(base)):
                self.assert_refused(sent(REPLACE, body, base))
        self.assertIsInstance(sent(REPLACE, body, str(2**53 - 1)), fx.Call)

    def test_a_body_of_eight_megabytes_does_not_hold_the_core_up(self):
        # Reading it strictly in the event loop took 2 to 3 s, longer than the primary's lease.
        with mock.patch.object(json_text, "_parse_with_diagnosis") as strict:
            for body in (b'{"version":1,"x":[' + b"1," * 1000 + b"NaN]}", b"[" * 8_000_000):
                sent(REPLACE, body)
        strict.assert_not_called()

    @given(
        st.sampled_from([REPLACE, PATCH]),
        st.binary(max_size=200)
        | hostile_input.values().map(hostile_input.json_text)
        | hostile_input.changed(DOCUMENT, hostile_input.paths_of(DOCUMENT)).map(
            hostile_input.json_text
        )
        | hostile_input.changed(PATCH_DOCUMENT, hostile_input.paths_of(PATCH_DOCUMENT)).map(
            hostile_input.json_text
        ),
        VERSIONS,
    )
    @example(REPLACE, b"[" * 100_000, "0")
    @example(REPLACE, b'{"version":' + b"9" * 5000 + b"}", "0")
    def test_any_call_is_sent_to_the_primary_or_refused(self, path, body, base_version):
        effect = sent(path, body, base_version)
        if not isinstance(effect, fx.Call):
            self.assert_refused(effect)
