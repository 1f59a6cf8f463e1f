"""Cores and nodes of membership tests in virtual time, with a scripted fake of replication."""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

import attrs

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, EmitEvent, InternalEvent
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.membership.build import build_membership_components
from rooklug.model import internal_events as internal
from rooklug.model.constants import PRIMARY_HEARTBEAT_S, PRIMARY_LEASE_S
from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug.model.topics import PLAN, ROLE_PLACER
from rooklug.model.versions import is_newer, version_key
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.control import ttypes

RATES = (0.99, 1.0, 1.01)
CORES = ("core-a", "core-b", "core-c")
ZONES = ("zone-a", "zone-b", "zone-c")


@attrs.frozen
class Tell:
    """Makes the fake replication emit events."""

    events: tuple[InternalEvent, ...]


class FakeReplication(BaseComponent):
    name = "replication"
    call_types = (Tell,)

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        told = event.request.events if isinstance(event, ev.CallArrived) else ()
        return [EmitEvent(event) for event in told]


class Observer(BaseComponent):
    """Publishes plans while it is the placer, and notes what a node's other parts see."""

    name = "observer"
    subscribes_to = (internal.TopicChanged, internal.GrantsChanged, InternalEvent)

    def __init__(self, link: CoreLink) -> None:
        self.link = link
        self.marks: dict[str, ttypes.VersionMark] = {}
        self.slid_back: list[str] = []
        self.heard: list[InternalEvent] = []
        self.plans = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if not isinstance(event, InternalEvent):
            return [fx.StartTimer("plan", 0.7), *self._publish(now)]
        self.heard.append(event)
        if isinstance(event, internal.TopicChanged):
            held = self.marks.get(event.topic)
            if held is not None and not is_newer(event.version, held):
                self.slid_back.append(f"{event.topic} {held} -> {event.version}")
            self.marks[event.topic] = event.version
        return []

    def _publish(self, now: float) -> list[fx.Effect]:
        if self.link.grant(ROLE_PLACER, now) is None:
            return []
        self.plans += 1
        decision = ttypes.DecisionRecord(None, None, "plan", "test", f"plan {self.plans}", 0)
        body = ttypes.PlanBody(self.plans, [], [], "test")
        return self.link.publish(PLAN, ROLE_PLACER, body, [decision], now)


@attrs.define
class Process:
    name: str
    address: str
    reducer: CompositeReducer
    rate: float
    alive: bool = True
    frozen: bool = False
    waiting: list = attrs.field(factory=list)
    timers: dict[str, int] = attrs.field(factory=dict)
    calls: dict[int, bool] = attrs.field(factory=dict)


def node_settings(name: str, role: str, zone: str, seeds: tuple[str, ...]) -> NodeSettings:
    address = f"{name}:1"
    return NodeSettings(name, role, zone, "region", address, address, address, address, seeds)


class World:
    """A network of processes. ``loss``: share of messages that vanish."""

    def __init__(self, seed: int, loss: float = 0.0, max_delay: float = 0.04) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.max_delay = max_delay
        self.time = 1.0
        self.processes: dict[str, Process] = {}
        self.links: dict[str, CoreLink] = {}
        self.observers: dict[str, Observer] = {}
        self.cut: set[str] = set()
        self.violations: list[str] = []
        self.primary = ""
        self.epoch = 0
        self.version = 0
        self.committed: internal.ConfigurationCommitted | None = None
        self.zones: internal.ZonesCommitted | None = None
        self.bytes_answered = 0
        self._told_until = 0.0
        self._tokens: dict[str, ttypes.VersionMark] = {}
        self._queue: list[tuple] = []
        self._order = count()
        self._calls: dict[int, tuple[Process, int]] = {}
        self._ids = count(1)
        self.seeds = tuple(f"{name}:1" for name in CORES)
        for name in CORES:
            self._add_core(name)
        self.at(0.0, self._heartbeat)
        self.at(0.0, self._watch)

    # Set-up ------------------------------------------------------------------------------

    def _add_core(self, name: str) -> None:
        node = node_settings(name, "core", ZONES[CORES.index(name)], self.seeds)
        context = self._context(name, "1")
        components = build_membership_components(
            CoreSettings(node, {c: f"{c}:1" for c in CORES}), context
        )
        self._start(name, CompositeReducer([FakeReplication(), *components]))

    def add_node(self, name: str, role: str, zone: str, incarnation: str = "1") -> CoreLink:
        link = CoreLink(
            node_settings(name, role, zone, self.seeds), self._context(name, incarnation)
        )
        observer = Observer(link)
        if role == "front":
            link.set_ready(True)
        self.links[name], self.observers[name] = link, observer
        self._start(name, CompositeReducer([link, observer]))
        return link

    def add_fleet(self, incarnation: str = "1") -> None:
        for index in range(3):
            self.add_node(f"controller-{index}", "controller", ZONES[index], incarnation)
        for index in range(6):
            self.add_node(f"front-{index}", "front", ZONES[index % 3], incarnation)

    def restart_cores(self) -> None:
        self.primary = ""
        for name in CORES:
            self._add_core(name)

    def _context(self, name: str, incarnation: str) -> ProcessContext:
        seed = self.random.randrange(2**32)
        return ProcessContext(name, f"{name}/{incarnation}", Random(seed), Identifiers())

    def _start(self, name: str, reducer: CompositeReducer) -> None:
        rate = self.random.choice(RATES)
        self.processes[name] = Process(name, f"{name}:1", reducer, rate)
        self.deliver(self.processes[name], ev.Started())

    # Time and delivery -------------------------------------------------------------------

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.time + delay, next(self._order), action))

    def run(self, duration: float) -> None:
        end = self.time + duration
        while self._queue and self._queue[0][0] <= end:
            self.time, _, action = heapq.heappop(self._queue)
            action()
        self.time = end

    def run_until(self, condition: Callable[[], bool], limit: float) -> float:
        """Run until the condition holds; return how long it took, or infinity."""
        begin = self.time
        while not condition():
            if self.time - begin > limit:
                return float("inf")
            self.run(0.02)
        return self.time - begin

    def now(self, process: Process) -> float:
        return self.time * process.rate

    def deliver(self, process: Process, event: ev.Event) -> None:
        if not process.alive or self.processes.get(process.name) is not process:
            return
        if process.frozen:
            process.waiting.append(event)
            return
        ends_a_call = isinstance(event, ev.CallAnswered | ev.CallFailed)
        if ends_a_call and process.calls.pop(event.call_id, None) is None:
            return
        for effect in process.reducer.handle(event, self.now(process)):
            self._obey(process, effect)

    def _obey(self, process: Process, effect: fx.Effect) -> None:
        if isinstance(effect, fx.StartTimer):
            self._set_timer(process, effect)
        elif isinstance(effect, fx.CancelTimer):
            process.timers.pop(effect.name, None)
        elif isinstance(effect, fx.Call):
            self._send(process, effect)
        elif isinstance(effect, fx.Answer):
            self._answer(process, effect)
        elif isinstance(effect, fx.Compute):
            done = ev.Computed(effect.ticket, effect.function(effect.argument))
            self.at(self._delay(), lambda: self.deliver(process, done))

    def _set_timer(self, process: Process, effect: fx.StartTimer) -> None:
        mark = next(self._ids)
        process.timers[effect.name] = mark

        def fire() -> None:
            if process.timers.get(effect.name) == mark:
                del process.timers[effect.name]
                self.deliver(process, ev.TimerFired(effect.name))

        self.at(effect.delay_s / process.rate, fire)

    def _lost(self, process: Process) -> bool:
        return process.name in self.cut or self.random.random() < self.loss

    def _delay(self) -> float:
        return self.random.uniform(0.001, self.max_delay)

    def _send(self, process: Process, call: fx.Call) -> None:
        process.calls[call.call_id] = True
        failed = ev.CallFailed(call.call_id, "deadline", True)
        self.at(call.deadline_s / process.rate, lambda: self.deliver(process, failed))
        target = self.processes.get(call.address.removesuffix(":1"))
        if target is None or not target.alive:
            refused = ev.CallFailed(call.call_id, "refused", False)
            self.at(self._delay(), lambda: self.deliver(process, refused))
            return
        if self._lost(process) or self._lost(target):
            return
        request = decode(type(call.request), encode(call.request)).ok
        arrived_id = next(self._ids)
        self._calls[arrived_id] = (process, call.call_id)
        arrived = ev.CallArrived(arrived_id, process.address, request)
        self.at(self._delay(), lambda: self.deliver(target, arrived))

    def _answer(self, process: Process, effect: fx.Answer) -> None:
        if effect.call_id not in self._calls:
            return
        caller, call_id = self._calls.pop(effect.call_id)
        data = encode(effect.answer)
        self.bytes_answered += len(data)
        answer = decode(type(effect.answer), data).ok
        if not (self._lost(process) or self._lost(caller)):
            answered = ev.CallAnswered(call_id, answer)
            self.at(self._delay(), lambda: self.deliver(caller, answered))

    def ask(self, name: str, request: Any) -> list[Any]:
        """Return the answers that a process gives to a call at once."""
        process = self.processes[name]
        event = ev.CallArrived(next(self._ids), "test:1", request)
        effects = process.reducer.handle(event, self.now(process))
        return [e.answer for e in effects if isinstance(e, fx.Answer)]

    # Faults ------------------------------------------------------------------------------

    def kill(self, name: str) -> None:
        self.processes[name].alive = False

    def freeze(self, name: str, duration: float) -> None:
        process = self.processes[name]
        process.frozen = True

        def thaw() -> None:
            process.frozen = False
            waiting, process.waiting = process.waiting, []
            self.random.shuffle(waiting)
            for event in waiting:
                self.deliver(process, event)

        self.at(duration, thaw)

    # Replication, as scripted ------------------------------------------------------------

    def tell(self, name: str, *told: InternalEvent) -> None:
        self.deliver(self.processes[name], ev.CallArrived(next(self._ids), "", Tell(told)))

    def is_up(self, name: str) -> bool:
        process = self.processes[name]
        return process.alive and not process.frozen and name not in self.cut

    def _heartbeat(self) -> None:
        self.at(PRIMARY_HEARTBEAT_S, self._heartbeat)
        if self.primary and self.is_up(self.primary):
            now = self.now(self.processes[self.primary])
            self._told_until = self.time + PRIMARY_LEASE_S / min(RATES)
            lease = internal.PrimaryLeaseExtended(self.epoch, now + PRIMARY_LEASE_S)
            self.tell(self.primary, lease)
        elif self.time >= self._told_until:
            self._elect()
        known = internal.PrimaryChanged(self.epoch, f"{self.primary}:1" if self.primary else "")
        for name in CORES:
            if self.is_up(name):
                self.tell(name, known)

    def _elect(self) -> None:
        candidates = [name for name in CORES if self.is_up(name)]
        if not candidates:
            return
        if self.primary:
            self.tell(self.primary, internal.PrimaryStopped("another primary"))
        self.primary = self.random.choice(candidates)
        self.epoch += 1
        self.tell(self.primary, internal.PrimaryStarted(self.epoch))
        for commit in (self.committed, self.zones):
            if commit is not None:
                self.tell(self.primary, commit)

    def hand_over(self) -> None:
        """The primary stops by itself; its successor starts at once."""
        self.tell(self.primary, internal.PrimaryStopped("hand-over"))
        self._told_until = self.time
        self.primary = ""
        self._elect()

    def change_view(self) -> None:
        """The primary goes on in a view of a higher epoch."""
        self.epoch += 1
        now = self.now(self.processes[self.primary])
        started = internal.PrimaryStarted(self.epoch)
        self.tell(
            self.primary,
            started,
            internal.PrimaryLeaseExtended(self.epoch, now + PRIMARY_LEASE_S),
        )
        self._told_until = self.time + PRIMARY_LEASE_S / min(RATES)

    def commit(self, document: bytes, digest: str = "") -> None:
        self.version += 1
        body = ttypes.ConfigurationBody(self.version, digest, document)
        mark = ttypes.VersionMark(self.epoch, self.version)
        self.committed = internal.ConfigurationCommitted(mark, body)
        self.tell(self.primary, self.committed)

    def empty_zones(self, *zones: str) -> None:
        counter = self.zones.version.counter + 1 if self.zones else 1
        mark = ttypes.VersionMark(self.epoch, counter)
        self.zones = internal.ZonesCommitted(mark, ttypes.ZonesBody(list(zones)))
        self.tell(self.primary, self.zones)

    # Oracles -----------------------------------------------------------------------------

    def holders(self, role_key: str) -> dict[str, ttypes.VersionMark]:
        """Return the live processes that think that they hold a role, with their tokens."""
        found = {}
        for name, link in self.links.items():
            process = self.processes[name]
            grant = link.grant(role_key, self.now(process)) if process.alive else None
            if grant is not None:
                found[name] = grant.token
        return found

    def _watch(self) -> None:
        self.at(0.02, self._watch)
        keys = [ROLE_PLACER, "platform-watcher"]
        keys += [f"prober/{i}" for i in range(4)] + [f"claims/{i}" for i in range(16)]
        for key in keys:
            holders = self.holders(key)
            if len(holders) > 1:
                self.violations.append(f"{self.time:.2f}: {key} has holders {holders}")
            for token in holders.values():
                highest = self._tokens.setdefault(key, token)
                if version_key(token) < version_key(highest):
                    self.violations.append(f"{self.time:.2f}: {key} token {token} < {highest}")
                self._tokens[key] = max(token, highest, key=version_key)

    def slid_back(self) -> list[str]:
        return [entry for observer in self.observers.values() for entry in observer.slid_back]
