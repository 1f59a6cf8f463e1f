"""A reducer composed of components, with the routing of events to them.

HTTP requests are routed by listener or path prefix, peers' calls by request type, results by the
id of the call or ticket, timers by the component name in the timer's name, and internal events by
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

    Results are routed by call id or ticket, so all components must take these from the one
    ``Identifiers`` of their ``ProcessContext``.
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
        self._prefix_routes = sorted(prefixes, key=lambda entry: -len(entry[0]))
        self._by_listener = {
            listener: component for component in members for listener in component.http_listeners
        }
        self._by_call_type = {
            call_type: component for component in members for call_type in component.call_types
        }
        self._by_call_id: dict[int, Component] = {}
        self._by_ticket: dict[int, Component] = {}
        self._by_request_id: dict[int, Component] = {}
        self._receiver_by_type = self._receiver_lookups()
        self._register_by_type = self._effect_registrations()

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Route the event, then the internal events that it causes, until none is pending.

        Returns
        -------
        The effects for the runtime, in the order in which the components returned them.
        """
        runtime_effects: list[fx.Effect] = []
        pending: deque[Delivery] = deque(self._deliveries(event, runtime_effects))
        while pending:
            component, delivered = pending.popleft()
            for effect in component.handle(delivered, now):
                if type(effect) is EmitEvent:
                    pending.extend(self._subscriber_deliveries(effect.event))
                    continue
                register = self._register_by_type.get(type(effect))
                runtime_effects.append(register(component, effect) if register else effect)
        return runtime_effects

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the samples of all components."""
        return [
            sample for component in self.components.values() for sample in component.metrics(now)
        ]

    def _subscriber_deliveries(self, event: InternalEvent) -> list[Delivery]:
        return [
            (component, event)
            for component in self.components.values()
            if isinstance(event, component.subscribes_to)
        ]

    def _deliveries(self, event: ev.Event, runtime_effects: list[fx.Effect]) -> list[Delivery]:
        if type(event) is ev.HttpRequestArrived:
            return self._http_deliveries(event, runtime_effects)
        if type(event) is ev.TimerFired:
            component_name, _, timer = event.name.partition(_TIMER_SEPARATOR)
            return [(self.components[component_name], ev.TimerFired(timer))]
        receiver_of = self._receiver_by_type.get(type(event))
        if receiver_of is None:
            return [(component, event) for component in self.components.values()]
        component = receiver_of(event)
        return [(component, event)] if component is not None else []

    def _http_deliveries(
        self, event: ev.HttpRequestArrived, runtime_effects: list[fx.Effect]
    ) -> list[Delivery]:
        component = self._by_listener.get(event.listener)
        if component is None:
            component = self._component_for_path(event.path)
        if component is None:
            runtime_effects.append(
                fx.HttpRespond(event.request_id, HTTP_NOT_FOUND, _NOT_FOUND_BODY)
            )
            return []
        self._by_request_id[event.request_id] = component
        return [(component, event)]

    def _component_for_path(self, path: str) -> Component | None:
        """Return the component whose prefix is the longest match of ``path``, None without one."""
        return next(
            (component for prefix, component in self._prefix_routes if path.startswith(prefix)),
            None,
        )

    def _receiver_lookups(self) -> dict[type, Callable[[Any], Component | None]]:
        """Return the lookup of an event's receiver, by event type.

        Events of other types go to all components. A None result drops the event.
        """
        calls = self._by_call_id
        tickets = self._by_ticket
        requests = self._by_request_id

        def caller(event: Any) -> Component | None:
            return calls.get(event.call_id)

        def caller_of_ended_call(event: Any) -> Component | None:
            return calls.pop(event.call_id, None)

        def owner_of_ended_ticket(event: Any) -> Component | None:
            return tickets.pop(event.ticket, None)

        return {
            ev.HttpResponseStarted: caller,
            ev.HttpBodyChunk: caller,
            ev.CallAnswered: caller_of_ended_call,
            ev.CallFailed: caller_of_ended_call,
            ev.HttpAnswered: caller_of_ended_call,
            ev.HttpResponseCompleted: caller_of_ended_call,
            ev.HttpFailed: caller_of_ended_call,
            ev.WriteFinished: owner_of_ended_ticket,
            ev.WriteFailed: owner_of_ended_ticket,
            ev.Computed: owner_of_ended_ticket,
            ev.HttpRequestBody: lambda event: requests.get(event.request_id),
            ev.HttpRequestClosed: lambda event: requests.pop(event.request_id, None),
            ev.CallArrived: lambda event: self._by_call_type.get(type(event.request)),
        }

    def _effect_registrations(self) -> dict[type, Callable[[Component, Any], fx.Effect]]:
        """Return the functions that record who started what, by effect type.

        Each returns the effect to pass to the runtime; timers get the component's name as a prefix.
        """

        def register_call(component: Component, effect: Any) -> fx.Effect:
            self._by_call_id[effect.call_id] = component
            return effect

        def forget_call(component: Component, effect: Any) -> fx.Effect:
            self._by_call_id.pop(effect.call_id, None)
            return effect

        def register_ticket(component: Component, effect: Any) -> fx.Effect:
            self._by_ticket[effect.ticket] = component
            return effect

        def forget_request(component: Component, effect: Any) -> fx.Effect:
            self._by_request_id.pop(effect.request_id, None)
            return effect

        def prefix_started_timer(component: Component, effect: Any) -> fx.Effect:
            return fx.StartTimer(_timer_name(component, effect.name), effect.delay_s)

        def prefix_cancelled_timer(component: Component, effect: Any) -> fx.Effect:
            return fx.CancelTimer(_timer_name(component, effect.name))

        return {
            fx.Call: register_call,
            fx.HttpCall: register_call,
            fx.CancelHttpCall: forget_call,
            fx.WriteRecords: register_ticket,
            fx.RewriteFile: register_ticket,
            fx.Compute: register_ticket,
            fx.HttpRespond: forget_request,
            fx.HttpStreamEnd: forget_request,
            fx.HttpStreamAbort: forget_request,
            fx.StartTimer: prefix_started_timer,
            fx.CancelTimer: prefix_cancelled_timer,
        }


def _timer_name(component: Component, name: str) -> str:
    """Return the name of a component's timer at the runtime: "component/timer"."""
    return f"{component.name}{_TIMER_SEPARATOR}{name}"
