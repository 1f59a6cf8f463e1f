"""Metrics of the process: events handled, internal channel bytes, processor time, memory."""

import os
import resource

import attrs

from rooklug.engine.reducer import MetricSample
from rooklug.wire.channel import ChannelMetrics

_STATUS_FILE = "/proc/self/statm"


@attrs.define
class ProcessMetrics:
    """Counters of one host, sampled together with the process's CPU time and memory."""

    events_handled: int = 0
    channel: ChannelMetrics = attrs.field(factory=ChannelMetrics)

    def samples(self) -> list[MetricSample]:
        """Return the current samples; CPU time and memory are read from the operating system."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        processor_s = usage.ru_utime + usage.ru_stime
        return [
            MetricSample("rooklug_events", self.events_handled, "counter", "Events handled"),
            self._channel_sample("sent", self.channel.sent_bytes),
            self._channel_sample("received", self.channel.received_bytes),
            MetricSample("rooklug_processor_seconds", processor_s, "counter", "Processor time"),
            MetricSample("rooklug_resident_bytes", resident_bytes(), "gauge", "Resident memory"),
        ]

    @staticmethod
    def _channel_sample(direction: str, count: int) -> MetricSample:
        labels = {"direction": direction}
        name = "rooklug_channel_bytes"
        return MetricSample(name, count, "counter", "Bytes on the internal channel", labels)


def resident_bytes() -> int:
    """Return the resident set size of this process, in bytes."""
    with open(_STATUS_FILE) as status:
        pages = int(status.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
