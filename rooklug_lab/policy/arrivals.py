"""Open-loop arrivals: a wave a zone, clumps, sizes from distributions, shared prompt chains."""

import math
from bisect import bisect
from collections.abc import Iterator
from itertools import accumulate
from random import Random

import attrs

from rooklug.gateway.requests import PrefixBlock
from rooklug_lab.policy.shapes import ChainLevel, PolicySite, RequestKind, Spread, ZoneShape

CLUMP_S = 0.1
"""Requests of one clump arrive within this time."""
EVENT_LEAST = 1


@attrs.frozen
class ClientRequest:
    """What a client wants: ``size`` compares with the mean of its kind by what it is worth."""

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
    """Draws all arrivals of a run beforehand, so that policies meet the same ones."""

    site: PolicySite
    random: Random
    rates: dict[str, float] = attrs.field(factory=dict)
    _chains: dict[str, list[list[PrefixBlock]]] = attrs.field(factory=dict)
    _weights: dict[tuple[int, float], list[float]] = attrs.field(factory=dict)

    def draw(self, factor: float = 1.0) -> list[ClientRequest]:
        """Return the arrivals of all zones in the order of their times."""
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
                yield min(at + self.random.uniform(0.0, CLUMP_S), self.site.length_s)

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
        events = max(EVENT_LEAST, round(self._size(kind.events)))
        mean = kind.prompt.mean + sum(level.tokens.mean for level in kind.chain)
        prompt = sum(part.tokens for part in parts)
        return ClientRequest(number, at, kind, zone, parts, prompt, events, 0.0, prompt / mean)

    def _parts(self, number: int, kind: RequestKind) -> tuple[PrefixBlock, ...]:
        """Return a chain; what stands behind a part belongs to that part alone."""
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
