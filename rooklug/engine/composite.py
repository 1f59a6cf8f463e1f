"""A reducer made of components, and the routing of events to them.

HTTP requests go by listener or path prefix, peers' calls by request type, results by the id
that the component issued, timers by the component that set them, internal events by
subscription. All other events go to every component, in the order of the components.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import Component, EmitEvent, InternalEvent
from rooklug.engine.reducer import MetricSample

Delivery = tuple[Component, ev.Event]

HTTP_NOT_FOUND = 404
_NOT_FOUND_BODY = b'{"error":{"code":"unknown_path","message":"no such path"}}'
_TIMER_SEPARATOR = "/"


class CompositeReducer:
    """Runs components as one reducer.

    Call ids and tickets are routed back by number, so all components must draw them from the
    one ``Identifiers`` of their ``ProcessContext``.
    """

    def __init__(self, components: Iterable[Component]) -> None:
        self.components = {component.name: component for component in components}
        members = tuple(self.components.values())
        self.head_first_paths = tuple(
            path for component in members for path in component.head_first_paths
        )
        prefixes = [
            (prefix, component) for component in members for prefix in component.http_prefixes
        ]
        self._prefixes = sorted(prefixes, key=lambda entry: -len(entry[0]))
        self._by_listener = {
            listener: component for component in members for listener in component.http_listeners
        }
        self._by_call_type = {
            call_type: component for component in members for call_type in component.call_types
        }
        self._by_call_id: dict[int, Component] = {}
        self._by_ticket: dict[int, Component] = {}
        self._by_request_id: dict[int, Component] = {}
        self._receiver_by_type = self._result_receivers()
        self._register_by_type = self._effect_registrations()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Route the event, then the internal events it causes, until none is left.

        Returns
        -------
        The effects for the runtime, in the order in which the components returned them.
        """
        outward: list[fx.Effect] = []
        pending: deque[Delivery] = deque(self._receivers(event, outward))
        while pending:
            component, delivered = pending.popleft()
            for effect in component.handle(delivered, now):
                if type(effect) is EmitEvent:
                    pending.extend(self._subscribers(effect.event))
                    continue
                register = self._register_by_type.get(type(effect))
                outward.append(register(component, effect) if register else effect)
        return outward

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the samples of all components."""
        return [
            sample for component in self.components.values() for sample in component.metrics(now)
        ]

    def _subscribers(self, event: InternalEvent) -> list[Delivery]:
        return [
            (component, event)
            for component in self.components.values()
            if isinstance(event, component.subscribes_to)
        ]

    def _receivers(self, event: ev.Event, outward: list[fx.Effect]) -> list[Delivery]:
        if type(event) is ev.HttpRequestArrived:
            return self._http_receiver(event, outward)
        if type(event) is ev.TimerFired:
            component_name, _, timer = event.name.partition(_TIMER_SEPARATOR)
            return [(self.components[component_name], ev.TimerFired(timer))]
        receiver_of = self._receiver_by_type.get(type(event))
        if receiver_of is None:
            return [(component, event) for component in self.components.values()]
        component = receiver_of(event)
        return [(component, event)] if component is not None else []

    def _http_receiver(
        self, event: ev.HttpRequestArrived, outward: list[fx.Effect]
    ) -> list[Delivery]:
        component = self._by_listener.get(event.listener)
        if component is None:
            component = self._by_prefix(event.path)
        if component is None:
            outward.append(fx.HttpRespond(event.request_id, HTTP_NOT_FOUND, _NOT_FOUND_BODY))
            return []
        self._by_request_id[event.request_id] = component
        return [(component, event)]

    def _by_prefix(self, path: str) -> Component | None:
        """Return the component with the longest prefix of ``path``."""
        return next(
            (component for prefix, component in self._prefixes if path.startswith(prefix)), None
        )

    def _result_receivers(self) -> dict[type, Callable[[Any], Component | None]]:
        """Return who receives an event, by its type; types that aren't here go to everyone."""
        calls = self._by_call_id
        tickets = self._by_ticket
        requests = self._by_request_id

        def caller(event: Any) -> Component | None:
            return calls.get(event.call_id)

        def caller_at_end(event: Any) -> Component | None:
            return calls.pop(event.call_id, None)

        def ticket_owner_at_end(event: Any) -> Component | None:
            return tickets.pop(event.ticket, None)

        return {
            ev.HttpResponseStarted: caller,
            ev.HttpBodyChunk: caller,
            ev.CallAnswered: caller_at_end,
            ev.CallFailed: caller_at_end,
            ev.HttpAnswered: caller_at_end,
            ev.HttpResponseCompleted: caller_at_end,
            ev.HttpFailed: caller_at_end,
            ev.WriteFinished: ticket_owner_at_end,
            ev.WriteFailed: ticket_owner_at_end,
            ev.Computed: ticket_owner_at_end,
            ev.HttpRequestBody: lambda event: requests.get(event.request_id),
            ev.HttpRequestClosed: lambda event: requests.pop(event.request_id, None),
            ev.CallArrived: lambda event: self._by_call_type.get(type(event.request)),
        }

    def _effect_registrations(self) -> dict[type, Callable[[Component, Any], fx.Effect]]:
        """Return what to register of an effect on its way out, by its type."""

        def begin_call(component: Component, effect: Any) -> fx.Effect:
            self._by_call_id[effect.call_id] = component
            return effect

        def cancel_call(component: Component, effect: Any) -> fx.Effect:
            self._by_call_id.pop(effect.call_id, None)
            return effect

        def begin_ticket(component: Component, effect: Any) -> fx.Effect:
            self._by_ticket[effect.ticket] = component
            return effect

        def end_request(component: Component, effect: Any) -> fx.Effect:
            self._by_request_id.pop(effect.request_id, None)
            return effect

        def start_timer(component: Component, effect: Any) -> fx.Effect:
            return fx.StartTimer(_timer_name(component, effect.name), effect.delay_s)

        def cancel_timer(component: Component, effect: Any) -> fx.Effect:
            return fx.CancelTimer(_timer_name(component, effect.name))

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
            fx.StartTimer: start_timer,
            fx.CancelTimer: cancel_timer,
        }


def _timer_name(component: Component, name: str) -> str:
    """Return the name under which the runtime knows a component's timer."""
    return f"{component.name}{_TIMER_SEPARATOR}{name}"
