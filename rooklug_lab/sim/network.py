"""The simulated network: delays by place, and cuts that behave as TCP over silent packet loss.

A cut drops packets without an error to the sender. TCP retransmits them, so data written to an
established connection during a cut may arrive after it heals, long after the sender has timed
out. Protocols without fencing fail on such late messages, so the simulation delivers them.
"""

from collections.abc import Callable
from random import Random

import attrs

from rooklug_lab.sim.scheduler import Scheduler

SAME_ZONE_DELAY_S = 0.0002
SAME_REGION_DELAY_S = 0.0006
JITTER_SHARE = 0.2
SLOW_PACKET_PROBABILITY = 0.002
SLOW_PACKET_EXTRA_S = 0.15
RETRANSMIT_MAX_S = 1.0
CONNECTION_LIFETIME_S = 60.0

Deliver = Callable[[], None]


def _ignore_loss() -> None:
    """Do nothing: the sender finds out through its own deadline."""


@attrs.frozen
class Place:
    """The address and location of a machine."""

    ip: str
    zone: str
    region: str


@attrs.frozen
class _HeldPacket:
    """A packet held back by a cut; ``since`` is the virtual time at which it was held."""

    number: int
    since: float
    deliver: Deliver
    lost: Deliver


class Network:
    """Delays, silent cuts (also one-way), and late delivery after a cut has healed.

    ``late_share`` is the probability that the connections of a pair of machines survive a cut:
    their packets held for less than ``CONNECTION_LIFETIME_S`` are then delivered late, all
    others are lost. Cuts of the same pair are counted, so that overlapping faults heal
    independently.
    """

    def __init__(
        self, scheduler: Scheduler, random: Random, region_delay_s: float, late_share: float = 0.5
    ) -> None:
        self._scheduler = scheduler
        self._random = random
        self._region_delay_s = region_delay_s
        self._late_share = late_share
        self._cuts: dict[tuple[str, str], int] = {}
        self._held: dict[tuple[str, str], list[_HeldPacket]] = {}
        self._resumes: dict[tuple[str, str], float] = {}
        self.messages = 0

    def is_cut(self, source: Place, destination: Place) -> bool:
        """Return whether packets from ``source`` to ``destination`` are dropped now."""
        return (source.ip, destination.ip) in self._cuts

    def cut(self, sources: list[Place], destinations: list[Place]) -> None:
        """Drop everything from ``sources`` to ``destinations`` (one way)."""
        for source in sources:
            for destination in destinations:
                if source.ip != destination.ip:
                    pair = (source.ip, destination.ip)
                    self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def heal(self, sources: list[Place], destinations: list[Place]) -> None:
        """Undo one ``cut`` with the same arguments.

        Once no cut of a pair is left, its held packets are retransmitted or lost.
        """
        for source in sources:
            for destination in destinations:
                self._heal_pair((source.ip, destination.ip))

    def delay(self, source: Place, destination: Place) -> float:
        """Draw the one-way delay of a packet, in seconds."""
        base = self._base_delay(source, destination)
        extra = base * JITTER_SHARE * self._random.random()
        if self._random.random() < SLOW_PACKET_PROBABILITY:
            extra += SLOW_PACKET_EXTRA_S * self._random.random()
        return base + extra

    def transmit(
        self,
        source: Place,
        destination: Place,
        deliver: Deliver,
        not_before: float = 0.0,
        lost: Deliver = _ignore_loss,
    ) -> float:
        """Send a packet of an established connection; return when it should arrive.

        ``not_before`` keeps the order of a byte stream. ``lost`` is called instead of
        ``deliver`` when the connection breaks with the packet still unacknowledged; nothing
        that is sent on it later may then be delivered.
        """
        self.messages += 1
        number = self.messages
        pair = (source.ip, destination.ip)
        if pair in self._cuts:
            self._hold(pair, number, deliver, lost)
            return self._scheduler.now
        earliest = max(not_before, self._resumes.get(pair, 0.0))
        arrival = max(earliest, self._scheduler.now + self.delay(source, destination))

        def arrive() -> None:
            if pair in self._cuts:
                self._hold(pair, number, deliver, lost)
            else:
                deliver()

        self._scheduler.at(arrival, arrive)
        return arrival

    def _base_delay(self, source: Place, destination: Place) -> float:
        if source.region != destination.region:
            return self._region_delay_s
        if source.zone != destination.zone:
            return SAME_REGION_DELAY_S
        return SAME_ZONE_DELAY_S

    def _hold(self, pair: tuple[str, str], number: int, deliver: Deliver, lost: Deliver) -> None:
        held = _HeldPacket(number, self._scheduler.now, deliver, lost)
        self._held.setdefault(pair, []).append(held)

    def _heal_pair(self, pair: tuple[str, str]) -> None:
        remaining = self._cuts.get(pair, 0) - 1
        if remaining > 0:
            self._cuts[pair] = remaining
            return
        self._cuts.pop(pair, None)
        held = self._held.pop(pair, [])
        arrival = self._scheduler.now + self._random.random() * RETRANSMIT_MAX_S
        self._resumes[pair] = arrival
        connections_survive = self._random.random() < self._late_share
        for packet in sorted(held, key=lambda packet: packet.number):
            within_lifetime = self._scheduler.now - packet.since < CONNECTION_LIFETIME_S
            is_delivered = within_lifetime and connections_survive
            self._scheduler.at(arrival, packet.deliver if is_delivered else packet.lost)
