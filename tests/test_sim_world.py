"""The simulated world delivers calls, streams, writes and timers as the real runtime does."""

import unittest
from random import Random

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.wire.generated.control.ttypes import VersionMark
from rooklug_lab.sim.network import Place
from rooklug_lab.sim.process import SimulatedProcess
from rooklug_lab.sim.world import World

HERE = Place("127.0.0.1", "zone-a", "north")
THERE = Place("127.0.0.2", "zone-b", "south")
REGION_DELAY_S = 0.02


class Recorder:
    """A reducer that records events and returns scripted effects for them."""

    head_first_paths: tuple[str, ...] = ()

    def __init__(self, script=None) -> None:
        self.events: list[ev.Event] = []
        self._script = script or (lambda event: [])

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        self.events.append(event)
        return self._script(event)

    def metrics(self, now: float) -> tuple:
        return ()

    def events_of_type(self, event_type: type) -> list[ev.Event]:
        return [event for event in self.events if isinstance(event, event_type)]


class WorldTest(unittest.TestCase):
    def build(self, client_effects, server_script, has_disk: bool = False) -> None:
        self.world = World(seed=7, region_delay_s=REGION_DELAY_S)
        self.client_reducer = Recorder(
            lambda event: client_effects if isinstance(event, ev.Started) else []
        )
        self.server_reducer = Recorder(server_script)
        self.server = self.world.add(
            "server", THERE, lambda context: self.server_reducer, "s:1", "s:2", has_disk
        )
        self.client = self.world.add("client", HERE, lambda context: self.client_reducer)
        self.server.start()

    def start_client(self) -> SimulatedProcess:
        self.client.start()
        return self.client

    def test_call_is_answered_after_two_delays(self) -> None:
        mark = VersionMark(1, 2)

        def echo(event: ev.Event) -> list[fx.Effect]:
            if isinstance(event, ev.CallArrived):
                return [fx.Answer(event.call_id, event.request)]
            return []

        self.build([fx.Call(1, "s:2", mark, 1.0)], echo)
        self.start_client()
        self.world.run_for(1.9 * REGION_DELAY_S)
        self.assertEqual(self.client_reducer.events_of_type(ev.CallAnswered), [])
        self.world.run_for(1.0)
        self.assertEqual(
            self.client_reducer.events_of_type(ev.CallAnswered), [ev.CallAnswered(1, mark)]
        )
        self.assertEqual(self.client_reducer.events_of_type(ev.CallFailed), [])

    def test_call_held_by_a_cut_may_arrive_after_the_caller_timed_out(self) -> None:
        arrivals = set()
        for seed in range(20):
            self.build([fx.Call(1, "s:2", VersionMark(1, 2), 1.0)], lambda event: [])
            self.world.network._random = Random(seed)
            self.world.network.cut([HERE], [THERE])
            self.start_client()
            self.world.run_for(2.0)
            [failure] = self.client_reducer.events_of_type(ev.CallFailed)
            self.assertTrue(failure.maybe_delivered)
            self.world.network.heal([HERE], [THERE])
            self.world.run_for(2.0)
            arrivals.add(len(self.server_reducer.events_of_type(ev.CallArrived)))
        self.assertEqual(arrivals, {0, 1})

    def test_aborted_stream_is_a_failure_not_a_completed_response(self) -> None:
        def abort_stream(event: ev.Event) -> list[fx.Effect]:
            if isinstance(event, ev.HttpRequestArrived):
                request = event.request_id
                return [
                    fx.HttpStreamStart(request, 200),
                    fx.HttpStreamChunk(request, b"piece"),
                    fx.HttpStreamAbort(request),
                ]
            return []

        call = fx.HttpCall(1, "s:1", "POST", "/x?a=1", b"body", 5.0, streaming=True)
        self.build([call], abort_stream)
        self.start_client()
        self.world.run_for(1.0)
        [failure] = self.client_reducer.events_of_type(ev.HttpFailed)
        self.assertEqual(failure.send_state, ev.SendState.RESPONDING)
        self.assertEqual(self.client_reducer.events_of_type(ev.HttpResponseCompleted), [])
        [arrived] = self.server_reducer.events_of_type(ev.HttpRequestArrived)
        self.assertEqual((arrived.path, arrived.query), ("/x", {"a": "1"}))

    def test_a_stream_keeps_its_order_over_a_cut_or_breaks(self) -> None:
        endings = set()
        for seed in range(20):
            call = fx.HttpCall(1, "s:1", "GET", "/x", b"", 30.0, streaming=True)
            self.build([call], lambda event: [])
            self.world.network._random = Random(seed)
            self.start_client()
            self.world.run_for(0.2)
            [arrived] = self.server_reducer.events_of_type(ev.HttpRequestArrived)
            self.send_chunks(arrived.request_id, ("a", "b"))
            self.world.network.cut([THERE], [HERE])
            self.send_chunks(arrived.request_id, ("c", "d"))
            self.world.run_for(1.0)
            self.world.network.heal([THERE], [HERE])
            self.send_chunks(arrived.request_id, ("e", "f"))
            self.world.run_for(3.0)
            received = b"".join(
                p.data for p in self.client_reducer.events_of_type(ev.HttpBodyChunk)
            )
            self.assertTrue(b"abcdef".startswith(received), received)
            broken = len(self.client_reducer.events_of_type(ev.HttpFailed))
            self.assertEqual(received == b"abcdef", broken == 0)
            endings.add(broken)
        self.assertEqual(endings, {0, 1})

    def send_chunks(self, request_id: int, texts: tuple[str, ...]) -> None:
        for text in texts:
            chunk = fx.HttpStreamChunk(request_id, text.encode())
            self.world.http.serve(self.server, chunk)

    def test_killed_server_resets_the_connection(self) -> None:
        call = fx.HttpCall(1, "s:1", "POST", "/x", b"", 5.0)
        self.build([call], lambda event: [])
        self.start_client()
        self.world.run_for(0.5)
        self.world.kill(self.server)
        self.world.run_for(0.5)
        [failure] = self.client_reducer.events_of_type(ev.HttpFailed)
        self.assertEqual(failure.send_state, ev.SendState.MAYBE_SENT)

    def test_only_synced_records_are_sure_to_survive(self) -> None:
        def write_one_then_another(event: ev.Event) -> list[fx.Effect]:
            if isinstance(event, ev.Started) and not event.records:
                return [fx.WriteRecords(1, "log", (b"one",))]
            if isinstance(event, ev.WriteFinished) and event.ticket == 1:
                return [fx.WriteRecords(2, "log", (b"two",))]
            return []

        self.build([], write_one_then_another, has_disk=True)
        while not self.server_reducer.events_of_type(ev.WriteFinished):
            self.world.run_for(0.0005)
        self.world.kill(self.server)
        self.assertIn(self.server.disk.files["log"], ([b"one"], [b"one", b"two"]))
        self.server.disk.lose()
        self.world.restart(self.server)
        self.assertEqual(self.server_reducer.events_of_type(ev.Started)[-1].disk_problem, "blank")

    def test_frozen_process_handles_queued_events_after_thaw(self) -> None:
        self.build([fx.StartTimer("tick", 1.0)], lambda event: [])
        client = self.start_client()
        client.freeze()
        self.world.run_for(20.0)
        self.assertEqual(self.client_reducer.events_of_type(ev.TimerFired), [])
        client.thaw()
        self.assertEqual(self.client_reducer.events_of_type(ev.TimerFired), [ev.TimerFired("tick")])
