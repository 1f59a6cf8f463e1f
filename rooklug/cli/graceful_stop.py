"""A part for roles that have nothing to finish: gives leases back, then stops."""

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent

# Long enough for the last lease renewal ("leaving") to be answered.
STOP_DELAY_S = 1.0
_TIMER = "stop"


class GracefulStop(BaseComponent):
    """Stops the process a moment after it was asked to."""

    name = "graceful-stop"

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event."""
        if isinstance(event, ev.StopRequested):
            return [fx.StartTimer(_TIMER, STOP_DELAY_S)]
        if event == ev.TimerFired(_TIMER):
            return [fx.StopProcess(0, "stopped on request")]
        return []
