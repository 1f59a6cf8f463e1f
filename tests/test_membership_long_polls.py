"""The hub against a plain model: who waits, who is answered, and with what."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rooklug.membership.long_poll_registry import LongPollRegistry, PollReply
from rooklug.membership.topic_store import TopicStore
from rooklug.model.topics import CONFIGURATION, PLAN
from rooklug.model.versions import version_key
from rooklug.wire.generated.control.ttypes import (
    PollRequest,
    TopicMark,
    TopicUpdate,
    VersionMark,
)

TOPICS = st.sampled_from([CONFIGURATION, PLAN])
MARKS = st.builds(VersionMark, st.integers(1, 3), st.integers(0, 4))
NODES = st.sampled_from(["a", "b", "c"])
ZERO = VersionMark(0, 0)


class HubMachine(RuleBasedStateMachine):
    """Polls, publications and time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = TopicStore()
        self.polls = LongPollRegistry(self.store)
        self.now = 0.0
        self.calls = 0
        self.newest: dict[str, tuple[int, int]] = {}
        self.waiting: dict[str, tuple[int, dict[str, VersionMark], float]] = {}
        self.open: set[int] = set()

    def expected(self, held: dict[str, VersionMark]) -> set[tuple[str, tuple[int, int]]]:
        return {
            (topic, self.newest[topic])
            for topic, mark in held.items()
            if self.newest.get(topic, (0, 0)) > version_key(mark)
        }

    def close(self, replies: list[PollReply], held: dict[int, dict]) -> None:
        for reply in replies:
            self.open.remove(reply.call_id)
            got = {(u.topic, version_key(u.version)) for u in reply.updates}
            assert got == held[reply.call_id], (got, held[reply.call_id])

    @rule(node=NODES, configuration=MARKS, plan=MARKS, wait_ms=st.sampled_from([0, 500, 99_999]))
    def poll(self, node: str, configuration: VersionMark, plan: VersionMark, wait_ms: int) -> None:
        self.calls += 1
        call, held = self.calls, {CONFIGURATION: configuration, PLAN: plan}
        self.open.add(call)
        request = PollRequest(node, [TopicMark(t, m) for t, m in held.items()], wait_ms)
        replies = self.polls.poll(call, request, self.now)
        expected = {call: self.expected(held)}
        earlier = self.waiting.pop(node, None)
        if earlier is not None:
            expected[earlier[0]] = set()
        answered = wait_ms == 0 or bool(expected[call])
        if not answered:
            self.waiting[node] = (call, held, self.now + min(wait_ms / 1000, 10.0))
        assert {r.call_id for r in replies} == (
            expected.keys() if answered else expected.keys() - {call}
        )
        self.close(replies, expected)

    @rule(topic=TOPICS, mark=MARKS)
    def publish(self, topic: str, mark: VersionMark) -> None:
        newer = version_key(mark) > self.newest.get(topic, (0, 0))
        assert self.store.offer(topic, mark, b"") == newer
        if newer:
            self.newest[topic] = version_key(mark)
        expected = {call: self.expected(held) for call, held, _ in self.waiting.values()}
        replies = self.polls.wake()
        assert {r.call_id for r in replies} == {call for call, found in expected.items() if found}
        self.close(replies, expected)
        self.forget_closed()

    @rule(seconds=st.sampled_from([0.1, 0.6, 11.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        due = {call for call, _, until in self.waiting.values() if until <= self.now}
        replies = self.polls.expire(self.now)
        assert {r.call_id for r in replies} == due
        self.close(replies, {call: set() for call in due})
        self.forget_closed()

    def forget_closed(self) -> None:
        self.waiting = {n: entry for n, entry in self.waiting.items() if entry[0] in self.open}

    @invariant()
    def every_open_call_waits(self) -> None:
        assert len(self.polls) == len(self.waiting)
        assert self.open == {call for call, _, _ in self.waiting.values()}


HubMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
HubTest = HubMachine.TestCase


class DeltaChoiceTest(unittest.TestCase):
    def test_a_delta_goes_only_to_holders_of_its_base(self) -> None:
        store = TopicStore()
        base, newest = VersionMark(1, 1), VersionMark(1, 3)
        delta = TopicUpdate(CONFIGURATION, newest, base, b"patch")
        store.offer(CONFIGURATION, newest, b"whole", (delta,))
        bodies = {
            mark: store.newer_than((TopicMark(CONFIGURATION, VersionMark(1, mark)),))
            for mark in (1, 2, 3)
        }
        self.assertEqual([u.body for u in bodies[1]], [b"patch"])
        self.assertEqual([u.body for u in bodies[2]], [b"whole"])
        self.assertEqual(bodies[3], [])
        whole = store.newer_than((TopicMark(CONFIGURATION, ZERO),))
        self.assertIsNone(whole[0].patch_base)
