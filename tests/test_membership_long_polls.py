"""The long-poll registry against a model: which polls are pending or answered, and with what."""

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
VERSIONS = st.builds(VersionMark, st.integers(1, 3), st.integers(0, 4))
NODES = st.sampled_from(["a", "b", "c"])
ZERO = VersionMark(0, 0)


class LongPollMachine(RuleBasedStateMachine):
    """Polls, publications and the passing of time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = TopicStore()
        self.polls = LongPollRegistry(self.store)
        self.now = 0.0
        self.calls = 0
        self.newest: dict[str, tuple[int, int]] = {}
        self.pending: dict[str, tuple[int, dict[str, VersionMark], float]] = {}
        self.unanswered_calls: set[int] = set()

    def expected(self, known_versions: dict[str, VersionMark]) -> set[tuple[str, tuple[int, int]]]:
        return {
            (topic, self.newest[topic])
            for topic, version in known_versions.items()
            if self.newest.get(topic, (0, 0)) > version_key(version)
        }

    def check_replies(self, replies: list[PollReply], known_versions: dict[int, dict]) -> None:
        for reply in replies:
            self.unanswered_calls.remove(reply.call_id)
            delivered = {(u.topic, version_key(u.version)) for u in reply.updates}
            assert delivered == known_versions[reply.call_id], (
                delivered,
                known_versions[reply.call_id],
            )

    @rule(
        node=NODES, configuration=VERSIONS, plan=VERSIONS, wait_ms=st.sampled_from([0, 500, 99_999])
    )
    def poll(self, node: str, configuration: VersionMark, plan: VersionMark, wait_ms: int) -> None:
        self.calls += 1
        call, known_versions = self.calls, {CONFIGURATION: configuration, PLAN: plan}
        self.unanswered_calls.add(call)
        request = PollRequest(node, [TopicMark(t, m) for t, m in known_versions.items()], wait_ms)
        replies = self.polls.poll(call, request, self.now)
        expected = {call: self.expected(known_versions)}
        earlier = self.pending.pop(node, None)
        if earlier is not None:
            expected[earlier[0]] = set()
        answered = wait_ms == 0 or bool(expected[call])
        if not answered:
            self.pending[node] = (call, known_versions, self.now + min(wait_ms / 1000, 10.0))
        assert {r.call_id for r in replies} == (
            expected.keys() if answered else expected.keys() - {call}
        )
        self.check_replies(replies, expected)

    @rule(topic=TOPICS, version=VERSIONS)
    def publish(self, topic: str, version: VersionMark) -> None:
        newer = version_key(version) > self.newest.get(topic, (0, 0))
        assert self.store.offer(topic, version, b"") == newer
        if newer:
            self.newest[topic] = version_key(version)
        expected = {
            call: self.expected(known_versions) for call, known_versions, _ in self.pending.values()
        }
        replies = self.polls.wake()
        assert {r.call_id for r in replies} == {call for call, found in expected.items() if found}
        self.check_replies(replies, expected)
        self.remove_answered()

    @rule(seconds=st.sampled_from([0.1, 0.6, 11.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        due = {call for call, _, until in self.pending.values() if until <= self.now}
        replies = self.polls.expire(self.now)
        assert {r.call_id for r in replies} == due
        self.check_replies(replies, {call: set() for call in due})
        self.remove_answered()

    def remove_answered(self) -> None:
        self.pending = {
            n: entry for n, entry in self.pending.items() if entry[0] in self.unanswered_calls
        }

    @invariant()
    def every_unanswered_call_is_pending(self) -> None:
        assert len(self.polls) == len(self.pending)
        assert self.unanswered_calls == {call for call, _, _ in self.pending.values()}


LongPollMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
LongPollMachineTest = LongPollMachine.TestCase


class DeltaChoiceTest(unittest.TestCase):
    def test_delta_is_sent_only_to_nodes_with_its_base(self) -> None:
        store = TopicStore()
        base, newest = VersionMark(1, 1), VersionMark(1, 3)
        delta = TopicUpdate(CONFIGURATION, newest, base, b"patch")
        store.offer(CONFIGURATION, newest, b"whole", (delta,))
        bodies = {
            version: store.newer_than((TopicMark(CONFIGURATION, VersionMark(1, version)),))
            for version in (1, 2, 3)
        }
        self.assertEqual([u.body for u in bodies[1]], [b"patch"])
        self.assertEqual([u.body for u in bodies[2]], [b"whole"])
        self.assertEqual(bodies[3], [])
        full = store.newer_than((TopicMark(CONFIGURATION, ZERO),))
        self.assertIsNone(full[0].patch_base)
