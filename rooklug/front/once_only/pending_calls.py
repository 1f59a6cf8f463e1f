"""Calls of a component that are in flight, each with a callback for its end."""

from collections.abc import Callable
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers

CallEnd = ev.CallAnswered | ev.CallFailed
OnEnd = Callable[[CallEnd, float], list[fx.Effect]]


class PendingCalls:
    """Creates calls and runs their callbacks when they are answered or fail."""

    def __init__(self, identifiers: Identifiers) -> None:
        self._identifiers = identifiers
        self._open: dict[int, OnEnd] = {}

    def call(
        self,
        address: str,
        request: Any,
        deadline_s: float,
        on_end: OnEnd,
        not_after: float | None = None,
    ) -> fx.Call:
        """Return the effect that sends a call; ``on_end`` gets its answer or failure.

        ``not_after`` is a monotonic time after which the call must not be sent.
        """
        call_id = self._identifiers.next()
        self._open[call_id] = on_end
        return fx.Call(call_id, address, request, deadline_s, not_after)

    def end(self, event: CallEnd, now: float) -> list[fx.Effect]:
        """Run the callback of a call that has ended; an unknown call is ignored."""
        on_end = self._open.pop(event.call_id, None)
        return on_end(event, now) if on_end else []
