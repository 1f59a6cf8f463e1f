"""Drives one stand-in reducer in virtual time."""

import json
from random import Random

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext


def make_context(seed: int = 1, node_id: str = "lab") -> ProcessContext:
    return ProcessContext(node_id, "i1", Random(seed), Identifiers())


class Bench:
    """Feeds events to a reducer, keeps its timers, and collects its other effects."""

    def __init__(self, reducer) -> None:
        self.reducer = reducer
        self.now = 0.0
        self.timers: dict[str, float] = {}
        self.out: list[fx.Effect] = []
        self._request_ids = 1000
        self.take(ev.Started())

    def take(self, event: ev.Event) -> list[fx.Effect]:
        effects = self.reducer.handle(event, self.now)
        self.absorb(effects)
        return effects

    def absorb(self, effects: list[fx.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, fx.StartTimer):
                self.timers[effect.name] = self.now + effect.delay_s
            elif isinstance(effect, fx.CancelTimer):
                self.timers.pop(effect.name, None)
            else:
                self.out.append(effect)

    def advance(self, seconds: float) -> None:
        """Fire the timers that are due within ``seconds``, in order."""
        end = self.now + seconds
        while self.timers:
            name, due = min(self.timers.items(), key=lambda entry: (entry[1], entry[0]))
            if due > end:
                break
            del self.timers[name]
            self.now = max(self.now, due)
            self.take(ev.TimerFired(name))
        self.now = end

    def request(self, method: str, path: str, body=None, headers=None, query=None) -> int:
        self._request_ids += 1
        data = b"" if body is None else json.dumps(body).encode()
        self.take(
            ev.HttpRequestArrived(self._request_ids, method, path, query or {}, headers or {}, data)
        )
        return self._request_ids

    def response(self, request_id: int) -> tuple[int, dict] | None:
        """Return status and JSON body of a whole response, or None."""
        for effect in self.out:
            if isinstance(effect, fx.HttpRespond) and effect.request_id == request_id:
                return effect.status, json.loads(effect.body)
        return None

    def lines(self, request_id: int) -> list[dict]:
        """Return the lines streamed to a request so far."""
        data = b"".join(
            effect.data
            for effect in self.out
            if isinstance(effect, fx.HttpStreamChunk) and effect.request_id == request_id
        )
        return [json.loads(line) for line in data.splitlines()]

    def ended(self, request_id: int) -> str:
        """Return "end", "abort" or ""."""
        for effect in self.out:
            if isinstance(effect, fx.HttpStreamEnd) and effect.request_id == request_id:
                return "end"
            if isinstance(effect, fx.HttpStreamAbort) and effect.request_id == request_id:
                return "abort"
        return ""

    def calls(self) -> list[fx.HttpCall]:
        """Return the HTTP calls made since the last time this was asked."""
        made = [effect for effect in self.out if isinstance(effect, fx.HttpCall)]
        self.out = [effect for effect in self.out if not isinstance(effect, fx.HttpCall)]
        return made
