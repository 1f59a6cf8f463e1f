"""Rendering of metric samples for ``GET /metrics`` in the Prometheus text format."""

from collections.abc import Iterable

from rooklug.engine.reducer import MetricSample

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_COUNTER = "counter"


def render_metrics(samples: Iterable[MetricSample]) -> bytes:
    """Return the exposition text; samples with the same name form one metric family."""
    from prometheus_client.exposition import (
        generate_latest,  # imported at the first request: it takes memory
    )

    return generate_latest(_SampleCollector(samples))


class _SampleCollector:
    """A collector of given samples in the form that prometheus_client expects of a registry."""

    def __init__(self, samples: Iterable[MetricSample]) -> None:
        self._samples = samples

    def collect(self) -> Iterable:
        """Group the samples into metric families."""
        from prometheus_client.metrics_core import Metric

        families: dict[str, Metric] = {}
        for sample in self._samples:
            is_counter = sample.kind == _COUNTER
            name = sample.name.removesuffix("_total") if is_counter else sample.name
            family = families.setdefault(name, Metric(name, sample.help, sample.kind))
            sample_name = f"{name}_total" if is_counter else name
            family.add_sample(sample_name, sample.labels, sample.value)
        return families.values()
