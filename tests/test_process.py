"""Exit codes and signal handling of a daemon process."""

import io
import json
import os
import signal
import socket
import tempfile
import unittest

from rooklug.cli import exit_codes
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.runtime.host import Host
from rooklug.runtime.process import run_process
from rooklug.storage.folder import open_folder
from tests.runtime_support import LOCAL, FunctionReducer


class ProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = io.StringIO()

    def run_host(self, reducer: FunctionReducer, **options: object) -> int:
        settings = {"listen_internal": LOCAL, "listen_http": LOCAL, "node_id": "core-1"}
        return run_process(Host(reducer, **{**settings, "log_stream": self.log, **options}))

    def test_port_in_use_exit_code(self) -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            for name in ("listen_internal", "listen_http"):
                code = self.run_host(FunctionReducer(), **{name: address})
                self.assertEqual(code, exit_codes.PORT_IN_USE)

    def test_address_of_another_machine_fails(self) -> None:
        code = self.run_host(FunctionReducer(), listen_http="192.0.2.1:1")
        self.assertEqual(code, exit_codes.FAILURE)

    def test_data_folder_of_another_node_is_refused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            open_folder(folder, "core-2").ok[0].close()
            code = self.run_host(FunctionReducer(), data_folder=folder)
        self.assertEqual(code, exit_codes.DATA_FOLDER)
        self.assertIn("belongs to node", self.log.getvalue())

    def test_broken_invariant_exit_code(self) -> None:
        code = self.run_host(FunctionReducer(lambda event: 1 / 0))
        self.assertEqual(code, exit_codes.BROKEN_INVARIANT)

    def test_sigterm_delivers_stop_requested(self) -> None:
        def respond(event: ev.Event) -> list[fx.Effect]:
            if isinstance(event, ev.Started):
                os.kill(os.getpid(), signal.SIGTERM)
            if isinstance(event, ev.StopRequested):
                return [fx.Log("info", "bye", {"change": 3}), fx.StopProcess(0, "asked")]
            return []

        self.assertEqual(self.run_host(FunctionReducer(respond)), exit_codes.OK)
        lines = [json.loads(line) for line in self.log.getvalue().splitlines()]
        self.assertEqual([line["message"] for line in lines], ["started", "bye", "stopping"])
        self.assertEqual((lines[1]["node"], lines[1]["change"]), ("core-1", 3))

    def test_repeated_sigterm_delivers_stop_requested_once(self) -> None:
        stops = []

        def respond(event: ev.Event) -> list[fx.Effect]:
            if isinstance(event, ev.Started):
                return [fx.StartTimer("a", 0.0)]
            if isinstance(event, ev.TimerFired):
                os.kill(os.getpid(), signal.SIGTERM)
                next_timer = {"a": "b", "b": "c", "c": "d"}.get(event.name)
                return (
                    [fx.StartTimer(next_timer, 0.0)] if next_timer else [fx.StopProcess(0, "end")]
                )
            stops.append(event)
            return []

        self.assertEqual(self.run_host(FunctionReducer(respond)), exit_codes.OK)
        self.assertEqual(stops, [ev.StopRequested()])

    def test_reducer_that_does_not_stop_is_stopped_after_the_grace_period(self) -> None:
        def respond(event: ev.Event) -> list[fx.Effect]:
            if isinstance(event, ev.Started):
                os.kill(os.getpid(), signal.SIGTERM)
            return []

        self.assertEqual(self.run_host(FunctionReducer(respond), stop_grace_s=0.01), exit_codes.OK)
        self.assertIn("grace", self.log.getvalue())
