"""The host's HTTP server and client, tested against each other and against raw sockets."""

import asyncio
import contextlib
import json
import socket
import struct
import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.events import SendState
from rooklug.runtime.host import Host
from tests.runtime_support import (
    TEST_LIMIT_S,
    FunctionReducer,
    HostCase,
    execute,
    raw_exchange,
)

HEAD_FIRST = "/head"
ID_HEADER = "x-id"


def serve(event: ev.Event) -> list[fx.Effect]:
    """Respond as a test server: echo, a stream, an aborted stream, responses to the head."""
    if isinstance(event, ev.HttpRequestBody):
        return [fx.HttpRespond(event.request_id, 200, b"body:" + event.body)]
    if not isinstance(event, ev.HttpRequestArrived):
        return []
    request_id = event.request_id
    if event.path == "/head/go":
        return [fx.HttpRespond(request_id, 307, b"{}", {"location": "http://127.0.0.1:9/x"})]
    if event.path == "/head/read":
        return [fx.ReadRequestBody(request_id)]
    if event.path == "/never":
        return []
    if event.path.startswith("/stream"):
        last = fx.HttpStreamAbort if event.path == "/stream/broken" else fx.HttpStreamEnd
        chunks = [fx.HttpStreamChunk(request_id, b"%d\n" % number) for number in range(3)]
        return [fx.HttpStreamStart(request_id, 200), *chunks, last(request_id)]
    headers = {"x-query": json.dumps(event.query)}
    if ID_HEADER in event.headers:
        headers[ID_HEADER] = event.headers[ID_HEADER]
    return [fx.HttpRespond(request_id, 200, event.body, headers)]


class HttpCase(HostCase, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = FunctionReducer(serve, (HEAD_FIRST,))
        self.server_host = await self.start_host(self.server)
        self.address = self.server_host.http_address
        self.caller = FunctionReducer()
        self.host: Host = await self.start_host(self.caller)

    def call(self, call_id: int, path: str, body: bytes = b"", **options: object) -> None:
        settings = {"deadline_s": 10.0, "address": self.address, "method": "POST", **options}
        execute(self.host, fx.HttpCall(call_id=call_id, path=path, body=body, **settings))


class HttpTest(HttpCase):
    async def test_complete_response(self) -> None:
        self.call(1, "/echo?a=b%20c&d=", b"hello")
        answer = await self.caller.wait_for(ev.HttpAnswered, call_id=1)
        self.assertEqual((answer.status, answer.body), (200, b"hello"))
        self.assertEqual(json.loads(answer.headers["x-query"]), {"a": "b c", "d": ""})

    async def test_consecutive_calls_reuse_one_connection(self) -> None:
        for number in range(5):
            headers = {ID_HEADER: str(number)}
            self.call(number, "/echo", headers=headers, echoed_header=ID_HEADER)
            await self.caller.wait_for(ev.HttpAnswered, call_id=number)
        arrivals = self.server.of_type(ev.HttpRequestArrived)
        self.assertEqual(len(arrivals), 5)
        self.assertEqual(self.host._http_client.pool.connections_made, 1)

    async def test_stream_is_received_completely(self) -> None:
        self.call(1, "/stream", streaming=True)
        await self.caller.wait_for(ev.HttpResponseCompleted, call_id=1)
        self.assertEqual(self._received_body(), b"0\n1\n2\n")

    async def test_aborted_stream_is_a_failure(self) -> None:
        self.call(1, "/stream/broken", streaming=True)
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertNotEqual(failed.send_state, SendState.NOT_SENT)
        self.assertEqual(self.caller.of_type(ev.HttpResponseCompleted), [])

    async def test_response_to_the_head_ignores_small_and_large_bodies(self) -> None:
        for number, size in enumerate((0, 10, 200_000, 7_000_000)):
            self.call(number, "/head/go", b"x" * size)
            answer = await self.caller.wait_for(ev.HttpAnswered, call_id=number)
            self.assertEqual((answer.status, answer.headers["location"][:7]), (307, "http://"))
        self.assertEqual(self.server.of_type(ev.HttpRequestBody), [])

    async def test_withheld_body_is_read_on_request(self) -> None:
        self.call(1, "/head/read", b"x" * 100_000)
        answer = await self.caller.wait_for(ev.HttpAnswered, call_id=1)
        self.assertEqual(answer.body, b"body:" + b"x" * 100_000)

    async def test_too_large_body_is_a_typed_error(self) -> None:
        self.call(1, "/echo", b"x" * (9 * 1024 * 1024))
        answer = await self.caller.wait_for(ev.HttpAnswered, call_id=1)
        self.assertEqual(answer.status, 413)
        self.assertEqual(json.loads(answer.body)["error"]["code"], "too_large")

    async def test_call_to_a_closed_port_is_not_sent(self) -> None:
        self.server_host.kill()
        await self.server_host.stopped()
        self.call(1, "/echo")
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertEqual(failed.send_state, SendState.NOT_SENT)

    async def test_call_that_times_out_is_maybe_sent(self) -> None:
        self.call(1, "/never", deadline_s=0.5)
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertEqual(failed.send_state, SendState.MAYBE_SENT)
        await self.server.wait_for(ev.HttpRequestClosed)

    async def test_first_byte_deadline_fails_the_call(self) -> None:
        self.call(1, "/never", first_byte_deadline_s=0.05)
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertEqual(failed.send_state, SendState.MAYBE_SENT)

    async def test_call_past_not_after_is_not_sent(self) -> None:
        self.call(1, "/echo", not_after=self.host._loop.time())
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertEqual(failed.send_state, SendState.NOT_SENT)
        self.assertEqual(self.server.of_type(ev.HttpRequestArrived), [])

    async def test_cancelled_call_closes_without_further_events(self) -> None:
        self.call(1, "/never")
        await self.server.wait_for(ev.HttpRequestArrived)
        execute(self.host, fx.CancelHttpCall(1))
        await self.server.wait_for(ev.HttpRequestClosed)
        self.assertEqual(self.caller.events[1:], [])

    async def test_metrics_are_served(self) -> None:
        self.call(1, "/metrics", method="GET")
        answer = await self.caller.wait_for(ev.HttpAnswered, call_id=1)
        self.assertIn(b"rooklug_events_total", answer.body)

    def _received_body(self) -> bytes:
        return b"".join(event.data for event in self.caller.of_type(ev.HttpBodyChunk))


class RawCallerTest(HttpCase):
    async def test_response_to_the_head_does_not_wait_for_the_body(self) -> None:
        head = b"POST /head/go HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000\r\n\r\n"
        answer = await raw_exchange(self.address, head)
        self.assertIn(b"307", answer.split(b"\r\n")[0])
        self.assertTrue(answer.endswith(b"{}"))

    async def test_aborted_stream_has_no_final_chunk(self) -> None:
        answer = await raw_exchange(self.address, b"GET /stream/broken HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertNotIn(b"\r\n0\r\n", answer)

    async def test_malformed_request_does_not_affect_other_connections(self) -> None:
        await raw_exchange(self.address, b"\x00\xff garbage\r\n\r\n")
        self.call(1, "/echo", b"still here")
        await self.caller.wait_for(ev.HttpAnswered, call_id=1)


class SlowCallerTest(HttpCase):
    """A caller that does not read: the producer of its stream must pause instead of buffering."""

    async def open_stream(self, path: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request over a connection with small buffers, without reading the response."""
        ip, port = self.address.split(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 256 * 1024)
        connection.connect((ip, int(port)))
        reader, writer = await asyncio.open_connection(sock=connection, limit=1024)
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode())
        self.addCleanup(writer.close)
        return reader, writer

    async def test_producer_of_a_stream_pauses_until_the_caller_reads(self) -> None:
        piece = b"x" * 1024 * 1024
        source = FunctionReducer()
        source_host = await self.start_host(source)

        def relay(event: ev.Event) -> list[fx.Effect]:
            if isinstance(event, ev.HttpRequestArrived):
                self.caller_request = event.request_id
                call = fx.HttpCall(
                    1, source_host.http_address, "GET", "/", b"", 60.0, streaming=True
                )
                return [fx.HttpStreamStart(event.request_id, 200), call]
            if isinstance(event, ev.HttpBodyChunk):
                return [fx.HttpStreamChunk(self.caller_request, event.data)]
            if isinstance(event, ev.HttpResponseCompleted):
                return [fx.HttpStreamEnd(self.caller_request)]
            return []

        self.server.respond = relay
        reader, _ = await self.open_stream("/relay")
        arrived = await source.wait_for(ev.HttpRequestArrived)
        execute(source_host, fx.HttpStreamStart(arrived.request_id, 200))
        for _ in range(12):
            execute(source_host, fx.HttpStreamChunk(arrived.request_id, piece))
        execute(source_host, fx.HttpStreamEnd(arrived.request_id))
        await self.server.wait_for(ev.HttpBodyChunk)
        exchange = self.server_host._http_port.exchanges.by_request_id[self.caller_request]
        async with asyncio.timeout(TEST_LIMIT_S):
            while exchange.writable() is None:
                await asyncio.sleep(0)
        self.assertEqual(self.server.of_type(ev.HttpResponseCompleted), [])
        self.assertLess(exchange.unsent_bytes, 2 * len(piece))
        received = bytearray()
        while not received.endswith(b"\r\n0\r\n\r\n"):
            received += await asyncio.wait_for(reader.read(1 << 20), 20.0)
        self.assertEqual(received.partition(b"\r\n\r\n")[2].count(b"x"), 12 * len(piece))

    async def test_caller_with_too_many_unsent_bytes_is_disconnected(self) -> None:
        self.server.respond = lambda event: []
        await self.open_stream("/any")
        arrived = await self.server.wait_for(ev.HttpRequestArrived)
        piece = fx.HttpStreamChunk(arrived.request_id, b"x" * 1024 * 1024)
        execute(self.server_host, fx.HttpStreamStart(arrived.request_id, 200), *[piece] * 40)
        await self.server.wait_for(ev.HttpRequestClosed)

    async def test_complete_response_is_flushed_before_stopping(self) -> None:
        self.server.respond = lambda event: []
        reader, _ = await self.open_stream("/any")
        arrived = await self.server.wait_for(ev.HttpRequestArrived)
        answer = fx.HttpRespond(arrived.request_id, 200, b"x" * 8 * 1024 * 1024)
        execute(self.server_host, answer, fx.StopProcess(0, "test"))
        received = 0
        while chunk := await asyncio.wait_for(reader.read(1 << 20), 20.0):
            received += chunk.count(b"x")
        self.assertEqual(received, 8 * 1024 * 1024)


class RawServerTest(HttpCase):
    """The client against misbehaving servers."""

    async def serve_bytes(self, *answers: bytes) -> str:
        """Start a server that responds to each request with the next of ``answers``."""
        waiting = list(answers)

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while waiting and await reader.readuntil(b"\r\n\r\n"):
                    writer.write(waiting.pop(0))
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        ip, port = server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def test_early_response_does_not_wait_for_the_request_to_be_sent(self) -> None:
        finished = asyncio.Event()
        self.addCleanup(finished.set)

        async def answer_without_reading(_: object, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
            await finished.wait()
            writer.close()

        server = await asyncio.start_server(answer_without_reading, "127.0.0.1", 0)
        self.addCleanup(server.close)
        ip, port = server.sockets[0].getsockname()
        self.call(1, "/", b"x" * 30_000_000, address=f"{ip}:{port}", deadline_s=2.0)
        await self.caller.wait_for(ev.HttpAnswered, call_id=1)

    async def test_truncated_response_is_a_failure(self) -> None:
        address = await self.serve_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
        self.call(1, "/", method="GET", address=address)
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertEqual(failed.send_state, SendState.RESPONDING)

    async def test_response_without_a_length_is_complete_at_an_orderly_close(self) -> None:
        address = await self.serve_bytes(b"HTTP/1.1 200 OK\r\n\r\nabc")
        self.call(1, "/", method="GET", address=address)
        answered = await self.caller.wait_for(ev.HttpAnswered, call_id=1)
        self.assertEqual(answered.body, b"abc")

    async def test_response_without_a_length_that_is_reset_is_a_failure(self) -> None:
        for call_id, streaming in ((1, False), (2, True)):
            address = await self.serve_and_reset(b"HTTP/1.1 200 OK\r\n\r\nabc", call_id)
            self.call(call_id, "/", method="GET", address=address, streaming=streaming)
            failed = await self.caller.wait_for(ev.HttpFailed, call_id=call_id)
            self.assertEqual(failed.send_state, SendState.RESPONDING)

    async def test_response_without_a_length_is_streamed_as_it_arrives(self) -> None:
        finished = asyncio.Event()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nabc")
            await finished.wait()
            writer.close()

        address = await self.serve(answer)
        self.call(1, "/", method="GET", address=address, streaming=True)
        chunk = await self.caller.wait_for(ev.HttpBodyChunk, call_id=1)
        self.assertEqual(chunk.data, b"abc")
        finished.set()
        await self.caller.wait_for(ev.HttpResponseCompleted, call_id=1)

    async def serve(self, handle) -> str:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        ip, port = server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def serve_and_reset(self, data: bytes, call_id: int) -> str:
        """Send ``data``; reset the connection once the client has read the response's head."""

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            call = self.host._http_client.calls[call_id]
            while not call._status:  # the client has read the head
                await asyncio.sleep(0)
            reset_on_close = struct.pack("ii", 1, 0)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
            writer.transport.abort()

        return await self.serve(answer)

    async def test_bytes_after_a_response_never_reach_the_next_call(self) -> None:
        one_byte_head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        address = await self.serve_bytes(
            one_byte_head + b"a" + one_byte_head + b"z", one_byte_head + b"b"
        )
        self.call(1, "/", method="GET", address=address)
        first = await self.caller.wait_for(ev.HttpAnswered, call_id=1)
        self.call(2, "/", method="GET", address=address)
        second = await self.caller.wait_for(ev.HttpAnswered, call_id=2)
        self.assertEqual((first.body, second.body), (b"a", b"b"))

    async def test_malformed_response_is_a_failure(self) -> None:
        address = await self.serve_bytes(b"garbage\r\n\r\n")
        self.call(1, "/", method="GET", address=address)
        failed = await self.caller.wait_for(ev.HttpFailed, call_id=1)
        self.assertEqual(failed.send_state, SendState.MAYBE_SENT)
