"""A minute of faults that overlap and last, within what the deployment tolerates.

Cores are killed, frozen, cut off, slowed, and replaced by new ones at other addresses, fronts are
disturbed beside them, configurations change and zones are drained without a pause. Every fault is
recorded by machine and link, so that ``fronts_keep_up`` can judge each front at each moment, also
while something else is disturbed.
"""

from collections.abc import Callable
from random import Random

from rooklug_lab.gateway.contact import ContactRecord, Span
from rooklug_lab.gateway.journal import Disturbance, FrontState, Order
from rooklug_lab.gateway.site import GatewaySite

LONG_DAY_S = 60.0
SAMPLE_S = 0.2
CATCH_UP_S = 4.0
"""How long a core counts as lost after it is back, or after its start if it is new."""
KILL_ALL_S = 0.8
CLIENT_RATE_PER_S = 2.0
"""Few requests: the scenario judges what fronts know, not how they serve."""


class LongDay:
    """Draws the faults and orders of one run, one after the other, until ``LONG_DAY_S``."""

    def __init__(self, site: GatewaySite, random: Random) -> None:
        self._site = site
        self._random = random
        self._world = site.world
        self._end = site.world.now + LONG_DAY_S
        self._contact = ContactRecord(len(site.cores))
        self._lost_until: dict[str, float] = {}
        self._leaving: list[str] = []

    def begin(self) -> None:
        """Start the faults, the orders and the recording of what fronts know."""
        for core in self._site.cores:
            self._contact.cores[self._ip(core)] = Span(0.0)
        self._site.journal.contact = self._contact
        for region in self._site.shape.regions:
            self._site.set_rate(region, CLIENT_RATE_PER_S / self._site.shape.client_rate_per_s)
        self._sample()
        self._disturb_cores()
        self._disturb_fronts()
        self._change()
        self._drain()

    def _sample(self) -> None:
        for front in self._site.fronts:
            process = self._site.process(front)
            view = process.reducer.components["gateway-view"].view if process.running else None
            if view is None or view.configuration is None or process.frozen:
                continue
            version, drained = view.configuration.version, view.drained_zones
            state = FrontState(self._world.now, front, self._ip(front), version, drained)
            self._site.journal.front_states.append(state)
        self._site.later(SAMPLE_S, self._sample)

    # Orders ----------------------------------------------------------------

    def _change(self) -> None:
        self._site.change()
        self._again(self._random.uniform(0.5, 3.0), self._change)

    def _drain(self) -> None:
        zone = self._random.choice(list(self._site.shape.zones))
        order = self._site.order_zone(zone, "empty")
        length_s = self._random.uniform(6.0, 20.0)
        self._when_answered(order, lambda: self._site.later(length_s, lambda: self._restore(zone)))

    def _restore(self, zone: str) -> None:
        """End a drain; the next one begins only after that, since an end withdraws all orders."""
        order = self._site.order_zone(zone, "restore")
        self._when_answered(order, lambda: self._again(self._random.uniform(0.1, 2.0), self._drain))

    def _when_answered(self, order: Order, action: Callable[[], None]) -> None:
        if order.acknowledged_at or order.refused:
            action()
        else:
            self._site.later(0.1, lambda: self._when_answered(order, action))

    # Faults ----------------------------------------------------------------

    def _disturb_cores(self) -> None:
        faults = [
            self._kill,
            self._freeze,
            self._isolate,
            self._isolate_from_cores,
            self._slow,
            self._stall,
            self._replace,
            self._replace_as_planned,
            self._replace_as_planned,
            self._kill_all,
        ]
        length_s = self._random.uniform(0.3, 2.0)
        if self._random.random() < 0.5:
            length_s = self._random.uniform(1.0, 12.0)
        core = self._random.choice([self._site.primary(), self._random.choice(self._site.cores)])
        self._random.choice(faults)(core, length_s)
        pause_s = self._random.choice([self._random.uniform(0.2, 2.0), length_s + CATCH_UP_S])
        self._again(pause_s, self._disturb_cores)

    def _disturb_fronts(self) -> None:
        cores = {self._ip(core) for core in [*self._site.cores, *self._leaving]}
        apart = [front for front in self._site.fronts if self._ip(front) not in cores]
        if not apart:
            return
        front = self._random.choice(apart)
        length_s = self._random.uniform(0.3, 6.0)
        kind = self._random.choice(["kill", "freeze", "cut"])
        if kind == "cut":
            others = [name for name in self._nodes() if name != front]
            self._cut([front], others, length_s, both=self._random.random() < 0.5)
        else:
            self._record([front], length_s, absent=True)
            self._stop(front, length_s, freeze=kind == "freeze")
        self._again(self._random.uniform(0.5, 4.0), self._disturb_fronts)

    def _kill(self, core: str, length_s: float) -> None:
        if self._may_lose(core, length_s):
            self._record([core], length_s, absent=True)
            self._site.kill([core], length_s, power=self._random.random() < 0.5)

    def _freeze(self, core: str, length_s: float) -> None:
        if self._may_lose(core, length_s):
            self._record([core], length_s, absent=True)
            self._stop(core, length_s, freeze=True)

    def _isolate(self, core: str, length_s: float) -> None:
        if self._may_lose(core, length_s):
            others = [name for name in self._nodes() if self._ip(name) != self._ip(core)]
            self._cut([core], others, length_s, both=self._random.random() < 0.6)

    def _isolate_from_cores(self, core: str, length_s: float) -> None:
        """Cut a core from the other cores; fronts still reach all of them."""
        if self._may_lose(core, length_s):
            others = [name for name in [*self._site.cores, *self._leaving] if name != core]
            self._cut([core], others, length_s, both=True)

    def _slow(self, core: str, length_s: float) -> None:
        if self._may_lose(core, length_s):
            self._record([core], length_s, absent=False)
            self._site.slow([core], length_s)

    def _stall(self, core: str, length_s: float) -> None:
        if self._may_lose(core, length_s):
            self._record([core], length_s, absent=False)
            self._site.stall_disk(core, length_s)

    def _replace(self, core: str, length_s: float) -> None:
        if self._may_lose(core, length_s):
            self._contact.cores[self._ip(core)] = Span(0.0, self._world.now)
            successor = self._site.replace_core(core, length_s)
            self._lost_until[successor] = self._world.now + length_s + CATCH_UP_S
            self._contact.cores[self._ip(successor)] = Span(self._world.now + length_s)

    def _replace_as_planned(self, core: str, length_s: float) -> None:
        """Start a successor, and remove the core once that has had its time to catch up."""
        if not self._may_lose(core, 0.0):
            return
        length_s += CATCH_UP_S
        self._lost_until[core] = self._world.now + length_s
        successor = self._site.replace_core_as_planned(core, length_s)
        self._contact.cores[self._ip(core)] = Span(0.0, self._world.now + length_s)
        self._contact.cores[self._ip(successor)] = Span(self._world.now)
        self._lost_until[successor] = self._world.now + CATCH_UP_S
        self._leaving.append(core)
        self._site.later(length_s, lambda: self._leaving.remove(core))

    def _kill_all(self, core: str, length_s: float) -> None:
        """Kill the processes of all cores at once, which is tolerated beside no other fault."""
        cores = list(self._site.cores)
        if self._leaving or not all(self._may_be_killed(name) for name in cores):
            return
        self._record(cores, KILL_ALL_S, absent=True)
        self._lost_until |= dict.fromkeys(cores, self._world.now + KILL_ALL_S)
        self._site.kill(cores, KILL_ALL_S)

    # Internals -------------------------------------------------------------

    def _may_be_killed(self, core: str) -> bool:
        return self._site.process(core).running and not self._is_lost(core)

    def _may_lose(self, core: str, length_s: float) -> bool:
        """Return whether the deployment must bear the loss of a core now, and count it as lost."""
        lost = {name for name in self._site.cores if self._is_lost(name)} | {core}
        if len(lost) > self._site.shape.tolerance or not self._may_be_killed(core):
            return False
        self._lost_until[core] = self._world.now + length_s + CATCH_UP_S
        return True

    def _is_lost(self, core: str) -> bool:
        return self._lost_until.get(core, 0.0) > self._world.now

    def _stop(self, name: str, length_s: float, *, freeze: bool) -> None:
        process = self._site.process(name)
        if freeze:
            process.freeze()
            self._site.later(length_s, process.thaw)
        else:
            self._site.kill([name], length_s)

    def _cut(self, some: list[str], others: list[str], length_s: float, *, both: bool) -> None:
        side = [self._site.process(name).place for name in some]
        other_side = [self._site.process(name).place for name in others]
        pairs = [(other_side, side), (side, other_side)] if both else [(other_side, side)]
        network, now = self._world.network, self._world.now
        self._site.journal.disturbances.append(Disturbance("cut", now, now + length_s))
        for sources, targets in pairs:
            network.cut(sources, targets)
            self._site.later(length_s, lambda s=sources, t=targets: network.heal(s, t))
            ips = [place.ip for place in targets]
            self._contact.record_cut([p.ip for p in sources], ips, now, now + length_s)

    def _record(self, names: list[str], length_s: float, *, absent: bool) -> None:
        now = self._world.now
        self._site.journal.disturbances.append(Disturbance("stopped", now, now + length_s))
        for name in names:
            self._contact.record_fault(self._ip(name), now, now + length_s, absent=absent)

    def _nodes(self) -> list[str]:
        return [*self._site.cores, *self._leaving, *self._site.fronts]

    def _ip(self, name: str) -> str:
        return self._site.process(name).place.ip

    def _again(self, delay_s: float, action: Callable[[], None]) -> None:
        if self._world.now + delay_s < self._end:
            self._site.later(delay_s, action)


def long_day(site: GatewaySite, random: Random) -> None:
    """A minute of overlapping faults, under which fronts must keep up with the operators."""
    LongDay(site, random).begin()
