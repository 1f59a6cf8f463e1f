"""Collects the effects of one event and tracks calls in flight."""

from collections.abc import Callable
from typing import Any

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent, InternalEvent
from rooklug.engine.reducer import Identifiers


@attrs.frozen
class PendingCall:
    """The continuations of a call in flight; exactly one of them will run."""

    on_answer: Callable[[Any, float], None]
    on_failure: Callable[[float], None]


class Outbox:
    """Collects effects in order, and runs a call's continuation when the call has ended."""

    def __init__(self, identifiers: Identifiers) -> None:
        self.identifiers = identifiers
        self._effects: list[fx.Effect] = []
        self._calls: dict[int, PendingCall] = {}

    def add(self, effect: fx.Effect) -> None:
        """Append an effect to those of the current event."""
        self._effects.append(effect)

    def emit(self, event: InternalEvent) -> None:
        """Emit an internal event to the other components of this process."""
        self.add(EmitEvent(event))

    def log(self, level: str, message: str, **fields: Any) -> None:
        """Write a log line; ``fields`` must be JSON values."""
        self.add(fx.Log(level, message, fields))

    def answer(self, call_id: int, answer: Any) -> None:
        """Send the answer to a peer's request."""
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
        """Send a request to ``address`` ("ip:port").

        Exactly one of the continuations runs later; ``on_failure`` also after ``deadline_s``
        without an answer. The request is not sent after the monotonic time ``not_after``.
        """
        call_id = self.identifiers.next()
        self._calls[call_id] = PendingCall(on_answer, on_failure)
        self.add(fx.Call(call_id, address, request, deadline_s, not_after))

    def complete_call(self, event: ev.CallAnswered | ev.CallFailed, now: float) -> None:
        """Run the continuation of a call that was answered or has failed."""
        pending = self._calls.pop(event.call_id, None)
        if pending is None:
            return
        if isinstance(event, ev.CallAnswered):
            pending.on_answer(event.answer, now)
        else:
            pending.on_failure(now)

    def take(self) -> list[fx.Effect]:
        """Return the collected effects and start a new collection."""
        effects, self._effects = self._effects, []
        return effects
