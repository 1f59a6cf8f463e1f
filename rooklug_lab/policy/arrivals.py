"""Generates open-loop arrivals: a sinusoidal rate per zone, bursts, log-normal sizes.

Prompts of a kind share prefix blocks, arranged in chains.
"""

import math
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from random import Random

import attrs

from rooklug.gateway.requests import PrefixBlock
from rooklug_lab.policy.shapes import ChainLevel, PolicySite, RequestKind, Spread, ZoneShape

BURST_S = 0.1
"""The further requests of a burst arrive within this time after its first one."""
MIN_EVENTS = 1
"""Every answer has at least this many events."""


@attrs.frozen
class ClientRequest:
    """One request of a client. ``at`` is its arrival in seconds since the start of the run.

    ``size`` is the prompt length relative to the mean of its kind, which scales the credit that
    the request can earn; it is 1 for at-most-once requests. ``events`` is the length of the answer
    in stream events, ``work_s`` the service time of an at-most-once request.
    """

    number: int
    at: float
    kind: RequestKind
    zone: ZoneShape
    parts: tuple[PrefixBlock, ...]
    prompt_tokens: int
    events: int
    work_s: float
    size: float


@attrs.define
class ArrivalPlan:
    """Draws all arrivals before a run starts, so that every policy gets the same ones."""

    site: PolicySite
    random: Random
    rates: dict[str, float] = attrs.field(factory=dict)
    _chains: dict[str, list[list[PrefixBlock]]] = attrs.field(factory=dict)
    _weights: dict[tuple[int, float], list[float]] = attrs.field(factory=dict)

    def draw(self, factor: float = 1.0) -> list[ClientRequest]:
        """Return the arrivals of all zones, ordered by time; ``factor`` multiplies every rate."""
        for kind in self.site.kinds:
            self._chains[kind.name] = [self._level(kind, n) for n in range(len(kind.chain))]
        times = [(at, zone) for zone in self.site.zones for at in self._times(zone, factor)]
        times.sort(key=lambda entry: (entry[0], entry[1].name))
        kinds = list(self.site.kinds)
        chosen = self.random.choices(kinds, [kind.weight for kind in kinds], k=len(times))
        return [
            self._request(number, at, kind, zone)
            for number, ((at, zone), kind) in enumerate(zip(times, chosen, strict=True))
        ]

    def _times(self, zone: ZoneShape, factor: float) -> Iterator[float]:
        wave = self.site.wave
        most = zone.rate_per_s * factor * (1 + wave.swing) / wave.clump
        at = 0.0
        while (at := at + self.random.expovariate(most)) < self.site.length_s:
            angle = 2 * math.pi * (at / wave.period_s + zone.wave_phase)
            level = (1 + wave.swing * math.sin(angle)) / (1 + wave.swing)
            if self.random.random() > level:
                continue
            yield at
            while self.random.random() > 1 / wave.clump:
                yield min(at + self.random.uniform(0.0, BURST_S), self.site.length_s)

    def _level(self, kind: RequestKind, level: int) -> list[PrefixBlock]:
        shape = kind.chain[level]
        return [
            PrefixBlock(f"{kind.name}-{level}-{thing}", max(1, round(self._size(shape.tokens))))
            for thing in range(shape.things)
        ]

    def _request(self, number: int, at: float, kind: RequestKind, zone: ZoneShape) -> ClientRequest:
        if not kind.is_stream:
            work_s = self._size(kind.work_s)
            return ClientRequest(number, at, kind, zone, (), 0, 0, work_s, 1.0)
        parts = self._parts(number, kind)
        own = max(1, round(self._size(kind.prompt)))
        parts = (*parts, PrefixBlock(f"own-{number}", own))
        events = max(MIN_EVENTS, round(self._size(kind.events)))
        mean = kind.prompt.mean + sum(level.tokens.mean for level in kind.chain)
        prompt = sum(part.tokens for part in parts)
        return ClientRequest(number, at, kind, zone, parts, prompt, events, 0.0, prompt / mean)

    def _parts(self, number: int, kind: RequestKind) -> tuple[PrefixBlock, ...]:
        """Return the shared prefix blocks of a prompt, outermost first.

        The choice at the last level determines all outer ones, so that each innermost block
        always follows the same outer blocks.
        """
        if not kind.chain:
            return ()
        last = self._pick(kind.chain[-1])
        chosen = []
        for level, shape in enumerate(kind.chain):
            chosen.append(self._chains[kind.name][level][last % shape.things])
        return tuple(chosen)

    def _pick(self, level: ChainLevel) -> int:
        key = (level.things, level.skew)
        if key not in self._weights:
            weights = ((thing + 1) ** -level.skew for thing in range(level.things))
            self._weights[key] = list(accumulate(weights))
        weights = self._weights[key]
        return bisect(weights, self.random.random() * weights[-1])

    def _size(self, spread: Spread) -> float:
        if not spread.spread:
            return min(spread.mean, spread.most)
        drawn = self.random.lognormvariate(
            math.log(spread.mean) - spread.spread**2 / 2, spread.spread
        )
        return min(drawn, spread.most)
