"""Internal events between the prober shards and the placer of one process.

They replace the ``ProbeReport`` call and its answer when both roles run on the same node.
"""

import attrs

from rooklug.engine.component import InternalEvent
from rooklug.wire.generated.control.ttypes import ProbeReport


@attrs.frozen
class ProbesReported(InternalEvent):
    """A prober shard's results for a placer in the same process."""

    report: ProbeReport


@attrs.frozen
class ProbeUrgencyReported(InternalEvent):
    """The placer's answer to ``ProbesReported``.

    ``probe_soon`` are replicas to probe as soon as possible; ``steady`` are replicas that serve
    requests and need fewer probes.
    """

    shard_role: str
    probe_soon: tuple[str, ...]
    steady: tuple[str, ...]
