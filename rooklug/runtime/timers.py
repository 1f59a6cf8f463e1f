"""Named timers on the event loop."""

import asyncio
from collections.abc import Callable

import attrs

from rooklug.engine.effects import CancelTimer, StartTimer


@attrs.define(eq=False)
class _Timer:
    """One start of a named timer; it never fires once it is replaced or cancelled."""

    name: str
    handle: asyncio.TimerHandle = attrs.field(init=False)


class Timers:
    """Calls ``on_due(name, is_current)`` for each due timer.

    The receiver calls ``is_current()`` once, right before it handles the timer's event: it removes
    the timer and returns True, or returns False if the timer was cancelled or replaced while its
    event was queued. Such a timer does not fire.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_due: Callable[[str, Callable[[], bool]], None],
    ) -> None:
        self._loop = loop
        self._on_due = on_due
        self._timers: dict[str, _Timer] = {}

    def start(self, effect: StartTimer) -> None:
        """Start a timer, replacing a pending one of the same name; a negative delay counts as 0."""
        self._cancel(effect.name)
        timer = _Timer(effect.name)
        timer.handle = self._loop.call_later(max(effect.delay_s, 0.0), self._fire, timer)
        self._timers[effect.name] = timer

    def cancel(self, effect: CancelTimer) -> None:
        """Cancel a timer; unknown names are ignored."""
        self._cancel(effect.name)

    def close(self) -> None:
        """Cancel all timers."""
        for name in list(self._timers):
            self._cancel(name)

    def _cancel(self, name: str) -> None:
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.handle.cancel()

    def _fire(self, timer: _Timer) -> None:
        self._on_due(timer.name, lambda: self._remove_if_current(timer))

    def _remove_if_current(self, timer: _Timer) -> bool:
        if self._timers.get(timer.name) is not timer:
            return False
        del self._timers[timer.name]
        return True
