"""The host's effects: timers, RPC calls, compute, disk writes, stop; and reducer exceptions."""

import tempfile
import unittest

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.wire.generated.control.ttypes import ReadStatusRequest, VersionMark
from tests.runtime_support import FunctionReducer, HostCase, execute


class HostTest(HostCase, unittest.IsolatedAsyncioTestCase):
    async def test_timer_fires_once_and_is_replaced_and_cancelled(self) -> None:
        reducer = FunctionReducer()
        host = await self.start_host(reducer)
        execute(
            host,
            fx.StartTimer("a", 0.0),
            fx.StartTimer("a", 0.001),
            fx.StartTimer("b", 0.0),
            fx.CancelTimer("b"),
            fx.StartTimer("c", 0.002),
        )
        await reducer.wait_for(ev.TimerFired, name="c")
        self.assertEqual([event.name for event in reducer.of_type(ev.TimerFired)], ["a", "c"])

    async def test_timer_cancelled_while_its_event_is_queued_does_not_fire(self) -> None:
        reducer = FunctionReducer(
            lambda event: [fx.CancelTimer("b")] if event == ev.TimerFired("a") else []
        )
        host = await self.start_host(reducer)
        execute(host, fx.StartTimer("a", 0.0), fx.StartTimer("b", 0.0), fx.StartTimer("c", 0.01))
        await reducer.wait_for(ev.TimerFired, name="c")
        self.assertNotIn(ev.TimerFired("b"), reducer.events)

    async def test_call_is_answered_with_its_id(self) -> None:
        server = FunctionReducer(
            lambda event: (
                [fx.Answer(event.call_id, VersionMark(4, 2))]
                if isinstance(event, ev.CallArrived)
                else []
            )
        )
        server_host = await self.start_host(server)
        caller = FunctionReducer()
        host = await self.start_host(caller, node_id="caller")
        execute(host, *[self._call(number, server_host.internal_address) for number in range(50)])
        for number in range(50):
            answered = await caller.wait_for(ev.CallAnswered, call_id=number)
            self.assertEqual(answered.answer, VersionMark(4, 2))
        self.assertEqual({event.sender for event in server.of_type(ev.CallArrived)}, {"caller"})

    async def test_call_to_a_closed_port_fails_as_not_delivered(self) -> None:
        stopped_host = await self.start_host(FunctionReducer())
        address = stopped_host.internal_address
        stopped_host.kill()
        await stopped_host.stopped()
        caller = FunctionReducer()
        host = await self.start_host(caller)
        execute(host, self._call(1, address))
        failed = await caller.wait_for(ev.CallFailed, call_id=1)
        self.assertFalse(failed.maybe_delivered)

    async def test_call_that_times_out_fails_as_maybe_delivered(self) -> None:
        server_host = await self.start_host(FunctionReducer())
        caller = FunctionReducer()
        host = await self.start_host(caller)
        execute(host, self._call(1, server_host.internal_address, deadline_s=0.05))
        failed = await caller.wait_for(ev.CallFailed, call_id=1)
        self.assertTrue(failed.maybe_delivered)

    async def test_call_past_not_after_is_not_sent(self) -> None:
        server = FunctionReducer()
        server_host = await self.start_host(server)
        caller = FunctionReducer()
        host = await self.start_host(caller)
        late = fx.Call(
            1, server_host.internal_address, ReadStatusRequest(), 5.0, not_after=host._loop.time()
        )
        execute(host, late, self._call(2, server_host.internal_address))
        await server.wait_for(ev.CallArrived)
        failed = await caller.wait_for(ev.CallFailed, call_id=1)
        self.assertFalse(failed.maybe_delivered)
        self.assertEqual(len(server.of_type(ev.CallArrived)), 1)

    async def test_compute_delivers_the_result_or_the_error(self) -> None:
        reducer = FunctionReducer()
        host = await self.start_host(reducer)
        execute(host, fx.Compute(1, sum, (1, 2)), fx.Compute(2, int, "x"))
        self.assertEqual((await reducer.wait_for(ev.Computed, ticket=1)).result, 3)
        self.assertIn("ValueError", (await reducer.wait_for(ev.Computed, ticket=2)).error)

    async def test_records_survive_a_restart(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            reducer = FunctionReducer()
            host = await self.start_host(reducer, data_folder=folder)
            execute(host, *[fx.WriteRecords(n, "log", (bytes([n]),)) for n in range(5)])
            execute(host, fx.RewriteFile(9, "state", (b"x", b"y")))
            for ticket in (*range(5), 9):
                await reducer.wait_for(ev.WriteFinished, ticket=ticket)
            identity = reducer.of_type(ev.Started)[0].disk_identity
            host.kill()
            await host.stopped()
            restarted = FunctionReducer()
            await self.start_host(restarted, data_folder=folder)
            started = await restarted.wait_for(ev.Started)
            self.assertEqual(started.records["log"], (b"\0", b"\1", b"\2", b"\3", b"\4"))
            self.assertEqual(started.records["state"], (b"x", b"y"))
            self.assertEqual((started.disk_identity, started.disk_problem), (identity, ""))

    async def test_write_without_a_data_folder_fails(self) -> None:
        reducer = FunctionReducer()
        host = await self.start_host(reducer)
        execute(host, fx.WriteRecords(1, "log", (b"",)))
        await reducer.wait_for(ev.WriteFailed, ticket=1)

    async def test_reducer_exception_stops_the_host_as_a_broken_invariant(self) -> None:
        host = await self.start_host(FunctionReducer(lambda event: 1 / 0))
        self.assertEqual(await host.stopped(), 70)
        self.assertIn("ZeroDivisionError", host.log_text.getvalue())

    async def test_stop_request_ends_with_the_reducers_exit_code(self) -> None:
        reducer = FunctionReducer(
            lambda event: (
                [fx.StopProcess(3, "asked")] if isinstance(event, ev.StopRequested) else []
            )
        )
        host = await self.start_host(reducer)
        host.request_stop()
        self.assertEqual(await host.stopped(), 3)

    def _call(self, call_id: int, address: str, deadline_s: float = 5.0) -> fx.Call:
        return fx.Call(call_id, address, ReadStatusRequest(), deadline_s)


class WithoutDataFolderTest(HostCase, unittest.IsolatedAsyncioTestCase):
    async def test_memory_only_writes_are_acknowledged(self) -> None:
        reducer = FunctionReducer()
        host = await self.start_host(reducer, memory_only=True)
        execute(host, fx.WriteRecords(7, "file", (b"a",)), fx.RewriteFile(8, "file", (b"b",)))
        await reducer.wait_for(ev.WriteFinished, ticket=7)
        await reducer.wait_for(ev.WriteFinished, ticket=8)

    async def test_writes_fail_without_memory_only(self) -> None:
        reducer = FunctionReducer()
        host = await self.start_host(reducer)
        execute(host, fx.WriteRecords(7, "file", (b"a",)))
        await reducer.wait_for(ev.WriteFailed, ticket=7)
