"""Graceful stop of roles without requests in flight: releases the leases, then stops."""

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent

# Time for the answer to the last lease renewal, which says that the node is leaving.
STOP_DELAY_S = 1.0
_TIMER = "stop"


class GracefulStop(BaseComponent):
    """Stops the process ``STOP_DELAY_S`` after the request to stop."""

    name = "graceful-stop"

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Start the delay on ``StopRequested``; stop the process when it has elapsed."""
        if isinstance(event, ev.StopRequested):
            return [fx.StartTimer(_TIMER, STOP_DELAY_S)]
        if event == ev.TimerFired(_TIMER):
            return [fx.StopProcess(0, "stopped on request")]
        return []
