"""A reducer made of parts: each part has one job, its own state, and its own timers.

The composite routes events: HTTP requests by path prefix, peers' calls by type, results
by the id that the part issued, timers by the part that set them, notices by type.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import MetricSample


@attrs.frozen
class Notice(ev.Event):
    """Base of messages between the parts of one process."""


@attrs.frozen
class Notify(fx.Effect):
    """Deliver ``notice`` to every part that listens for its type. Never leaves the composite."""

    notice: Notice


class Part(Protocol):
    """One job inside a role.

    ``name`` is unique in the process. ``http_prefixes`` are the HTTP paths it serves on the
    main listener, ``http_listeners`` the named listeners whose every request it serves,
    ``head_first_paths`` those of them announced from the head alone, ``call_types`` the
    thrift requests it answers, ``notice_types`` the notices it listens for.
    Every part gets ``Started`` and ``StopRequested``.
    """

    name: str
    http_prefixes: tuple[str, ...]
    http_listeners: tuple[str, ...]
    head_first_paths: tuple[str, ...]
    call_types: tuple[type, ...]
    notice_types: tuple[type, ...]

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Take one event, return effects in order."""
        ...

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Figures of this moment."""
        ...


class PartDefaults:
    """A part that serves nothing; subclasses override what they need."""

    name = ""
    http_prefixes: tuple[str, ...] = ()
    http_listeners: tuple[str, ...] = ()
    head_first_paths: tuple[str, ...] = ()
    call_types: tuple[type, ...] = ()
    notice_types: tuple[type, ...] = ()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Ignore the event."""
        return []

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return no figures."""
        return ()


_TIMER_SEPARATOR = "/"
_NOT_FOUND_BODY = b'{"error":{"code":"unknown_path","message":"no such path"}}'


class CompositeReducer:
    """Runs parts as one reducer. Identifiers must come from one shared source."""

    def __init__(self, parts: Iterable[Part]) -> None:
        self.parts = {part.name: part for part in parts}
        self.head_first_paths = tuple(
            path for part in self.parts.values() for path in part.head_first_paths
        )
        self._prefixes = sorted(
            ((prefix, part) for part in self.parts.values() for prefix in part.http_prefixes),
            key=lambda entry: -len(entry[0]),
        )
        self._by_listener = {
            listener: part for part in self.parts.values() for listener in part.http_listeners
        }
        self._by_call_type = {
            call_type: part for part in self.parts.values() for call_type in part.call_types
        }
        self._by_call_id: dict[int, Part] = {}
        self._by_ticket: dict[int, Part] = {}
        self._by_request_id: dict[int, Part] = {}
        self._target_of = self._result_routes()
        self._claim_of = self._claims()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Route the event, then the notices it causes, until none is left."""
        outward: list[fx.Effect] = []
        pending: deque[tuple[Part, ev.Event]] = deque(self._targets(event, outward))
        while pending:
            part, part_event = pending.popleft()
            for effect in part.handle(part_event, now):
                if type(effect) is Notify:
                    pending.extend(self._listeners(effect.notice))
                    continue
                claim = self._claim_of.get(type(effect))
                outward.append(claim(part, effect) if claim else effect)
        return outward

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the figures of all parts."""
        return [sample for part in self.parts.values() for sample in part.metrics(now)]

    def _listeners(self, notice: Notice) -> list[tuple[Part, ev.Event]]:
        return [
            (part, notice) for part in self.parts.values() if isinstance(notice, part.notice_types)
        ]

    def _targets(self, event: ev.Event, outward: list[fx.Effect]) -> list[tuple[Part, ev.Event]]:
        if type(event) is ev.HttpRequestArrived:
            return self._http_target(event, outward)
        if type(event) is ev.TimerFired:
            part_name, _, timer = event.name.partition(_TIMER_SEPARATOR)
            return [(self.parts[part_name], ev.TimerFired(timer))]
        target_of = self._target_of.get(type(event))
        if target_of is None:
            return [(part, event) for part in self.parts.values()]
        part = target_of(event)
        return [(part, event)] if part is not None else []

    def _http_target(
        self, event: ev.HttpRequestArrived, outward: list[fx.Effect]
    ) -> list[tuple[Part, ev.Event]]:
        if event.listener in self._by_listener:
            part = self._by_listener[event.listener]
            self._by_request_id[event.request_id] = part
            return [(part, event)]
        for prefix, part in self._prefixes:
            if event.path.startswith(prefix):
                self._by_request_id[event.request_id] = part
                return [(part, event)]
        outward.append(fx.HttpRespond(event.request_id, 404, _NOT_FOUND_BODY))
        return []

    def _result_routes(self) -> dict[type, Callable[[Any], Part | None]]:
        """Return who gets an event, by its type; types that aren't here go to every part."""
        running = self._by_call_id
        tickets = self._by_ticket
        requests = self._by_request_id

        def keep_call(event: Any) -> Part | None:
            return running.get(event.call_id)

        def end_call(event: Any) -> Part | None:
            return running.pop(event.call_id, None)

        def end_ticket(event: Any) -> Part | None:
            return tickets.pop(event.ticket, None)

        return {
            ev.HttpResponseStarted: keep_call,
            ev.HttpBodyPiece: keep_call,
            ev.CallAnswered: end_call,
            ev.CallFailed: end_call,
            ev.HttpAnswered: end_call,
            ev.HttpResponseEnded: end_call,
            ev.HttpFailed: end_call,
            ev.WriteFinished: end_ticket,
            ev.WriteFailed: end_ticket,
            ev.Computed: end_ticket,
            ev.HttpRequestBody: lambda event: requests.get(event.request_id),
            ev.HttpRequestClosed: lambda event: requests.pop(event.request_id, None),
            ev.CallArrived: lambda event: self._by_call_type.get(type(event.request)),
        }

    def _claims(self) -> dict[type, Callable[[Part, Any], fx.Effect]]:
        """Return what to note of an effect on its way out, by its type."""

        def begin_call(part: Part, effect: Any) -> fx.Effect:
            self._by_call_id[effect.call_id] = part
            return effect

        def cancel_call(part: Part, effect: Any) -> fx.Effect:
            self._by_call_id.pop(effect.call_id, None)
            return effect

        def begin_ticket(part: Part, effect: Any) -> fx.Effect:
            self._by_ticket[effect.ticket] = part
            return effect

        def end_request(part: Part, effect: Any) -> fx.Effect:
            self._by_request_id.pop(effect.request_id, None)
            return effect

        return {
            fx.Call: begin_call,
            fx.HttpCall: begin_call,
            fx.CancelHttpCall: cancel_call,
            fx.WriteRecords: begin_ticket,
            fx.RewriteFile: begin_ticket,
            fx.Compute: begin_ticket,
            fx.HttpRespond: end_request,
            fx.HttpStreamEnd: end_request,
            fx.HttpStreamAbort: end_request,
            fx.StartTimer: lambda part, effect: fx.StartTimer(
                _timer_name(part, effect.name), effect.delay_s
            ),
            fx.CancelTimer: lambda part, effect: fx.CancelTimer(_timer_name(part, effect.name)),
        }


def _timer_name(part: Part, name: str) -> str:
    return f"{part.name}{_TIMER_SEPARATOR}{name}"
