"""A simulated process: a reducer, its timers, its clock, and whether it runs."""

from collections.abc import Callable
from random import Random

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext, Reducer
from rooklug_lab.sim.disk import SimulatedDisk
from rooklug_lab.sim.network import Place
from rooklug_lab.sim.scheduler import Scheduler

COMPUTE_S = 0.05
BuildReducer = Callable[[ProcessContext], Reducer]
ApplyEffect = Callable[["SimulatedProcess", fx.Effect], None]

BLANK_DISK = "blank"


@attrs.define(eq=False)
class SimulatedProcess:
    """One process: a reducer whose effects are applied by the simulated world.

    ``generation`` grows with every start and kill, so that events meant for an earlier start
    are dropped. ``event_s`` is the time, in seconds, that the machine needs for one event: above
    0, events queue behind one another.
    """

    name: str
    place: Place
    http_address: str
    internal_address: str
    build: BuildReducer
    scheduler: Scheduler
    random: Random
    apply_effect: ApplyEffect
    disk: SimulatedDisk | None = None
    clock_rate: float = 1.0
    clock_offset: float = 0.0
    wall_offset_ms: int = 0
    running: bool = False
    machine_up: bool = True
    frozen: bool = False
    event_s: float = 0.0
    generation: int = 0
    reducer: Reducer | None = None
    exit_code: int | None = None
    log: list[tuple[float, fx.Log]] = attrs.field(factory=list)
    _backlog: list[ev.Event] = attrs.field(factory=list)
    _timers: dict[str, int] = attrs.field(factory=dict)
    _timer_sequence: int = 0
    _busy_until: float = 0.0

    def local_now(self) -> float:
        """Return this process's monotonic clock, in seconds."""
        return self.clock_offset + self.scheduler.now * self.clock_rate

    def start(self) -> None:
        """Start the process with a new reducer and the records on its disk."""
        self.generation += 1
        self.running = True
        self.frozen = False
        self.exit_code = None
        self._backlog.clear()
        self._timers.clear()
        context = ProcessContext(
            node_id=self.name,
            incarnation=f"{self.name}-{self.generation}",
            random=Random(self.random.getrandbits(64)),
            identifiers=Identifiers(),
            wall_clock_ms=lambda: int(self.scheduler.now * 1000) + self.wall_offset_ms,
        )
        self.reducer = self.build(context)
        self.deliver(self._started_event())

    def kill(self) -> None:
        """End the process at once, as ``kill -9`` does."""
        self.running = False
        self.generation += 1
        self.frozen = False
        self._backlog.clear()
        if self.disk is not None:
            self.disk.crash()

    def freeze(self) -> None:
        """Stop handling events, as after SIGSTOP; they are queued until ``thaw``."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume after ``freeze``: handle the queued events in order, except cancelled timers."""
        if not self.frozen:
            return
        self.frozen = False
        backlog, self._backlog = self._backlog, []
        for event in backlog:
            if not isinstance(event, _FrozenTimer):
                self.deliver(event)
            elif self._timers.get(event.name) == event.sequence:
                del self._timers[event.name]
                self.deliver(ev.TimerFired(event.name))

    def deliver(self, event: ev.Event) -> None:
        """Handle an event and apply its effects: at once, or later on a slow machine."""
        if self.event_s <= 0 and self._busy_until <= self.scheduler.now:
            self._handle(event)
            return
        generation = self.generation
        self._busy_until = max(self._busy_until, self.scheduler.now) + self.event_s

        def handle() -> None:
            if generation == self.generation:
                self._handle(event)

        self.scheduler.at(self._busy_until, handle)

    def _handle(self, event: ev.Event) -> None:
        if not self.running:
            return
        if self.frozen:
            self._backlog.append(event)
            return
        for effect in self.reducer.handle(event, self.local_now()):
            if not self.running:
                return
            self._apply(effect)

    def act(self, action: Callable[[Reducer, float], list[fx.Effect]]) -> None:
        """Run an action on the reducer of a stand-in, outside any event, and apply its effects."""
        for effect in action(self.reducer, self.local_now()):
            self._apply(effect)

    def deliver_if(self, generation: int, event: ev.Event) -> None:
        """Deliver an event, but drop it if the process was killed or restarted meanwhile."""
        if generation == self.generation:
            self.deliver(event)

    def _started_event(self) -> ev.Started:
        if self.disk is None:
            return ev.Started()
        problem = ""
        if not self.disk.identity:
            self.disk.identity = f"disk-{self.random.getrandbits(64):016x}"
            problem = BLANK_DISK
        return ev.Started(self.disk.records(), self.disk.identity, problem)

    def _apply(self, effect: fx.Effect) -> None:
        kind = type(effect)
        if kind is fx.StartTimer:
            self._start_timer(effect)
        elif kind is fx.CancelTimer:
            self._timers.pop(effect.name, None)
        elif kind is fx.WriteRecords or kind is fx.RewriteFile:
            self._write(effect)
        elif kind is fx.Compute:
            self._compute(effect)
        elif kind is fx.Log:
            self.log.append((self.scheduler.now, effect))
        else:
            self.apply_effect(self, effect)

    def _start_timer(self, effect: fx.StartTimer) -> None:
        self._timer_sequence += 1
        sequence = self._timer_sequence
        generation = self.generation
        self._timers[effect.name] = sequence

        def fire() -> None:
            if generation != self.generation or self._timers.get(effect.name) != sequence:
                return
            if self.frozen:
                self._backlog.append(_FrozenTimer(effect.name, sequence))
                return
            del self._timers[effect.name]
            self.deliver(ev.TimerFired(effect.name))

        self.scheduler.after(max(effect.delay_s, 0.0) / self.clock_rate, fire)

    def _write(self, effect: fx.WriteRecords | fx.RewriteFile) -> None:
        if self.disk is None:
            raise AssertionError(f"{self.name} writes records but was added without a disk")
        generation = self.generation
        self.disk.write(effect, lambda event: self.deliver_if(generation, event))

    def _compute(self, effect: fx.Compute) -> None:
        generation = self.generation
        result = effect.function(effect.argument)
        self.scheduler.after(
            COMPUTE_S, lambda: self.deliver_if(generation, ev.Computed(effect.ticket, result))
        )


@attrs.frozen
class _FrozenTimer(ev.Event):
    """A timer that was due while the process was frozen; dropped if cancelled or restarted."""

    name: str
    sequence: int
