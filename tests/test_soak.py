"""The soak: its plan repeats, each oracle speaks, and a short seeded run holds."""

import json
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import attrs

from rooklug_lab.soak.clients import problem_of
from rooklug_lab.soak.command import read_report, soak, write_report
from rooklug_lab.soak.director import SoakSettings
from rooklug_lab.soak.http import Message
from rooklug_lab.soak.ledger import Change, Ledger, ProcessEnd, Request, Run
from rooklug_lab.soak.oracles import ORACLES, RECOVERY_S, judge
from rooklug_lab.soak.plan import DISK_GAP_S, Kind, draw_plan
from rooklug_lab.soak.replicas import HEADERS, expected_body, stream_event
from rooklug_lab.soak.site import Process, outside

ROOT = Path(__file__).resolve().parent.parent
SEED = 7
EVENT_SECONDS = 15.0
PREFIX_FIELD = "path_prefix"
BODY = b'{"version": 1}'


def change(version: int, base: int = 0, status: int = 200, valid: bool = True) -> Change:
    body = b'{"version": %d}' % version
    return Change(version, base, valid, body, 1.0, answered_at=2.0, status=status)


def sound_ledger() -> Ledger:
    """Return a ledger that breaks no rule."""
    late = 1.0 + RECOVERY_S
    return Ledger(
        requests=[Request("a", "/once/1", "front-0", late, late + 0.1, 200, True)],
        runs=[Run("a", "r-0-1", late)],
        changes=[change(1)],
        ends=[ProcessEnd("front-0", 0, 5.0, True), ProcessEnd("core-0", -9, 5.0, True)],
        read_back=BODY,
        read_back_after_restart=BODY,
        quiet_from=0.0,
    )


def refused(status: int) -> Request:
    return Request("a", "/once/1", "front-0", 20.0, 20.1, status, True)


BROKEN = {
    "runs_once": {"runs": [Run("a", "r-0-1", 1.0), Run("a", "r-1-1", 1.2)]},
    "promises_hold": {"requests": [refused(503)]},
    "only_asked": {"runs": [Run("nobody", "r-0-1", 1.0)]},
    "answers_are_whole": {
        "requests": [attrs.evolve(refused(200), problem="the answer belongs to b")]
    },
    "invalid_is_refused": {"changes": [change(1), change(2, 1, 200, False)]},
    "acknowledged_is_kept": {"changes": [change(1), change(2, 1)]},
    "bases_are_taken_once": {"changes": [change(1), change(2)]},
    "processes_stay": {"ends": [ProcessEnd("core-0", 70, 5.0, False)]},
    "stops_are_clean": {"ends": [ProcessEnd("core-0", 70, 5.0, True)]},
    "service_returns": {"requests": [refused(502)]},
    "fronts_answer": {"unready_fronts": ["front-0"]},
}


class Oracles(unittest.TestCase):
    def test_a_sound_ledger_breaks_nothing(self):
        self.assertEqual(judge(sound_ledger()), {})

    def test_each_oracle_speaks(self):
        self.assertEqual(set(BROKEN), set(ORACLES))
        for name, fields in BROKEN.items():
            with self.subTest(name):
                ledger = sound_ledger()
                for field, value in fields.items():
                    setattr(ledger, field, value)
                self.assertIn(name, judge(ledger))

    def test_a_configuration_that_is_lost_or_changed_is_noticed(self):
        for field in ("read_back", "read_back_after_restart"):
            for body in (b"", b'{"version": 1, "routes": []}', b'{"version": 9}'):
                ledger = sound_ledger()
                setattr(ledger, field, body)
                self.assertIn("acknowledged_is_kept", judge(ledger))

    def test_an_order_without_a_clear_answer_is_noticed(self):
        ledger = sound_ledger()
        ledger.changes.append(change(2, 1, 0))
        self.assertIn("invalid_is_refused", judge(ledger))

    def test_the_same_configuration_sent_twice_is_one_change(self):
        # Two operators drew the same document, and the soak took that for two changes.
        ledger = sound_ledger()
        ledger.changes.append(attrs.evolve(ledger.changes[-1]))
        self.assertEqual(judge(ledger), {})
        ledger.changes.append(attrs.evolve(ledger.changes[-1], body=b"{}"))
        self.assertIn("bases_are_taken_once", judge(ledger))

    def test_repeatable_requests_may_run_twice(self):
        ledger = sound_ledger()
        ledger.requests[0].path = "/again/1"
        ledger.runs.append(Run("a", "r-1-1", 2.0))
        self.assertEqual(judge(ledger), {})


class Answers(unittest.TestCase):
    def answer(self, body: bytes, complete: bool = True, **headers: str) -> Message:
        lines = {HEADERS.request_id: "a", HEADERS.signature: "r-1", **headers}
        return Message("HTTP/1.1 200 OK", lines, body, complete)

    def test_another_requests_body_or_id_is_a_problem(self):
        self.assertEqual(problem_of(self.answer(expected_body("a", "r-1")), "a", "/once/1"), "")
        self.assertTrue(problem_of(self.answer(expected_body("b", "r-1")), "a", "/once/1"))
        self.assertTrue(problem_of(self.answer(expected_body("a", "r-1")), "b", "/once/1"))
        unsigned = self.answer(expected_body("a", "r-1"), **{HEADERS.signature: ""})
        self.assertTrue(problem_of(unsigned, "a", "/once/1"))

    def test_a_stream_that_looks_complete_must_be_whole(self):
        events = [stream_event("a", "r-1", number) for number in range(1, 7)]
        self.assertEqual(problem_of(self.answer(b"".join(events)), "a", "/stream/1"), "")
        for wrong in (events[:-1], [*events[:2], *events[3:]], [*events, events[-1]]):
            self.assertTrue(problem_of(self.answer(b"".join(wrong)), "a", "/stream/1"))
        cut = self.answer(b"".join(events[:3]), complete=False)
        self.assertEqual(problem_of(cut, "a", "/stream/1"), "")


class Ends(unittest.TestCase):
    def test_only_a_hang_up_during_the_start_is_excused(self):
        # SIGHUP ends a process that hasn't run its first line; the soak took that for a fault.
        process = Process("core-0", "core", "127.0.0.1", "zone")
        self.assertFalse(process.is_ended_by_us(-signal.SIGHUP))
        process.may_hang_up = True
        self.assertTrue(process.is_ended_by_us(-signal.SIGHUP))
        for code in (0, 1, 2, 70, -signal.SIGSEGV):
            self.assertFalse(process.is_ended_by_us(code))


class Plans(unittest.TestCase):
    def test_the_same_seed_gives_the_same_plan(self):
        self.assertEqual(draw_plan(3, 60.0, 3), draw_plan(3, 60.0, 3))
        self.assertNotEqual(draw_plan(3, 60.0, 3), draw_plan(4, 60.0, 3))

    def test_every_kind_is_drawn(self):
        drawn = {event.kind for seed in range(40) for event in draw_plan(seed, 60.0, 3)}
        self.assertEqual(drawn, set(Kind))

    def test_no_core_is_disturbed_near_the_loss_of_a_disk(self):
        cores = {Kind.KILL, Kind.STOP, Kind.FREEZE, Kind.ROLL}
        for seed in range(100):
            plan = draw_plan(seed, 60.0, 3)
            for lost in (event for event in plan if event.kind is Kind.LOSE_DISK):
                near = [e for e in plan if abs(e.at - lost.at) < DISK_GAP_S and e != lost]
                disturbed = [e for e in near if e.role == "core" and e.kind in cores]
                self.assertEqual(disturbed, [])


class ShortRun(unittest.TestCase):
    def test_a_short_seeded_soak_holds(self):
        with tempfile.TemporaryDirectory() as folder:
            settings = SoakSettings(SEED, EVENT_SECONDS, 3)
            result = soak(settings, Path(folder))
            report = Path(folder) / "report.json"
            write_report(report, result, Path(folder))
            self.assertEqual(read_report(report), (settings, result.plan))
        self.assertEqual(result.broken, {})
        self.assertGreater(len(result.ledger.runs), 100)


class Interrupted(unittest.TestCase):
    def test_a_stopped_soak_ends_its_processes_and_writes_the_report(self):
        with tempfile.TemporaryDirectory() as folder:
            report = Path(folder) / "report.json"
            command = "from rooklug_lab.cli import main; import sys; sys.exit(main(sys.argv[1:]))"
            arguments = ["soak", "--seed", "4", "--seconds", "60", "--report", str(report)]
            with subprocess.Popen(
                [sys.executable, "-c", command, *arguments], cwd=ROOT, stdout=subprocess.PIPE
            ) as running:
                running.stdout.readline()  # the first event was carried out
                children = _children_of(running.pid)
                running.send_signal(signal.SIGTERM)
                output = running.stdout.read()
            self.assertEqual(running.returncode, 1)
            self.assertIn(b"interrupted", output)
            self.assertTrue(json.loads(report.read_text())["plan"])
        self.assertGreaterEqual(len(children), 4)
        self.assertEqual([pid for pid in children if Path(f"/proc/{pid}").exists()], [])


def _children_of(pid: int) -> list[int]:
    """Return the ids of a process's children, of all its threads."""
    tasks = Path(f"/proc/{pid}/task").glob("*/children")
    return [int(child) for task in tasks for child in task.read_text().split()]


class HostileDocuments(unittest.TestCase):
    def test_half_a_character_is_sent_as_its_escape(self):
        body = outside.configuration_body({"routes": [{"name": "\ud83d", "prefix": "/x/"}]})
        self.assertIn(b"\\ud83d", body)
        self.assertIn(PREFIX_FIELD, json.loads(body)["routes"][0])
