"""Simulated cores and nodes for membership tests, in virtual time.

Messages can be delayed or lost, processes killed, frozen or partitioned, and clocks run at
different rates. A scripted fake stands in for replication. ``World.violations`` collects broken
invariants.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import InternalEvent
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.membership.build import build_membership_components
from rooklug.model import internal_events as internal
from rooklug.model.constants import PRIMARY_HEARTBEAT_S, PRIMARY_LEASE_S
from rooklug.model.settings import CoreSettings
from rooklug.model.topics import ROLE_PLACER
from rooklug.model.versions import version_key
from rooklug.wire.codec import decode, encode
from rooklug.wire.generated.control import ttypes
from tests.membership_processes import (
    EmitEventsRequest,
    FakeReplication,
    Observer,
    Process,
    node_settings,
)

CLOCK_RATES = (0.99, 1.0, 1.01)
"""Seconds of a process's monotonic clock for each second of virtual time."""

CORES = ("core-a", "core-b", "core-c")
ZONES = ("zone-a", "zone-b", "zone-c")


class World:
    """A network of simulated processes.

    ``loss_rate`` is the share of messages that are lost, ``max_delay_s`` the longest delay of a
    message. Processes in ``partitioned`` neither send nor receive any.
    """

    def __init__(self, seed: int, loss_rate: float = 0.0, max_delay_s: float = 0.04) -> None:
        self.random = Random(seed)
        self.loss_rate = loss_rate
        self.max_delay_s = max_delay_s
        self.time = 1.0
        self.processes: dict[str, Process] = {}
        self.links: dict[str, CoreLink] = {}
        self.observers: dict[str, Observer] = {}
        self.partitioned: set[str] = set()
        self.violations: list[str] = []
        self.primary = ""
        self.epoch = 0
        self.version = 0
        self.committed: internal.ConfigurationCommitted | None = None
        self.zones: internal.ZonesCommitted | None = None
        self.bytes_answered = 0
        self.logs: dict[str, list[fx.Log]] = {}
        self._primary_lease_until = 0.0
        self._tokens: dict[str, ttypes.VersionMark] = {}
        self._queue: list[tuple] = []
        self._event_order = count()
        self._calls: dict[int, tuple[Process, int]] = {}
        self._ids = count(1)
        self.seeds = tuple(f"{name}:1" for name in CORES)
        for name in CORES:
            self._add_core(name)
        self.at(0.0, self._heartbeat)
        self.at(0.0, self._check_invariants)

    # Setup -------------------------------------------------------------------------------

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
        clock_rate = self.random.choice(CLOCK_RATES)
        self.processes[name] = Process(name, f"{name}:1", reducer, clock_rate)
        self.deliver(self.processes[name], ev.Started())

    # Time and delivery -------------------------------------------------------------------

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.time + delay, next(self._event_order), action))

    def run(self, duration_s: float) -> None:
        end = self.time + duration_s
        while self._queue and self._queue[0][0] <= end:
            self.time, _, action = heapq.heappop(self._queue)
            action()
        self.time = end

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Run until the condition holds; return the virtual seconds taken, or infinity."""
        begin = self.time
        while not condition():
            if self.time - begin > limit_s:
                return float("inf")
            self.run(0.02)
        return self.time - begin

    def now(self, process: Process) -> float:
        return self.time * process.clock_rate

    def deliver(self, process: Process, event: ev.Event) -> None:
        if not process.alive or self.processes.get(process.name) is not process:
            return
        if process.frozen:
            process.deferred_events.append(event)
            return
        ends_a_call = isinstance(event, ev.CallAnswered | ev.CallFailed)
        if ends_a_call and process.calls.pop(event.call_id, None) is None:
            return
        for effect in process.reducer.handle(event, self.now(process)):
            self._execute(process, effect)

    def _execute(self, process: Process, effect: fx.Effect) -> None:
        if isinstance(effect, fx.StartTimer):
            self._set_timer(process, effect)
        elif isinstance(effect, fx.CancelTimer):
            process.timers.pop(effect.name, None)
        elif isinstance(effect, fx.Call):
            self._send(process, effect)
        elif isinstance(effect, fx.Answer):
            self._answer(process, effect)
        elif isinstance(effect, fx.Log):
            self.logs.setdefault(process.name, []).append(effect)
        elif isinstance(effect, fx.Compute):
            done = ev.Computed(effect.ticket, effect.function(effect.argument))
            self.at(self._delay(), lambda: self.deliver(process, done))

    def _set_timer(self, process: Process, effect: fx.StartTimer) -> None:
        timer_id = next(self._ids)
        process.timers[effect.name] = timer_id

        def fire() -> None:
            if process.timers.get(effect.name) == timer_id:
                del process.timers[effect.name]
                self.deliver(process, ev.TimerFired(effect.name))

        self.at(effect.delay_s / process.clock_rate, fire)

    def _lost(self, process: Process) -> bool:
        return process.name in self.partitioned or self.random.random() < self.loss_rate

    def _delay(self) -> float:
        return self.random.uniform(0.001, self.max_delay_s)

    def _send(self, process: Process, call: fx.Call) -> None:
        process.calls[call.call_id] = True
        failed = ev.CallFailed(call.call_id, "deadline", True)
        self.at(call.deadline_s / process.clock_rate, lambda: self.deliver(process, failed))
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

    def request_answers(self, name: str, request: Any) -> list[Any]:
        """Return the answers that a process gives to a request immediately."""
        process = self.processes[name]
        event = ev.CallArrived(next(self._ids), "test:1", request)
        effects = process.reducer.handle(event, self.now(process))
        return [e.answer for e in effects if isinstance(e, fx.Answer)]

    # Faults ------------------------------------------------------------------------------

    def kill(self, name: str) -> None:
        self.processes[name].alive = False

    def freeze(self, name: str, duration_s: float) -> None:
        process = self.processes[name]
        process.frozen = True

        def resume() -> None:
            process.frozen = False
            deferred_events, process.deferred_events = process.deferred_events, []
            self.random.shuffle(deferred_events)
            for event in deferred_events:
                self.deliver(process, event)

        self.at(duration_s, resume)

    # Scripted replication ----------------------------------------------------------------

    def emit(self, name: str, *events: InternalEvent) -> None:
        self.deliver(
            self.processes[name], ev.CallArrived(next(self._ids), "", EmitEventsRequest(events))
        )

    def is_reachable(self, name: str) -> bool:
        process = self.processes[name]
        return process.alive and not process.frozen and name not in self.partitioned

    def _heartbeat(self) -> None:
        self.at(PRIMARY_HEARTBEAT_S, self._heartbeat)
        if self.primary and self.is_reachable(self.primary):
            now = self.now(self.processes[self.primary])
            self._primary_lease_until = self.time + PRIMARY_LEASE_S / min(CLOCK_RATES)
            lease = internal.PrimaryLeaseExtended(self.epoch, now + PRIMARY_LEASE_S)
            self.emit(self.primary, lease)
        elif self.time >= self._primary_lease_until:
            self._elect()
        known = internal.PrimaryChanged(self.epoch, f"{self.primary}:1" if self.primary else "")
        for name in CORES:
            if self.is_reachable(name):
                self.emit(name, known)

    def _elect(self) -> None:
        candidates = [name for name in CORES if self.is_reachable(name)]
        if not candidates:
            return
        if self.primary:
            self.emit(self.primary, internal.PrimaryStopped("another primary"))
        self.primary = self.random.choice(candidates)
        self.epoch += 1
        self.emit(self.primary, internal.PrimaryStarted(self.epoch))
        for commit in (self.committed, self.zones):
            if commit is not None:
                self.emit(self.primary, commit)

    def hand_over(self) -> None:
        """Stop the primary; its successor starts immediately."""
        self.emit(self.primary, internal.PrimaryStopped("hand-over"))
        self._primary_lease_until = self.time
        self.primary = ""
        self._elect()

    def change_view(self) -> None:
        """Continue with the same primary in a view of a higher epoch."""
        self.epoch += 1
        now = self.now(self.processes[self.primary])
        started = internal.PrimaryStarted(self.epoch)
        self.emit(
            self.primary,
            started,
            internal.PrimaryLeaseExtended(self.epoch, now + PRIMARY_LEASE_S),
        )
        self._primary_lease_until = self.time + PRIMARY_LEASE_S / min(CLOCK_RATES)

    def commit(self, document: bytes, digest: str = "") -> None:
        self.version += 1
        body = ttypes.ConfigurationBody(self.version, digest, document)
        version = ttypes.VersionMark(self.epoch, self.version)
        self.committed = internal.ConfigurationCommitted(version, body)
        self.emit(self.primary, self.committed)

    def drain_zones(self, *zones: str) -> None:
        counter = self.zones.version.counter + 1 if self.zones else 1
        version = ttypes.VersionMark(self.epoch, counter)
        self.zones = internal.ZonesCommitted(version, ttypes.ZonesBody(list(zones)))
        self.emit(self.primary, self.zones)

    # Invariants --------------------------------------------------------------------------

    def owners(self, role_key: str) -> dict[str, ttypes.VersionMark]:
        """Return the live processes that hold a valid grant of a role by their own clocks."""
        found = {}
        for name, link in self.links.items():
            process = self.processes[name]
            grant = link.grant(role_key, self.now(process)) if process.alive else None
            if grant is not None:
                found[name] = grant.token
        return found

    def _check_invariants(self) -> None:
        self.at(0.02, self._check_invariants)
        keys = [ROLE_PLACER, "platform-watcher"]
        keys += [f"prober/{i}" for i in range(4)] + [f"claims/{i}" for i in range(16)]
        for key in keys:
            owners = self.owners(key)
            if len(owners) > 1:
                self.violations.append(f"{self.time:.2f}: {key} has owners {owners}")
            for token in owners.values():
                highest = self._tokens.setdefault(key, token)
                if version_key(token) < version_key(highest):
                    self.violations.append(f"{self.time:.2f}: {key} token {token} < {highest}")
                self._tokens[key] = max(token, highest, key=version_key)

    def version_regressions(self) -> list[str]:
        return [
            entry for observer in self.observers.values() for entry in observer.version_regressions
        ]
