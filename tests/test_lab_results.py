import json
import os
import unittest
from types import SimpleNamespace

from rooklug_lab.demo import closing_line
from rooklug_lab.fleet.process_cost import (
    BYTES_PER_MB,
    CostSample,
    ProcessCost,
    cost_by_role,
    read_cost,
)
from rooklug_lab.oracles.evidence import Evidence, Fault
from rooklug_lab.scenarios.result import run_figures
from rooklug_lab.standins.journals import journal_body, read_journal
from rooklug_lab.standins.records import (
    Attempt,
    CallerJournal,
    CallerRequest,
    OperatorJournal,
    Outcome,
    ReplicaJournal,
)


def request(number: int, at_s: float, outcome: Outcome = Outcome.DONE) -> CallerRequest:
    attempt = Attempt(f"c-{number}-try1.", "127.0.0.1:1", at_s, outcome=outcome)
    return CallerRequest(
        f"c-{number}", "chat", "cairo", "model", at_s, 10.0, outcome=outcome, attempts=[attempt]
    )


def evidence(requests: list[CallerRequest]) -> Evidence:
    return Evidence(
        callers=[CallerJournal("c", requests)],
        faults=[Fault("primary-killed", "core-1", 10.0, 20.0)],
        traffic_started_s=0.0,
        traffic_ended_s=40.0,
    )


class FakeDemo:
    """What the closing line reads of a demo."""

    in_force_nodes = 11
    in_force_s = 0.25

    run = SimpleNamespace(problems=[])
    fleet = SimpleNamespace(next_version=6, deployment=SimpleNamespace(fronts=tuple(range(11))))


class FiguresTest(unittest.TestCase):
    def test_goodput_before_during_after(self):
        requests = [request(1, 5.0), request(2, 12.0, Outcome.NOT_RUN), request(3, 13.0)]
        figures = run_figures(evidence([*requests, request(4, 25.0)]))
        self.assertEqual(figures["goodput"], {"before": 1.0, "during": 0.5, "after": 1.0})
        self.assertEqual(figures["requests"], {"done": 3, "not_run": 1})

    def test_a_quarter_counts_answers_by_when_they_came(self):
        requests = [request(number, float(number)) for number in range(10)]
        late = request(11, 20.5)
        late.ended_s = 26.0
        figures = run_figures(evidence([*requests, late]))
        self.assertEqual(figures["seconds_to_a_quarter"], 6.0)

    def test_journals_survive_json(self):
        for journal in (CallerJournal("c", [request(1, 1.0)]), ReplicaJournal("r")):
            text = json.dumps(journal_body(journal))
            self.assertEqual(read_journal(type(journal), json.loads(text)), journal)


class CostTest(unittest.TestCase):
    def test_own_process_is_read(self):
        cost = read_cost(os.getpid())
        self.assertGreater(cost.processor_s, 0.0)
        self.assertGreater(cost.resident_bytes, BYTES_PER_MB)

    def test_share_by_role_without_restarted_ones(self):
        begin = CostSample(
            0.0, {"a": ProcessCost(1.0, 1), "b": ProcessCost(0.0, 1)}, {"a": 1, "b": 1}
        )
        end = CostSample(
            10.0,
            {"a": ProcessCost(2.0, 5 * BYTES_PER_MB), "b": ProcessCost(9.0, 1)},
            {"a": 1, "b": 2},
        )
        figures = cost_by_role(begin, end, {"a": "front", "b": "front"})
        self.assertEqual(figures, {"front": {"processor_share": 0.1, "resident_mb": 5.0}})


class ClosingLineTest(unittest.TestCase):
    def line(self, requests: list[CallerRequest]) -> tuple[str, list[str]]:
        seen = evidence(requests)
        seen.faults = []
        seen.operators = [OperatorJournal("o")]
        return closing_line(FakeDemo, seen)

    def test_passed(self):
        line, failures = self.line([request(1, 1.0)])
        self.assertEqual(
            line,
            "demo: passed, 1 of 1 requests served, "
            "configuration 5 in force on 11 of 11 nodes after 0.25 s",
        )
        self.assertEqual(failures, [])

    def test_a_request_that_was_not_served_fails_the_demo(self):
        line, failures = self.line([request(1, 1.0), request(2, 2.0, Outcome.UNKNOWN)])
        self.assertIn("demo: failed, 1 of 2 requests served", line)
        self.assertIn("c-2", failures[0])

    def test_a_broken_promise_fails_the_demo(self):
        wrong = request(1, 1.0)
        wrong.problems.append("index 3 where 2 was due")
        self.assertIn("demo: failed", self.line([wrong])[0])
