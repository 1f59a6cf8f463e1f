"""A simulated serving engine with continuous batching and chunked prefill.

Every step generates one token for each decoding request. Prompts are prefilled in chunks within
the same steps, which makes these longer. The length of a step grows with the batch, with the
context that it attends to, and with the prompt tokens that it prefills. Consecutive steps without
prefill are simulated as one event of up to ``MERGED_S``.
"""

import math

import attrs

from rooklug.gateway.requests import PrefixBlock
from rooklug_lab.policy.part_cache import PartCache
from rooklug_lab.policy.shapes import EngineShape

MERGED_S = 0.2
"""Decode-only steps are merged into one event up to this duration."""
NEVER = math.inf
_MILLION = 1e6
_THOUSAND = 1e3


@attrs.define(eq=False)
class Sequence:
    """One request at an engine and its progress. Times are virtual seconds.

    ``kept_tokens`` are the prompt tokens found in the prefix cache, ``prefill_tokens_left`` those
    still to be prefilled, ``emitted`` the generated tokens.
    """

    key: str
    priority: int
    parts: tuple[PrefixBlock, ...]
    prompt_tokens: int
    answer_tokens: int
    arrived_at: float
    kept_tokens: int = 0
    prefill_tokens_left: int = 0
    emitted: int = 0
    began_at: float = 0.0
    first_at: float = 0.0
    last_event_at: float = 0.0
    next_event_token: int = 1
    events: int = 0
    longest_gap_s: float = 0.0

    @property
    def context(self) -> int:
        """Tokens that a step attends to: the prefilled part of the prompt and the answer so far."""
        return self.prompt_tokens - self.prefill_tokens_left + self.emitted

    @property
    def finished(self) -> bool:
        """Whether all tokens of the answer are generated."""
        return self.emitted >= self.answer_tokens


@attrs.define
class _Step:
    began_at: float
    length_s: float
    count: int
    prefills: list[tuple[Sequence, int]]
    decoding: list[Sequence]

    @property
    def ends_at(self) -> float:
        return self.began_at + self.length_s * self.count


@attrs.define(eq=False)
class ServingEngine:
    """One replica's engine. ``slowness`` multiplies the length of every step.

    Requests move from ``waiting`` through ``prefilling`` to ``decoding``.
    """

    shape: EngineShape
    slowness: float = 1.0
    cache: PartCache = attrs.field(default=None)
    waiting: list[Sequence] = attrs.field(factory=list)
    prefilling: list[Sequence] = attrs.field(factory=list)
    decoding: list[Sequence] = attrs.field(factory=list)
    preempted: int = 0
    tokens_read: int = 0
    _step: _Step | None = None

    def __attrs_post_init__(self) -> None:
        """Create the empty prefix cache."""
        self.cache = PartCache(self.shape.memory_tokens)

    @property
    def running(self) -> int:
        """Number of requests in prefill or decoding, each of which holds a slot."""
        return len(self.prefilling) + len(self.decoding)

    @property
    def next_at(self) -> float:
        """When the current step ends; ``NEVER`` while idle."""
        return self._step.ends_at if self._step else NEVER

    def admits(self, prompt_tokens: int) -> bool:
        """Return whether a request fits into the memory and the queue has room for it."""
        fits = prompt_tokens <= self.shape.memory_tokens
        return fits and len(self.waiting) < self.shape.queue

    def submit(self, sequence: Sequence, now: float) -> None:
        """Queue a request by priority and arrival; it can be admitted when the next step begins."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda s: (s.priority, s.arrived_at))
        self._truncate_merged_steps(now)
        if self._step is None:
            self._begin_step(now)

    def cancel(self, sequence: Sequence) -> None:
        """Remove a request whose caller has closed; the current step keeps its length."""
        for held in (self.waiting, self.prefilling, self.decoding):
            if sequence in held:
                held.remove(sequence)
                if held is not self.waiting:
                    self.cache.running_tokens -= self._own_tokens(sequence)

    def finish_step(self) -> list[Sequence]:
        """Finish the current step and begin the next; return those that decoded in it."""
        step, self._step = self._step, None
        moved = [sequence for sequence in step.decoding if sequence in self.decoding]
        for sequence in moved:
            self._decode(sequence, step)
        for sequence, tokens in step.prefills:
            if sequence in self.prefilling:
                sequence.prefill_tokens_left -= tokens
                self.tokens_read += tokens
                if sequence.prefill_tokens_left <= 0:
                    self._begin_answer(sequence, step.ends_at)
                    moved.append(sequence)
        for sequence in moved:
            if sequence.finished:
                self.decoding.remove(sequence)
                self.cache.running_tokens -= self._own_tokens(sequence)
        self._begin_step(step.ends_at)
        return moved

    def _begin_answer(self, sequence: Sequence, now: float) -> None:
        self.prefilling.remove(sequence)
        self.decoding.append(sequence)
        self.cache.store(sequence.parts)
        if sequence.emitted:  # resumes after a preemption
            return
        sequence.first_at = sequence.last_event_at = now
        sequence.emitted = 1
        sequence.events = 1
        sequence.next_event_token = 1 + self.shape.tokens_per_event

    def _decode(self, sequence: Sequence, step: _Step) -> None:
        before = sequence.emitted
        after = min(before + step.count, sequence.answer_tokens)
        sequence.emitted = after
        self.cache.running_tokens += after - before
        every = self.shape.tokens_per_event
        due = min(sequence.next_event_token, sequence.answer_tokens)
        if after < due:
            return
        first_at = step.began_at + (due - before) * step.length_s
        gap_s = first_at - sequence.last_event_at
        sequence.longest_gap_s = max(sequence.longest_gap_s, gap_s)
        more = (after - due) // every
        sequence.events += 1 + more
        sequence.last_event_at = first_at + more * every * step.length_s
        sequence.next_event_token = due + (more + 1) * every
        if sequence.finished and due + more * every < after:
            sequence.events += 1  # the last event holds the remaining tokens
            sequence.last_event_at = step.began_at + (after - before) * step.length_s

    def _begin_step(self, now: float) -> None:
        self._admit(now)
        if not self.prefilling and not self.decoding:
            return
        prefills, pairs = self._plan_prefill()
        self._preempt()
        shape = self.shape
        context = sum(sequence.context for sequence in self.decoding)
        length_s = shape.step_s + shape.step_s_per_slot * len(self.decoding)
        length_s += shape.step_s_per_context_k * context / _THOUSAND
        length_s += sum(tokens for _, tokens in prefills) / shape.read_tokens_per_s
        length_s += pairs / _MILLION * shape.pair_s_per_million
        length_s *= self.slowness
        count = 1 if prefills else self._mergeable(length_s)
        self._step = _Step(now, length_s, count, prefills, list(self.decoding))

    def _mergeable(self, length_s: float) -> int:
        least_left = min(s.answer_tokens - s.emitted for s in self.decoding)
        return max(1, min(least_left, int(MERGED_S / length_s)))

    def _plan_prefill(self) -> tuple[list[tuple[Sequence, int]], float]:
        budget, pairs = self.shape.chunk_tokens, 0.0
        prefills = []
        for sequence in self.prefilling:
            tokens = min(budget, sequence.prefill_tokens_left)
            if tokens <= 0:
                break
            pairs += tokens * (sequence.context + tokens / 2)
            prefills.append((sequence, tokens))
            budget -= tokens
        return prefills, pairs

    def _admit(self, now: float) -> None:
        while self.waiting and self.running < self.shape.slots:
            sequence = self.waiting[0]
            own = self._own_tokens(sequence)
            if self.cache.running_tokens + own > self.shape.memory_tokens and self.running:
                return
            self.waiting.pop(0)
            if not sequence.began_at:
                sequence.began_at = now
            sequence.kept_tokens = self.cache.kept_tokens(sequence.parts)
            kept = min(sequence.kept_tokens, sequence.prompt_tokens - 1)
            sequence.prefill_tokens_left = sequence.prompt_tokens - kept + sequence.emitted
            self.cache.running_tokens += own
            self.cache.evict_to_fit()
            self.prefilling.append(sequence)

    def _preempt(self) -> None:
        """Requeue the newest of the least urgent requests while the answers exceed the memory."""
        while self.cache.running_tokens > self.shape.memory_tokens and len(self.decoding) > 1:
            victim = max(self.decoding, key=lambda s: (s.priority, s.arrived_at))
            self.decoding.remove(victim)
            self.cache.running_tokens -= self._own_tokens(victim)
            self.waiting.insert(0, victim)
            self.preempted += 1

    def _own_tokens(self, sequence: Sequence) -> int:
        shared = sum(part.tokens for part in sequence.parts[:-1])
        return max(sequence.prompt_tokens - shared, 1) + sequence.emitted

    def _truncate_merged_steps(self, now: float) -> None:
        """Truncate merged steps after the one in progress, so that a new request can join."""
        step = self._step
        if step is not None and step.count > 1:
            passed = max(1, math.ceil((now - step.began_at) / step.length_s))
            step.count = min(step.count, passed)
