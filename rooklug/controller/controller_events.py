"""Internal events between the components of a controller."""

import attrs

from rooklug.engine.component import InternalEvent
from rooklug.wire.generated.control.ttypes import ProbeReport


@attrs.frozen
class ProbesReported(InternalEvent):
    """Probe results for the placer when it lives in this process."""

    report: ProbeReport


@attrs.frozen
class ProbeUrgencyReported(InternalEvent):
    """The placer's answer to ``ProbesReported``: what to probe at once, what seldom."""

    shard_role: str
    probe_soon: tuple[str, ...]
    steady: tuple[str, ...]
