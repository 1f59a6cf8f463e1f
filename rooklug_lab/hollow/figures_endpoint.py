"""Answers ``GET /lab/figures`` and ``GET /lab/standing`` of a hollow process."""

from collections.abc import Callable
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug_lab.standins.http import respond, respond_error

FIGURES_PATH = "/lab/figures"
STANDING_PATH = "/lab/standing"


class FiguresEndpoint(BaseComponent):
    """Gives the lab the figures of all nodes of its process, or a short summary of them."""

    name = "figures"

    def __init__(
        self, figures: Callable[[], dict[str, Any]], standing: Callable[[], dict[str, Any]]
    ) -> None:
        self._answers = {FIGURES_PATH: figures, STANDING_PATH: standing}

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Answer a request."""
        if not isinstance(event, ev.HttpRequestArrived):
            return []
        answer = self._answers.get(event.path)
        if answer is None:
            return [respond_error(event.request_id, 404, "unknown_path")]
        return [respond(event.request_id, 200, answer())]
