"""Typed descriptions of simulated deployments, read from the TOML files in ``sites``.

Times are seconds, rates are requests per second.
"""

import tomllib
from pathlib import Path

import attrs
import cattrs

FOLDER = Path(__file__).parent / "sites"


@attrs.frozen
class Spread:
    """A log-normal distribution: mean, standard deviation of the logarithm, upper bound."""

    mean: float
    spread: float = 0.0
    most: float = float("inf")


@attrs.frozen
class ChainLevel:
    """One level of shared prefix blocks: ``things`` different ones with Zipf exponent ``skew``."""

    tokens: Spread
    things: int
    skew: float = 0.0


@attrs.frozen
class RequestKind:
    """One kind of request.

    ``weight`` is its relative share of the arrivals; ``worth`` the credit of a request of mean size
    that is answered in time, ``late_share`` the share of it that a late one earns. ``events`` is
    the length of the answer in stream events; an at-most-once request has ``work_s`` instead.
    """

    name: str
    service: str
    weight: float
    objective_s: float
    deadline_s: float
    worth: float
    late_share: float
    priority: int = 0
    gap_s: float = 0.0
    retries: int = 1
    max_replicas: int = 1
    resumable: bool = False
    homes: tuple[str, ...] = ()
    request_bytes: int = 1000
    work_s: Spread = Spread(0.0)
    prompt: Spread = Spread(0.0)
    events: Spread = Spread(0.0)
    chain: tuple[ChainLevel, ...] = ()

    @property
    def is_stream(self) -> bool:
        """Whether a model replica answers it with an event stream."""
        return self.prompt.mean > 0


@attrs.frozen
class EngineShape:
    """A model replica's engine: batch and queue limits, step times, prefill speed, KV memory."""

    slots: int
    queue: int
    memory_tokens: int
    step_s: float
    step_s_per_slot: float
    step_s_per_context_k: float
    read_tokens_per_s: float
    pair_s_per_million: float
    chunk_tokens: int
    tokens_per_event: int


@attrs.frozen
class ServiceShape:
    """A replica pool; ``speeds`` are duration factors assigned to its replicas in rotation."""

    name: str
    slots: int
    queue: int
    speeds: tuple[float, ...] = (1.0,)
    cold_s: float = 0.0
    cold_rate_per_s: float = 0.0
    tells_load: bool = False
    engine: EngineShape | None = None


@attrs.frozen
class ZoneShape:
    """A zone: region, number of fronts, replicas by service, and arrival rate of its clients."""

    name: str
    region: str
    fronts: int
    replicas: dict[str, int]
    rate_per_s: float
    wave_phase: float = 0.0


@attrs.frozen
class WaveShape:
    """Sinusoidal variation of the arrival rates, and the mean burst size (``clump``)."""

    swing: float = 0.0
    period_s: float = 30.0
    clump: float = 1.0


@attrs.frozen
class DelayShape:
    """One-way delays in seconds; ``client_s`` is added between a client and any front."""

    in_zone_s: float
    between_zones_s: float
    between_regions_s: float
    client_s: float


@attrs.frozen
class PriceShape:
    """Prices deducted from the credit, in the unit of ``RequestKind.worth``.

    Prefilling a shared block again costs ``tokens_again_k`` per thousand tokens if some replica
    used the block within the last ``again_within_s``.
    """

    tokens_again_k: float = 0.0
    gigabyte_between_zones: float = 0.0
    gigabyte_between_regions: float = 0.0
    connection: float = 0.0
    again_within_s: float = 9.0


@attrs.frozen
class GoalShape:
    """Weights in the total score of the whole day, the two worst windows and the worst kind."""

    whole_day: float
    worst_windows: float
    worst_kind: float


@attrs.frozen
class PolicySite:
    """A simulated deployment; ``length_s`` is the duration of its arrivals."""

    name: str
    length_s: float
    zones: tuple[ZoneShape, ...]
    services: tuple[ServiceShape, ...]
    kinds: tuple[RequestKind, ...]
    wave: WaveShape
    delays: DelayShape
    prices: PriceShape
    goal: GoalShape
    retry_ratio: float = 0.2
    retry_slack: float = 200.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0

    def service(self, name: str) -> ServiceShape:
        """Return a service by name; raise ``StopIteration`` if there is none."""
        return next(service for service in self.services if service.name == name)


def site_names() -> list[str]:
    """Return the names of the deployments in the ``sites`` folder."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))


def read_site(name: str) -> PolicySite:
    """Read a deployment by its name in the ``sites`` folder, or from a path to a TOML file."""
    path = Path(name) if name.endswith(".toml") else FOLDER / f"{name}.toml"
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    converter = cattrs.Converter(forbid_extra_keys=True)
    return converter.structure({"name": path.stem, **document}, PolicySite)
