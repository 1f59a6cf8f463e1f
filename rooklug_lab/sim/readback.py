"""A client that reads the configuration from one front after another until one answers."""

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import ProcessContext
from rooklug_lab.oracles.evidence import ReadBack

REQUEST_DEADLINE_S = 2.0
RETRY_DELAY_S = 0.3
_RETRY_TIMER = "again"


class ReadBackClient:
    """Sends ``GET /v1/config`` to the fronts in turn; ``result`` is None until one answers 200."""

    head_first_paths: tuple[str, ...] = ()

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self.result: ReadBack | None = None
        self._addresses = addresses
        self._context: ProcessContext | None = None
        self._attempts = 0

    def attach(self, context: ProcessContext) -> "ReadBackClient":
        """Set the context of the process that runs this reducer; return the reducer itself."""
        self._context = context
        return self

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Send a request at the start and after each retry delay; record the first 200."""
        if isinstance(event, ev.HttpAnswered) and event.status == 200:
            self.result = ReadBack(
                int(event.headers.get("x-rooklug-version", "0")),
                event.body,
                event.headers.get("x-rooklug-digest", ""),
            )
            return []
        if isinstance(event, ev.HttpAnswered | ev.HttpFailed):
            return [fx.StartTimer(_RETRY_TIMER, RETRY_DELAY_S)]
        address = self._addresses[self._attempts % len(self._addresses)]
        self._attempts += 1
        call_id = self._context.identifiers.next()
        return [fx.HttpCall(call_id, address, "GET", "/v1/config", b"", REQUEST_DEADLINE_S)]

    def metrics(self, now: float) -> tuple:
        """Return no metrics: the simulator reads ``result`` instead."""
        return ()
