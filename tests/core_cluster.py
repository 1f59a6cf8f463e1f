"""A simulated cluster of cores in virtual time, with clients.

The seeded network delays, reorders and loses messages; a crash loses writes that aren't synced.
"""

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from rooklug.core.build import build_core_components
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.composite import CompositeReducer
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.model.settings import CoreSettings, NodeSettings
from tests.core_machine import (
    ADDRESSES,
    BY_ADDRESS,
    CLIENT,
    CORE_IDS,
    STUB_CHECKER,
    CallInFlight,
    Core,
    Recorder,
    SimulatedDisk,
)


class Cluster:
    """Runs the cores; calls ``after_event`` with a core after each event that it has handled."""

    def __init__(
        self,
        seed: int,
        delay: tuple[float, float] = (0.0005, 0.003),
        sync: tuple[float, float] = (0.001, 0.004),
        core_ids: tuple[str, ...] = CORE_IDS,
        min_in_sync_replicas: int = 2,
    ) -> None:
        self.min_in_sync_replicas = min_in_sync_replicas
        self.exits_on_failed_write = False
        self.size = len(core_ids)
        self.first_start = True
        self.knows_first_start = False  # the deployment states which start is the first one
        self.seeds = CORE_IDS  # the members in settings written from now on
        self.random = Random(seed)
        self.now = 0.0
        self.delay = delay
        self.sync = sync
        self.lost_share = 0.0
        self.delayed_share = 0.0  # share of messages that arrive up to 5 s late, after others
        self.blocked_links: set[tuple[str, str]] = set()
        self.zones: dict[str, str] = {}  # by core id; all others are in one zone
        self.after_event: Callable[[Core], None] = lambda core: None
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = itertools.count(1)
        self._calls_in_flight: dict[int, CallInFlight] = {}
        self.messages = 0
        self.cores = {
            core_id: Core(core_id, SimulatedDisk(f"disk-{core_id}")) for core_id in core_ids
        }

    # time -----------------------------------------------------------------

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._counter), action))

    def run(self, until: float, stop: Callable[[], bool] = lambda: False) -> bool:
        """Run until the time ``until`` or until ``stop()`` holds; return whether it holds."""
        while not stop():
            if not self._queue or self._queue[0][0] > until:
                self.now = max(self.now, until)
                return stop()
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return True

    # machines ---------------------------------------------------------------

    def start(self, core_id: str) -> None:
        core = self.cores[core_id]
        core.incarnation += 1
        core.alive, core.frozen, core.held_events = True, False, []
        core.unsynced, core.timers = [], {}
        core.disk.busy_until = self.now
        node = NodeSettings(
            node_id=core_id,
            role="core",
            zone=self.zones.get(core_id, "zone"),
            region="region",
            listen_internal=ADDRESSES[core_id],
            listen_http="",
            internal_address=ADDRESSES[core_id],
            http_address="",
            seeds=tuple(ADDRESSES[seed] for seed in self.seeds),
        )
        context = ProcessContext(
            core_id,
            f"{core_id}-{core.incarnation}",
            Random(self.random.getrandbits(32)),
            Identifiers(itertools.count(1)),
        )
        core.recorder = Recorder()
        if self.knows_first_start and self.first_start and core.incarnation == 1:
            core.disk.recorded_seeds = self.seeds
        seeds = core.disk.recorded_seeds or self.seeds
        founders = {seed: ADDRESSES[seed] for seed in seeds}
        settings = CoreSettings(
            node,
            founders,
            self.first_start and (core.incarnation == 1 or not self.knows_first_start),
            self.min_in_sync_replicas,
            self.exits_on_failed_write,
            disk_never_voted=bool(core.disk.recorded_seeds),
        )
        components = build_core_components(settings, context, STUB_CHECKER)
        core.reducer = CompositeReducer([*components, core.recorder])
        files = {file: tuple(records) for file, records in core.disk.files.items()}
        self.deliver(core_id, ev.Started(files, core.disk.identity, core.disk.problem))

    def kill_before_record(self, core_id: str) -> None:
        """Kill the first process of a core before it has stored that it was the first one."""
        self.cores[core_id].incarnation += 1

    def start_all(self) -> None:
        for core_id in self.cores:
            self.start(core_id)

    def replace(self, gone_id: str, new_id: str) -> None:
        """Remove a machine for good, and add one with an empty disk at another address."""
        if self.cores[gone_id].alive:
            self.crash(gone_id)
        self.remove(gone_id)
        self.add(new_id)

    def remove(self, gone_id: str) -> None:
        """Remove a core; settings written from now on name three of the others."""
        del self.cores[gone_id]
        self.seeds = tuple(self.cores)[:3]

    def add(self, new_id: str) -> None:
        """Add a core with an empty disk and start it."""
        self.first_start = False
        self.cores[new_id] = Core(new_id, SimulatedDisk(f"disk-{new_id}"))
        self.start(new_id)

    def crash(self, core_id: str) -> None:
        """Kill the process: unsynced writes are lost, except for a random prefix of them."""
        core = self.cores[core_id]
        core.alive = False
        core.incarnation += 1
        closes = (
            self.random.random() < 0.5
        )  # else the machine vanishes without closing its connections
        for write in core.unsynced[: self.random.randint(0, len(core.unsynced))]:
            self._persist(core, write)
        core.unsynced = []
        for open_id, call_in_flight in list(self._calls_in_flight.items()):
            if call_in_flight.caller == core_id:
                call_in_flight.incarnation = -1
            elif call_in_flight.target == core_id and closes:
                failed = ev.CallFailed(call_in_flight.call_id, "connection closed", True)
                self.schedule(0.001, lambda i=open_id, failed=failed: self._end_call(i, failed))

    def lose_disk(self, core_id: str) -> None:
        core = self.cores[core_id]
        core.disk = SimulatedDisk(f"disk-{core_id}-{next(self._counter)}")

    def freeze(self, core_id: str) -> None:
        self.cores[core_id].frozen = True

    def unfreeze(self, core_id: str) -> None:
        core = self.cores[core_id]
        core.frozen = False
        held_events, core.held_events = core.held_events, []
        for event in held_events:
            self.deliver(core_id, event)

    def block_link(self, source: str, target: str) -> None:
        self.blocked_links.add((source, target))

    def isolate(self, core_id: str) -> None:
        for other in (*self.cores, CLIENT):
            self.blocked_links |= {(core_id, other), (other, core_id)}

    def heal(self) -> None:
        self.blocked_links.clear()
        self.lost_share = 0.0

    def primary(self) -> Core | None:
        """Return the core that may serve as the primary now, None if there is none."""
        serving = [
            c for c in self.cores.values() if c.alive and c.component.primary.may_serve(self.now)
        ]
        return serving[0] if serving else None

    # events -------------------------------------------------------------------

    def deliver(self, core_id: str, event: ev.Event) -> None:
        core = self.cores.get(core_id)
        if core is None or not core.alive:
            return
        if core.frozen:
            core.held_events.append(event)
            return
        effects = core.reducer.handle(event, self.now)
        for effect in effects:
            self._execute(core, effect)
        self.after_event(core)

    def _deliver_to_incarnation(self, core: Core, incarnation: int, event: ev.Event) -> None:
        if core.incarnation == incarnation:
            self.deliver(core.core_id, event)

    def _execute(self, core: Core, effect: fx.Effect) -> None:
        if isinstance(effect, fx.StartTimer):
            self._start_timer(core, effect)
        elif isinstance(effect, fx.Call):
            self._send(core, effect)
        elif isinstance(effect, fx.Answer):
            self._answer(core, effect)
        elif isinstance(effect, fx.WriteRecords | fx.RewriteFile):
            self._write(core, effect)
        elif isinstance(effect, fx.Compute):
            computed = ev.Computed(effect.ticket, effect.function(effect.argument))
            incarnation = core.incarnation
            self.schedule(0.0005, lambda: self._deliver_to_incarnation(core, incarnation, computed))
        elif isinstance(effect, fx.StopProcess):
            self.crash(core.core_id)

    def _start_timer(self, core: Core, effect: fx.StartTimer) -> None:
        mark = next(self._counter)
        core.timers[effect.name] = mark

        def fire() -> None:
            if core.timers.get(effect.name) == mark:
                self.deliver(core.core_id, ev.TimerFired(effect.name))

        self.schedule(effect.delay_s, fire)

    # network ------------------------------------------------------------------

    def request(self, core_id: str, request: Any, on_answer: Callable[[Any], None]) -> None:
        """Send a client's request over the network; if a message is lost, no answer comes."""
        open_id = next(self._counter)
        self._calls_in_flight[open_id] = CallInFlight(CLIENT, 0, 0, core_id, on_answer)
        self._transmit(CLIENT, core_id, lambda: self._arrive(core_id, open_id, request))

    def _send(self, core: Core, effect: fx.Call) -> None:
        if effect.not_after is not None and self.now > effect.not_after:
            return
        target = BY_ADDRESS[effect.address]
        open_id = next(self._counter)
        self._calls_in_flight[open_id] = CallInFlight(
            core.core_id, effect.call_id, core.incarnation, target
        )
        self.messages += 1
        self._transmit(core.core_id, target, lambda: self._arrive(target, open_id, effect.request))
        failed = ev.CallFailed(effect.call_id, "deadline", True)
        self.schedule(effect.deadline_s, lambda: self._end_call(open_id, failed))

    def _transmit(self, source: str, target: str, action: Callable[[], None]) -> None:
        if (source, target) in self.blocked_links or self.random.random() < self.lost_share:
            return
        late = self.delayed_share and self.random.random() < self.delayed_share
        self.schedule(
            self.random.uniform(0.05, 5.0) if late else self.random.uniform(*self.delay), action
        )

    def _arrive(self, core_id: str, open_id: int, request: Any) -> None:
        core = self.cores.get(core_id)
        if core is None or not core.alive:
            failed = ev.CallFailed(0, "refused", True)
            self.schedule(0.0005, lambda: self._end_call(open_id, failed))
            return
        self.deliver(core_id, ev.CallArrived(open_id, "", request))

    def _answer(self, core: Core, effect: fx.Answer) -> None:
        call_in_flight = self._calls_in_flight.get(effect.call_id)
        if call_in_flight is None:
            return
        answered = ev.CallAnswered(call_in_flight.call_id, effect.answer)
        self._transmit(
            core.core_id, call_in_flight.caller, lambda: self._end_call(effect.call_id, answered)
        )

    def _end_call(self, open_id: int, event: ev.CallAnswered | ev.CallFailed) -> None:
        call_in_flight = self._calls_in_flight.pop(open_id, None)
        if call_in_flight is None:
            return
        if call_in_flight.on_answer is not None:
            if isinstance(event, ev.CallAnswered):
                call_in_flight.on_answer(event.answer)
            return
        caller = self.cores.get(call_in_flight.caller)
        if caller is None:
            return
        self._deliver_to_incarnation(
            caller, call_in_flight.incarnation, attrs.evolve(event, call_id=call_in_flight.call_id)
        )

    # disks --------------------------------------------------------------------

    def _write(self, core: Core, effect: fx.WriteRecords | fx.RewriteFile) -> None:
        if core.disk.full:
            failed = ev.WriteFailed(effect.ticket, "no space left")
            incarnation = core.incarnation
            self.schedule(0.001, lambda: self._deliver_to_incarnation(core, incarnation, failed))
            return
        core.unsynced.append(effect)
        begin = max(self.now, core.disk.busy_until, core.disk.stalled_until)
        core.disk.busy_until = begin + self.random.uniform(*(core.disk.sync or self.sync))
        self._sync_later(core, core.incarnation, effect, core.disk.busy_until)

    def _sync_later(
        self, core: Core, incarnation: int, effect: fx.WriteRecords | fx.RewriteFile, due: float
    ) -> None:
        def finish() -> None:
            if core.incarnation != incarnation:
                return
            if self.now < core.disk.stalled_until:
                self._sync_later(core, incarnation, effect, core.disk.stalled_until)
                return
            self._sync_up_to(core, incarnation, effect)

        self.schedule(due - self.now, finish)

    def _sync_up_to(
        self, core: Core, incarnation: int, effect: fx.WriteRecords | fx.RewriteFile
    ) -> None:
        """Sync a write and all those before it, in order."""
        while core.unsynced and any(write is effect for write in core.unsynced):
            write = core.unsynced.pop(0)
            self._persist(core, write)
            finished = ev.WriteFinished(write.ticket, 0.001)
            self._deliver_to_incarnation(core, incarnation, finished)

    def _persist(self, core: Core, write: fx.WriteRecords | fx.RewriteFile) -> None:
        if isinstance(write, fx.RewriteFile):
            core.disk.files[write.file] = list(write.records)
        else:
            core.disk.files.setdefault(write.file, []).extend(write.records)
