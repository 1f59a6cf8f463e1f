"""The operator's commands against fronts that answer, reject, abort the response or are down."""

import asyncio
import hashlib
import io
import json
import tempfile
import threading
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from rooklug.cli import exit_codes
from rooklug.cli.ctl_placement import DescribedWorld, build_problem
from rooklug.cli.main import main
from rooklug.config.document import Readiness
from rooklug.config.document_reader import read_configuration
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.runtime.host import Host
from tests.runtime_support import LOCAL, FunctionReducer

EXAMPLES = Path(__file__).parent.parent / "rooklug" / "config" / "examples"
DOCUMENT = b'{"a": 1}'
DIGEST = hashlib.sha256(DOCUMENT).hexdigest()


class ScriptedFront:
    """A front in its own thread: gives scripted answers and records the requests.

    The last answer is repeated; status 0 aborts the response after its headers.
    """

    def __init__(self, *answers: tuple[int, object]) -> None:
        self.answers = list(answers)
        self.reducer = FunctionReducer(self._respond)
        self._started = threading.Event()
        self._thread = threading.Thread(target=asyncio.run, args=(self._serve(),))
        self._thread.start()
        self._started.wait()

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._host = Host(
            self.reducer, listen_internal="", listen_http=LOCAL, log_stream=io.StringIO()
        )
        await self._host.start()
        self.address = self._host.http_address
        self._started.set()
        await self._host.stopped()

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._host.kill)
        self._thread.join()

    def requests(self) -> list[ev.HttpRequestArrived]:
        return self.reducer.of_type(ev.HttpRequestArrived)

    def _respond(self, event: ev.Event) -> list[fx.Effect]:
        if not isinstance(event, ev.HttpRequestArrived):
            return []
        status, answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if status == 0:
            return [
                fx.HttpStreamStart(event.request_id, 200),
                fx.HttpStreamAbort(event.request_id),
            ]
        headers = {"x-rooklug-version": "3", "x-rooklug-digest": DIGEST}
        body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        return [fx.HttpRespond(event.request_id, status, body, headers)]


class CtlTest(unittest.TestCase):
    def setUp(self) -> None:
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.file = str(Path(temporary.name) / "site.json")
        Path(self.file).write_bytes(DOCUMENT)

    def front(self, *answers: tuple[int, object]) -> ScriptedFront:
        front = ScriptedFront(*answers)
        self.addCleanup(front.stop)
        return front

    def ctl(self, nodes: list[str], *arguments: str) -> tuple[int, str, str]:
        options = [option for node in nodes for option in ("--node", node)]
        output, errors = io.TextIOWrapper(io.BytesIO()), io.StringIO()
        with redirect_stdout(output), redirect_stderr(errors):
            code = main(["ctl", *options, "--timeout", "0.5", *arguments])
        output.flush()
        return code, output.buffer.getvalue().decode(), errors.getvalue()

    def test_apply_sends_the_bytes_as_they_are(self) -> None:
        front = self.front((200, {"version": 3, "digest": DIGEST, "repeated": False}))
        code, output, _ = self.ctl([front.address], "apply", self.file, "--version", "3")
        request = front.requests()[0]
        self.assertEqual((code, request.method, request.path), (0, "PUT", "/v1/config/3"))
        self.assertEqual(request.body, DOCUMENT)
        self.assertIn("version 3", output)

    def test_patch_names_its_base(self) -> None:
        front = self.front((200, {"version": 4, "repeated": True}))
        arguments = ("patch", self.file, "--base", "3", "--version", "4")
        code, output, _ = self.ctl([front.address], *arguments)
        request = front.requests()[0]
        self.assertEqual((code, request.method, request.query), (0, "PATCH", {"base": "3"}))
        self.assertIn("taken before", output)

    def test_rejections_have_their_exit_codes(self) -> None:
        problems = [{"path": "routes.x", "message": "unknown model"}]
        for status, error, code, told in (
            (409, {"code": "conflict", "winner_digest": "abc"}, exit_codes.CONFLICT, "abc"),
            (400, {"code": "invalid", "problems": problems}, exit_codes.INVALID, "routes.x"),
        ):
            front = self.front((status, {"error": error}))
            result = self.ctl([front.address], "apply", self.file, "--version", "3")
            self.assertEqual(result[0], code)
            self.assertIn(told, result[2])

    def test_next_front_is_tried_after_an_unavailable_one(self) -> None:
        first = self.front((503, {"error": {"code": "unavailable"}}))
        second = self.front((200, {"version": 3}))
        code, _, _ = self.ctl([first.address, second.address], "apply", self.file, "--version", "3")
        self.assertEqual((code, len(second.requests())), (0, 1))

    def test_order_that_reached_no_front_is_certainly_not_taken(self) -> None:
        front = ScriptedFront((503, {}))
        front.stop()
        code, _, errors = self.ctl([front.address], "apply", self.file, "--version", "3")
        self.assertEqual(code, exit_codes.UNAVAILABLE)
        self.assertIn("certainly not taken", errors)

    def test_lost_answer_gives_unknown_outcome(self) -> None:
        for answer in ((0, {}), (504, {"error": {"code": "unknown"}})):
            front = self.front(answer, (503, {"error": {"code": "unavailable"}}))
            code, _, errors = self.ctl([front.address], "apply", self.file, "--version", "3")
            self.assertEqual(code, exit_codes.UNKNOWN)
            self.assertIn("may have been taken", errors)

    def test_same_order_is_sent_after_a_lost_answer(self) -> None:
        front = self.front((0, {}), (200, {"zone": "a", "emptied": True}))
        code, _, _ = self.ctl([front.address], "zone", "empty", "a")
        ids = {request.headers["x-rooklug-operation-id"] for request in front.requests()}
        self.assertEqual((code, len(front.requests()), len(ids)), (0, 2, 1))

    def test_get_writes_the_exact_bytes(self) -> None:
        front = self.front((200, DOCUMENT))
        code, output, _ = self.ctl([front.address], "get", "--local")
        self.assertEqual((code, output.encode()), (0, DOCUMENT))
        self.assertEqual(front.requests()[0].path, "/v1/config/local")

    def test_get_refuses_bytes_without_their_digest(self) -> None:
        front = self.front((200, b"other"))
        self.assertEqual(self.ctl([front.address], "get")[0], exit_codes.FAILURE)

    def test_status_as_tables(self) -> None:
        status = {
            "primary": "core-1",
            "cores": [{"node_id": "core-1", "phase": "primary", "in_sync": ["core-1", "core-2"]}],
            "nodes": [{"node_id": "front-1", "role": "front", "ready": True}],
            "role_owners": [{"role_key": "placer", "node_id": "c-1", "token": [3, 1]}],
            "emptied_zones": ["cairo-a"],
        }
        front = self.front((200, status))
        code, output, _ = self.ctl([front.address], "status")
        self.assertEqual(code, 0)
        for text in ("primary: core-1", "core-1,core-2", "front-1", "placer", "3,1", "cairo-a"):
            self.assertIn(text, output)
        self.assertEqual(json.loads(self.ctl([front.address], "status", "--json")[1]), status)

    def test_decisions_are_resumed_by_cursor(self) -> None:
        decision = {"cursor": "1.2.3", "kind": "load", "cause": "configuration 12", "summary": "s"}
        front = self.front(
            (200, {"decisions": [decision], "gap": True}),
            (400, {"error": {"code": "invalid", "message": "enough"}}),
        )
        code, output, errors = self.ctl(
            [front.address], "decisions", "--follow", "--after", "1.2.1"
        )
        afters = [request.query["after"] for request in front.requests()]
        self.assertEqual((code, afters), (exit_codes.INVALID, ["1.2.1", "1.2.3"]))
        self.assertIn("configuration 12", output)
        self.assertIn("gone", errors)

    def test_node_is_needed_and_checked(self) -> None:
        self.assertEqual(self.ctl([], "status")[0], exit_codes.USAGE)
        with self.assertRaises(SystemExit):
            self.ctl(["nowhere"], "status")

    def simulate(self, nodes: list, *arguments: str, config: bool = True) -> tuple:
        """Simulate a site with four replicas in two zones of cairo and one in alexandria."""
        places = [("cairo", "cairo-a")] * 2 + [("cairo", "cairo-b")] * 2
        places += [("alexandria", "alexandria-a")]
        replicas = [
            {
                "replica_id": f"m{number}",
                "region": region,
                "zone": zone,
                "resource": "gpu-large",
                "resource_units": 1.0,
                "loaded_models": [],
            }
            for number, (region, zone) in enumerate(places)
        ]
        document = json.loads((EXAMPLES / "payroll.json").read_bytes())
        route = next(r for r in document["routes"].values() if r["kind"] == "model")
        demand = {
            "model": route["model"],
            "latency_class": route["latency_class"],
            "source_region": "cairo",
            "tokens_per_s": 50.0,
        }
        world = {"replicas": replicas, "demand": [demand]}
        Path(self.file).write_text(json.dumps(world))
        chosen = ("--config", str(EXAMPLES / "payroll.json")) if config else ()
        command = ("placement", "simulate", *chosen, "--world", self.file, *arguments)
        return self.ctl(nodes, *command)

    def test_placement_simulate_plans_the_same_headroom_as_the_placer(self) -> None:
        configuration = read_configuration((EXAMPLES / "payroll.json").read_bytes()).ok
        problem = build_problem(configuration, DescribedWorld((), ()))
        self.assertEqual(problem.readiness, configuration.placement.readiness)
        self.assertNotEqual(problem.readiness, Readiness.NONE)

    def test_placement_simulate_without_a_place(self) -> None:
        code, output, errors = self.simulate([], "--without", "cairo-b")
        self.assertEqual((code, errors), (exit_codes.OK, ""))
        self.assertTrue(output.startswith("without cairo-b"))
        for line in ("before", "at once", "replanned"):
            self.assertIn(line, output)
        code, _, errors = self.simulate([], "--without", "nowhere")
        self.assertEqual(code, exit_codes.INVALID)
        self.assertIn("no replica is in 'nowhere'", errors)

    def test_placement_simulate_with_other_capacity(self) -> None:
        code, output, _ = self.simulate([], "--capacity", "cairo=9")
        self.assertEqual(code, exit_codes.OK)
        self.assertTrue(output.startswith("cairo with 9 replicas"))
        code, output, _ = self.simulate([], "--without", "cairo", "--capacity", "alexandria=0")
        self.assertEqual(code, exit_codes.FAILURE)  # no replica is left
        self.assertIn("would violate", output)
        for text, told in (
            ("atlantis=3", "the configuration has no region 'atlantis'"),
            ("cairo", "expected REGION=N"),
            ("cairo=999999999", "at most 10000 replicas"),
        ):
            code, _, errors = self.simulate([], "--capacity", text)
            self.assertEqual(code, exit_codes.INVALID)
            self.assertIn(told, errors)

    def test_placement_simulate_takes_the_running_configuration(self) -> None:
        document = json.loads((EXAMPLES / "payroll.json").read_bytes())
        front = self.front((200, document))
        code, output, errors = self.simulate([front.address], "--without", "cairo-b", config=False)
        self.assertEqual((code, errors), (exit_codes.OK, ""))
        self.assertIn("replanned", output)
        self.assertEqual([event.path for event in front.requests()], ["/v1/config"])
        code, _, errors = self.simulate([], config=False)
        self.assertEqual(code, exit_codes.USAGE)
        self.assertIn("--config FILE or --node IP:PORT", errors)

    def test_placement_simulate_lists_all_problems_of_the_world(self) -> None:
        world = Path(self.file)
        config = str(EXAMPLES / "payroll.json")
        world.write_text('{"replicas": [{"replica_id": "m1"}], "color": 1}')
        arguments = ("placement", "simulate", "--config", config, "--world", self.file)
        code, _, errors = self.ctl([], *arguments)
        self.assertEqual(code, exit_codes.INVALID)
        for text in ("region", "demand", "color"):
            self.assertIn(text, errors)
        world.write_text('{"replicas": [{"replica_')
        code, _, errors = self.ctl([], *arguments)
        self.assertEqual(code, exit_codes.INVALID)
        self.assertIn("no JSON", errors)
