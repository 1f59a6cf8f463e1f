"""The simulated engine: step times, batching, the prefix cache and preemption."""

import unittest

from rooklug.gateway.requests import PrefixBlock
from rooklug_lab.policy.engine import Sequence, ServingEngine
from rooklug_lab.policy.shapes import EngineShape

SHAPE = EngineShape(
    slots=4,
    queue=2,
    memory_tokens=10_000,
    step_s=0.005,
    step_s_per_slot=0.0001,
    step_s_per_context_k=0.0,
    read_tokens_per_s=40_000.0,
    pair_s_per_million=0.0,
    chunk_tokens=4000,
    tokens_per_event=6,
)


def sequence(key: str, prompt: int, answer: int, at: float = 0.0, **fields) -> Sequence:
    parts = fields.pop("parts", (PrefixBlock(f"own-{key}", prompt),))
    return Sequence(key, fields.pop("priority", 1), parts, prompt, answer, at)


def run_until_idle(engine: ServingEngine) -> float:
    at = 0.0
    while engine.next_at < float("inf"):
        at = engine.next_at
        engine.finish_step()
    return at


class Batches(unittest.TestCase):
    def test_a_prompt_is_read_before_the_first_token(self):
        engine = ServingEngine(SHAPE)
        request = sequence("a", 4000, 1)
        engine.submit(request, 0.0)
        self.assertAlmostEqual(run_until_idle(engine), 0.105)
        self.assertAlmostEqual(request.first_at, 0.105)

    def test_tokens_come_slower_the_more_requests_run(self):
        def last_token(requests: int) -> float:
            engine = ServingEngine(SHAPE)
            for number in range(requests):
                engine.submit(sequence(str(number), 10, 100), 0.0)
            return run_until_idle(engine)

        self.assertGreater(last_token(4), last_token(1))

    def test_a_long_prompt_makes_others_pause(self):
        engine = ServingEngine(SHAPE)
        stream = sequence("stream", 10, 100)
        engine.submit(stream, 0.0)
        engine.finish_step()
        engine.submit(sequence("long", 9000, 1), 0.01)
        run_until_idle(engine)
        self.assertGreater(stream.longest_gap_s, 9000 / SHAPE.read_tokens_per_s)

    def test_merged_steps_give_the_same_times_as_single_ones(self):
        merged = ServingEngine(SHAPE)
        alone = sequence("a", 10, 60)
        merged.submit(alone, 0.0)
        end = run_until_idle(merged)
        self.assertEqual(alone.events, 1 + (60 - 1 + 5) // 6)
        self.assertAlmostEqual(end, 0.005 + 10 / 40_000 + 59 * 0.0051, places=6)

    def test_an_arrival_ends_merged_steps_at_the_present_one(self):
        engine = ServingEngine(SHAPE)
        engine.submit(sequence("a", 10, 500), 0.0)
        engine.finish_step()
        late = sequence("b", 10, 1, at=0.012)
        engine.submit(late, 0.012)
        run_until_idle(engine)
        self.assertLess(late.first_at, 0.03)

    def test_what_has_no_slot_waits_and_the_urgent_go_first(self):
        engine = ServingEngine(SHAPE)
        for number in range(4):
            engine.submit(sequence(f"{number}", 10, 50), 0.0)
        engine.finish_step()
        idle, urgent = sequence("idle", 10, 1, priority=5), sequence("urgent", 10, 1, priority=0)
        engine.submit(idle, 0.0)
        self.assertTrue(engine.admits(10))
        engine.submit(urgent, 0.0)
        self.assertFalse(engine.admits(10))
        run_until_idle(engine)
        self.assertLessEqual(urgent.began_at, idle.began_at)
        self.assertLessEqual(urgent.first_at, idle.first_at)


class Memory(unittest.TestCase):
    def test_a_shared_part_is_read_once_while_all_before_it_are_kept(self):
        engine = ServingEngine(SHAPE)
        shared = PrefixBlock("system", 3000)
        for name in ("a", "b"):
            request = sequence(name, 3100, 1, parts=(shared, PrefixBlock(name, 100)))
            engine.submit(request, engine.next_at if engine.next_at < 1e9 else 0.0)
            run_until_idle(engine)
        self.assertEqual(engine.tokens_read, 3100 + 100)
        self.assertEqual(request.kept_tokens, 3000)

    def test_a_part_without_those_before_it_is_read_again(self):
        engine = ServingEngine(SHAPE)
        first, second = PrefixBlock("system", 1000), PrefixBlock("document", 2000)
        engine.submit(sequence("a", 3000, 1, parts=(second, first)), 0.0)
        run_until_idle(engine)
        request = sequence("b", 3100, 1, parts=(first, second, PrefixBlock("b", 100)))
        engine.cache._parts.pop("system")
        engine.submit(request, 1.0)
        run_until_idle(engine)
        self.assertEqual(request.kept_tokens, 0)

    def test_the_longest_unused_parts_give_way(self):
        engine = ServingEngine(SHAPE)
        for name in ("a", "b", "c"):
            parts = (PrefixBlock(f"shared-{name}", 4000), PrefixBlock(name, 10))
            engine.submit(sequence(name, 4010, 1, parts=parts), 0.0)
            run_until_idle(engine)
        self.assertNotIn("shared-a", engine.cache._parts)
        self.assertIn("shared-c", engine.cache._parts)

    def test_answers_that_outgrow_the_memory_put_the_newest_least_urgent_back(self):
        engine = ServingEngine(SHAPE)
        urgent = sequence("urgent", 4500, 800, priority=0)
        idle = sequence("idle", 4500, 800, priority=5)
        engine.submit(urgent, 0.0)
        engine.submit(idle, 0.0)
        run_until_idle(engine)
        self.assertGreater(engine.preempted, 0)
        self.assertLess(urgent.longest_gap_s, idle.longest_gap_s)
        self.assertTrue(urgent.finished and idle.finished)

    def test_a_cancelled_request_frees_its_memory(self):
        engine = ServingEngine(SHAPE)
        request = sequence("a", 5000, 500)
        engine.submit(request, 0.0)
        engine.finish_step()
        engine.cancel(request)
        self.assertEqual(engine.cache.running_tokens, 0)
        self.assertEqual(engine.running, 0)
