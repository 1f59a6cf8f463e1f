"""The simulated world: machines, processes, network and disks under one seed."""

from random import Random

from rooklug.engine import effects as fx
from rooklug_lab.sim.calls import CallTransport
from rooklug_lab.sim.disk import SimulatedDisk
from rooklug_lab.sim.exchanges import HttpTransport
from rooklug_lab.sim.network import Network, Place
from rooklug_lab.sim.process import BuildReducer, SimulatedProcess
from rooklug_lab.sim.scheduler import Scheduler

CLOCK_OFFSET_MAX_S = 10_000.0
CLOCK_RATE_SPREAD = 2e-4

_HTTP_SERVER_EFFECTS = (
    fx.ReadRequestBody,
    fx.HttpRespond,
    fx.HttpStreamStart,
    fx.HttpStreamChunk,
    fx.HttpStreamEnd,
    fx.HttpStreamAbort,
)


class World:
    """Runs processes in virtual time; the same seed gives exactly the same run."""

    def __init__(self, seed: int, region_delay_s: float) -> None:
        self.scheduler = Scheduler()
        self.random = Random(seed)
        self.network = Network(self.scheduler, self._derive_random(), region_delay_s)
        self.calls = CallTransport(self.scheduler, self.network)
        self.http = HttpTransport(self.scheduler, self.network, self._derive_random())
        self.processes: dict[str, SimulatedProcess] = {}
        self._handlers_by_effect = {
            fx.Call: self.calls.call,
            fx.Answer: self.calls.answer,
            fx.HttpCall: self.http.call,
            fx.CancelHttpCall: lambda process, effect: self.http.cancel(process, effect.call_id),
            fx.StopProcess: self._handle_stop,
            **dict.fromkeys(_HTTP_SERVER_EFFECTS, self.http.serve),
        }

    def add(
        self,
        name: str,
        place: Place,
        build: BuildReducer,
        http_address: str = "",
        internal_address: str = "",
        has_disk: bool = False,
        true_clock: bool = False,
    ) -> SimulatedProcess:
        """Add a process without starting it.

        Its monotonic clock has a random offset and rate, unless ``true_clock``, as stand-ins
        have, makes it the world's own clock.
        """
        random = self._derive_random()
        process = SimulatedProcess(
            name=name,
            place=place,
            http_address=http_address,
            internal_address=internal_address,
            build=build,
            scheduler=self.scheduler,
            random=random,
            apply_effect=self._apply_effect,
            disk=SimulatedDisk(self.scheduler, self._derive_random()) if has_disk else None,
            clock_offset=0.0 if true_clock else random.random() * CLOCK_OFFSET_MAX_S,
            clock_rate=1.0 if true_clock else 1.0 + (random.random() - 0.5) * CLOCK_RATE_SPREAD,
        )
        self.processes[name] = process
        if http_address:
            self.http.by_address[http_address] = process
        if internal_address:
            self.calls.by_address[internal_address] = process
        return process

    def kill(self, process: SimulatedProcess) -> None:
        """Kill a process; its peers see connection resets if the machine is up."""
        if process.running:
            process.kill()
            self._close_connections(process)

    def restart(self, process: SimulatedProcess) -> None:
        """Bring the machine up and start the process, unless it is running."""
        process.machine_up = True
        if not process.running:
            process.start()

    def machine_fails(self, process: SimulatedProcess) -> None:
        """Fail the machine of a process: peers see neither resets nor refusals, only time-outs."""
        process.machine_up = False
        self.kill(process)

    def run_for(self, seconds: float) -> None:
        """Advance virtual time, running everything that comes due."""
        self.scheduler.run_until(self.scheduler.now + seconds)

    @property
    def now(self) -> float:
        """Virtual time since the world was created, in seconds."""
        return self.scheduler.now

    def _derive_random(self) -> Random:
        return Random(self.random.getrandbits(64))

    def _close_connections(self, process: SimulatedProcess) -> None:
        self.calls.process_died(process)
        self.http.process_died(process)

    def _apply_effect(self, process: SimulatedProcess, effect: fx.Effect) -> None:
        self._handlers_by_effect[type(effect)](process, effect)

    def _handle_stop(self, process: SimulatedProcess, effect: fx.StopProcess) -> None:
        self.kill(process)
        process.exit_code = effect.exit_code
