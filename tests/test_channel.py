"""The internal port: malformed and truncated frames, and connection failures."""

import asyncio
import struct
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.iostream import IOStream

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.runtime.addresses import ConnectError, connect_stream
from rooklug.wire.codec import encode
from rooklug.wire.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Message,
    decode_payload,
    encode_frame,
    payload_length,
)
from rooklug.wire.generated.control.ttypes import (
    ConfigurationBody,
    ReadStatusRequest,
    VersionMark,
)
from rooklug.wire.generated.envelope.ttypes import Envelope
from tests.runtime_support import FunctionReducer, HostCase, execute, raw_exchange


class FramesTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 2**63 - 1), st.booleans(), st.text(max_size=20))
    def test_message_round_trip(self, call_id: int, is_answer: bool, sender: str) -> None:
        message = Message(call_id, is_answer, sender, VersionMark(1, 2))
        frame = encode_frame(message).ok
        self.assertEqual(payload_length(frame[:LENGTH_BYTES]).ok, len(frame) - LENGTH_BYTES)
        self.assertEqual(decode_payload(frame[LENGTH_BYTES:]).ok, message)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_are_an_error_value(self, data: bytes) -> None:
        self.assertTrue(decode_payload(data).is_error())

    def test_every_truncation_is_an_error(self) -> None:
        payload = encode_frame(Message(1, False, "n", VersionMark(1, 2))).ok[LENGTH_BYTES:]
        for length in range(len(payload)):
            self.assertTrue(decode_payload(payload[:length]).is_error())

    def test_unknown_type_is_an_error(self) -> None:
        payload = encode(Envelope(1, False, "NoSuchThing", "n", b""))
        self.assertIn("NoSuchThing", decode_payload(payload).error.message)

    def test_too_large_frame_is_not_encoded(self) -> None:
        body = ConfigurationBody(1, "", b"x" * MAX_FRAME_BYTES)
        self.assertIn("too large", encode_frame(Message(1, False, "n", body)).error.message)


class ClosingStream(IOStream):
    """A stream that closes as soon as it is connected, as if the peer had closed it."""

    async def connect(self, address: tuple) -> None:
        await super().connect(address)
        self.close()


class ConnectTest(HostCase, unittest.IsolatedAsyncioTestCase):
    async def test_connection_closed_on_connect_raises_connect_error(self) -> None:
        host = await self.start_host(FunctionReducer())
        with self.assertRaises(ConnectError):
            await connect_stream(host.internal_address, "", 5.0, ClosingStream)

    async def test_unexpected_exception_while_connecting_does_not_block_later_calls(self) -> None:
        server = FunctionReducer(
            lambda event: (
                [fx.Answer(event.call_id, VersionMark(1, 1))]
                if isinstance(event, ev.CallArrived)
                else []
            )
        )
        server_host = await self.start_host(server)
        caller = FunctionReducer()
        host = await self.start_host(caller)
        with mock.patch("rooklug.runtime.rpc_client.connect_stream", side_effect=RuntimeError("x")):
            execute(host, fx.Call(1, server_host.internal_address, ReadStatusRequest(), 5.0))
            failed = await caller.wait_for(ev.CallFailed, call_id=1)
        self.assertFalse(failed.maybe_delivered)
        self.assertIn("RuntimeError", host.log_text.getvalue())
        execute(host, fx.Call(2, server_host.internal_address, ReadStatusRequest(), 5.0))
        await caller.wait_for(ev.CallAnswered, call_id=2)


class MalformedFrameTest(HostCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = FunctionReducer(self._answer)
        self.host = await self.start_host(self.server)

    async def test_malformed_frame_closes_only_its_connection(self) -> None:
        good = encode_frame(Message(1, False, "n", ReadStatusRequest())).ok
        garbage = {
            "http": b"GET / HTTP/1.1\r\n\r\n",
            "oversized": struct.pack(">I", MAX_FRAME_BYTES + 1) + b"x" * 100,
            "empty": struct.pack(">I", 0),
            "noise": struct.pack(">I", 9) + b"\xff" * 9,
            "answer": encode_frame(Message(1, True, "n", VersionMark(1, 2))).ok,
            "unknown": self._frame(encode(Envelope(1, False, "Nothing", "n", b""))),
            "wrong body": self._frame(encode(Envelope(1, False, "VersionMark", "n", b"\x01"))),
        }
        for name, data in garbage.items():
            with self.subTest(name):
                self.assertEqual(await raw_exchange(self.host.internal_address, data + good), b"")
        self.assertEqual(self.host.log_text.getvalue().count("garbage"), len(garbage))
        self.assertEqual(self.server.of_type(ev.CallArrived), [])
        await self._assert_call_is_answered()

    async def test_call_answered_with_a_malformed_frame_fails(self) -> None:
        def send_malformed_frame(_: object, writer: asyncio.StreamWriter) -> None:
            writer.write(struct.pack(">I", 3) + b"???")

        server = await asyncio.start_server(send_malformed_frame, "127.0.0.1", 0)
        self.addCleanup(server.close)
        caller = FunctionReducer()
        host = await self.start_host(caller)
        port = server.sockets[0].getsockname()[1]
        execute(host, fx.Call(1, f"127.0.0.1:{port}", ReadStatusRequest(), 60.0))
        failed = await caller.wait_for(ev.CallFailed, call_id=1)
        self.assertTrue(failed.maybe_delivered)

    async def test_too_large_request_fails_as_not_delivered(self) -> None:
        caller = FunctionReducer()
        host = await self.start_host(caller)
        body = ConfigurationBody(1, "", b"x" * MAX_FRAME_BYTES)
        execute(host, fx.Call(1, self.host.internal_address, body, 5.0))
        failed = await caller.wait_for(ev.CallFailed, call_id=1)
        self.assertFalse(failed.maybe_delivered)

    async def test_connection_without_answers_is_not_used_for_new_calls(self) -> None:
        self.server.respond = lambda event: []
        caller = FunctionReducer()
        host = await self.start_host(caller)
        execute(host, fx.Call(1, self.host.internal_address, ReadStatusRequest(), 0.05))
        await caller.wait_for(ev.CallFailed, call_id=1)
        self.assertEqual(host._rpc_client._peers, {})
        self.server.respond = self._answer
        execute(host, fx.Call(2, self.host.internal_address, ReadStatusRequest(), 5.0))
        await caller.wait_for(ev.CallAnswered, call_id=2)

    async def _assert_call_is_answered(self) -> None:
        caller = FunctionReducer()
        host = await self.start_host(caller)
        execute(host, fx.Call(1, self.host.internal_address, ReadStatusRequest(), 5.0))
        await caller.wait_for(ev.CallAnswered, call_id=1)

    def _answer(self, event: ev.Event) -> list[fx.Effect]:
        if isinstance(event, ev.CallArrived):
            return [fx.Answer(event.call_id, VersionMark(1, 1))]
        return []

    def _frame(self, payload: bytes) -> bytes:
        return struct.pack(">I", len(payload)) + payload
