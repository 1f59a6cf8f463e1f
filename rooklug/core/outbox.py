"""Collects the effects of one event, and keeps the continuations of calls in flight."""

from collections.abc import Callable
from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent, InternalEvent
from rooklug.engine.reducer import Identifiers


@attrs.frozen
class PendingCall:
    """The two continuations of a call in flight."""

    on_answer: Callable[[Any, float], None]
    on_failure: Callable[[float], None]


class Outbox:
    """The effects of one event in order, and the calls in flight."""

    def __init__(self, identifiers: Identifiers) -> None:
        self.identifiers = identifiers
        self._effects: list[fx.Effect] = []
        self._calls: dict[int, PendingCall] = {}

    def add(self, effect: fx.Effect) -> None:
        """Append one effect."""
        self._effects.append(effect)

    def emit(self, event: InternalEvent) -> None:
        """Deliver an internal event to the other components of this process."""
        self.add(EmitEvent(event))

    def log(self, level: str, message: str, **fields: Any) -> None:
        """Write one log line; ``fields`` are JSON values."""
        self.add(fx.Log(level, message, fields))

    def answer(self, call_id: int, answer: Any) -> None:
        """Answer a peer's request."""
        self.add(fx.Answer(call_id, answer))

    def call(
        self,
        address: str,
        request: Any,
        deadline_s: float,
        on_answer: Callable[[Any, float], None],
        on_failure: Callable[[float], None] = lambda now: None,
        not_after: float | None = None,
    ) -> None:
        """Send a request to "ip:port"; exactly one of the two continuations follows."""
        call_id = self.identifiers.next()
        self._calls[call_id] = PendingCall(on_answer, on_failure)
        self.add(fx.Call(call_id, address, request, deadline_s, not_after))

    def complete_call(self, event: ev.CallAnswered | ev.CallFailed, now: float) -> None:
        """Run the continuation of a call that has ended."""
        pending = self._calls.pop(event.call_id, None)
        if pending is None:
            return
        if isinstance(event, ev.CallAnswered):
            pending.on_answer(event.answer, now)
        else:
            pending.on_failure(now)

    def take(self) -> list[fx.Effect]:
        """Return and forget the collected effects."""
        effects, self._effects = self._effects, []
        return effects
