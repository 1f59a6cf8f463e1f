"""A simulated front: the real executor and decision object, calling simulated replicas."""

from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.gateway.executor import GatewayExecutor
from rooklug.gateway.gateway_events import RequestCounted, ViewChanged
from rooklug.gateway.peer_exchange import PeerExchange
from rooklug.model.settings import NodeSettings
from rooklug_lab.policy.replicas import EmulatedReplica, Job
from rooklug_lab.policy.shapes import ZoneShape

if TYPE_CHECKING:
    from rooklug_lab.policy.world import PolicyWorld

HEAD_BYTES = 400
CHUNK_BYTES = 90
HANDSHAKE_S = 0.001
_EVENTS_OF_AN_ANSWER = (ev.HttpResponseCompleted, ev.HttpAnswered, ev.HttpFailed)


@attrs.define(eq=False)
class OpenCall:
    """A call to a replica; ``replica`` is None until the request has arrived there."""

    effect: fx.HttpCall
    address: str
    job: Job | None = None
    replica: EmulatedReplica | None = None


@attrs.define(eq=False)
class EmulatedFront:
    """A front. Each start creates a new executor and increments ``generation``.

    Timers and responses of an earlier generation are dropped. ``demand`` sums requests, prompt
    tokens and answer tokens by route and service since the last demand report.
    """

    name: str
    address: str
    zone: ZoneShape
    world: "PolicyWorld"
    build: Callable[[Random, Identifiers], GatewayExecutor]
    up: bool = True
    dark: bool = False
    generation: int = 0
    executor: GatewayExecutor | None = None
    exchange: PeerExchange | None = None
    demand: dict[tuple[str, str], list[float]] = attrs.field(factory=dict)
    _calls: dict[int, OpenCall] = attrs.field(factory=dict)
    _idle: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))

    def start(self) -> None:
        """Start the front with empty state and the current view."""
        self.generation += 1
        self.up = True
        self.dark = False
        self.demand = {}
        self._calls = {}
        self._idle = defaultdict(int)
        identifiers = Identifiers()
        self.executor = self.build(Random(f"{self.name}/{self.generation}"), identifiers)
        self.executor.handle(ev.Started(), self.world.now)
        self.exchange = self._build_exchange(identifiers)
        self._exchange_handle(ev.Started())
        self.deliver(ViewChanged(self.world.control.view))

    def stop(self, dark: bool) -> None:
        """Stop at once and cancel the calls at replicas; ``dark`` means a power loss."""
        self.up = False
        self.dark = dark
        for call in list(self._calls.values()):
            self._cancel(call)
        self._calls = {}

    def deliver(self, event: ev.Event) -> None:
        """Pass an event to the executor and carry out its effects; ignored while down."""
        if not self.up:
            return
        if isinstance(event, ViewChanged):
            self.executor.handle(event, self.world.now)
            self._exchange_handle(event)
            return
        for effect in self.executor.handle(event, self.world.now):
            self._apply_effect(effect)

    def forget_connections(self, address: str) -> None:
        """Drop the idle connections to an address whose process has stopped."""
        self._idle.pop(address, None)

    def _apply_effect(self, effect: fx.Effect) -> None:
        match effect:
            case fx.HttpCall():
                self._call(effect)
            case fx.CancelHttpCall():
                call = self._calls.pop(effect.call_id, None)
                if call is not None:
                    self._cancel(call)
            case fx.StartTimer():
                self._deliver_later(effect.delay_s, ev.TimerFired(effect.name))
            case EmitEvent():
                self._count(effect.event)
            case _:
                self.world.clients.handle_effect(self, effect)

    def _build_exchange(self, identifiers: Identifiers) -> PeerExchange:
        settings = NodeSettings(
            node_id=self.name,
            role="front",
            zone=self.zone.name,
            region=self.zone.region,
            listen_internal=self.address,
            listen_http=self.address,
            internal_address=self.address,
            http_address=self.address,
            seeds=(),
        )
        context = ProcessContext(self.name, str(self.generation), Random(0), identifiers)
        return PeerExchange(settings, context, self.executor.decision)

    def _exchange_handle(self, event: ev.Event) -> None:
        """Pass an event to the peer exchange and carry out its timers and calls."""
        for effect in self.exchange.handle(event, self.world.now):
            if isinstance(effect, fx.StartTimer):
                self._exchange_later(effect.delay_s, ev.TimerFired(effect.name))
            elif isinstance(effect, fx.Call):
                self._call_peer(effect)

    def _call_peer(self, effect: fx.Call) -> None:
        """Deliver a call to a peer and its answer back; if the peer is down, the call times out."""
        peer = self.world.front_at(effect.address)
        delay_s = self.world.network.delay_s(self.zone, peer.zone)
        request_event = ev.CallArrived(effect.call_id, self.name, effect.request)

        def arrive() -> None:
            if not peer.up:
                failed = ev.CallFailed(effect.call_id, "no answer", True)
                self._exchange_later(effect.deadline_s, failed)
                return
            for answer in peer.exchange.handle(request_event, self.world.now):
                self._exchange_later(delay_s, ev.CallAnswered(effect.call_id, answer.answer))

        self.world.scheduler.after(delay_s, arrive)

    def _exchange_later(self, delay_s: float, event: ev.Event) -> None:
        generation = self.generation

        def fire() -> None:
            if self.up and generation == self.generation:
                self._exchange_handle(event)

        self.world.scheduler.after(delay_s, fire)

    def _count(self, event: object) -> None:
        if not isinstance(event, RequestCounted):
            return
        counts = self.demand.setdefault((event.route, event.service), [0, 0, 0])
        counts[0] += 1
        counts[1] += event.request.prompt_tokens
        counts[2] += event.request.answer_tokens

    def _deliver_later(self, delay_s: float, event: ev.Event) -> None:
        generation = self.generation

        def fire() -> None:
            if generation == self.generation:
                self.deliver(event)

        self.world.scheduler.after(delay_s, fire)

    # Calls to replicas --------------------------------------------------------

    def _call(self, effect: fx.HttpCall) -> None:
        request = self.world.clients.request_of(self, effect)
        target = self.world.replica_at(effect.address)
        call = OpenCall(effect, effect.address)
        key = f"{self.name}/{effect.call_id}"
        call.job = Job(key, effect, request, lambda event: self._from_replica(call, event))
        self._calls[effect.call_id] = call
        delay_s = self.world.network.delay_s(self.zone, target.zone)
        begin_s = 0.0
        if self._idle[effect.address] > 0:
            self._idle[effect.address] -= 1
        elif not target.up:
            wait_s = effect.connect_deadline_s if target.dark else 2 * delay_s
            self._fail_later(wait_s, call, ev.SendState.NOT_SENT)
            return
        else:
            begin_s = 2 * delay_s + HANDSHAKE_S
            self.world.usage.connections += 1
        self.world.scheduler.after(begin_s + delay_s, lambda: self._arrive(call))
        self._fail_later(effect.deadline_s, call, ev.SendState.MAYBE_SENT)

    def _fail_later(self, delay_s: float, call: OpenCall, state: ev.SendState) -> None:
        """Fail a call after a delay, unless it has completed by then."""
        failed = ev.HttpFailed(call.effect.call_id, "no answer", state)

        def fail() -> None:
            if self._calls.get(call.effect.call_id) is call:
                self._handle_response_event(call, failed)

        self.world.scheduler.after(delay_s, fail)

    def _arrive(self, call: OpenCall) -> None:
        if self._calls.get(call.effect.call_id) is not call:
            return
        target = self.world.replica_at(call.address)
        if not target.up:
            if not target.dark:
                event = ev.HttpFailed(call.effect.call_id, "reset", ev.SendState.MAYBE_SENT)
                self._from_replica(call, event)
            return
        call.replica = target
        self.world.count_arrival(call.job)
        size = call.job.request.kind.request_bytes + HEAD_BYTES
        self.world.network.carry(self.zone, target.zone, size)
        target.arrive(call.job, self.world.random.random())

    def _from_replica(self, call: OpenCall, event: ev.Event) -> None:
        target = call.replica or self.world.replica_at(call.address)
        if isinstance(event, ev.HttpResponseStarted) and call.job.sequence is not None:
            self.world.record_prefill(call.job)
        if isinstance(event, _EVENTS_OF_AN_ANSWER):
            size = HEAD_BYTES + CHUNK_BYTES * call.job.delivered_events
            self.world.network.carry(target.zone, self.zone, size)
            self.world.record_longest_gap(call.job)
        delay_s = self.world.network.delay_s(target.zone, self.zone)
        generation = self.generation

        def arrive() -> None:
            if generation == self.generation and self._calls.get(call.effect.call_id) is call:
                self._handle_response_event(call, event)

        self.world.scheduler.after(delay_s, arrive)

    def _handle_response_event(self, call: OpenCall, event: ev.Event) -> None:
        if isinstance(event, _EVENTS_OF_AN_ANSWER):
            del self._calls[call.effect.call_id]
            if isinstance(event, ev.HttpFailed):
                self._cancel(call)
            else:
                self._idle[call.address] += 1
        self.deliver(event)

    def _cancel(self, call: OpenCall) -> None:
        if call.replica is not None:
            call.replica.cancel(call.job.key)
