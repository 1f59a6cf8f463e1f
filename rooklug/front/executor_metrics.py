"""Counters of the request path and their metric samples."""

from collections import Counter

import attrs

from rooklug.engine.reducer import MetricSample


@attrs.define
class ExecutorCounters:
    """Numbers of requests by what became of them, since the start of the process."""

    arrived: int = 0
    invalid: int = 0
    redirected: int = 0
    completed: int = 0
    retried: int = 0
    broken: int = 0
    unknown: int = 0
    caller_gone: int = 0
    refusals: Counter = attrs.field(factory=Counter)

    def count_refusal(self, code: str) -> None:
        """Count one request that was refused as not run, under its error code."""
        self.refusals[code] += 1

    def samples(self, gauges: dict[str, int]) -> list[MetricSample]:
        """Return the counters, the refusals by code, and one gauge for each entry of ``gauges``."""
        named = {
            "arrived": (self.arrived, "Model requests that came in."),
            "invalid": (self.invalid, "Requests at fault themselves."),
            "redirected": (self.redirected, "Requests sent to another front."),
            "completed": (self.completed, "Requests answered whole."),
            "retried": (self.retried, "Tries after a failed one."),
            "broken": (self.broken, "Streams broken after their first byte."),
            "unknown": (self.unknown, "Requests given up that may have run."),
            "caller_gone": (self.caller_gone, "Callers that left before the end."),
        }
        samples = [
            MetricSample(f"front_requests_{name}_total", value, "counter", text)
            for name, (value, text) in named.items()
        ]
        samples.extend(
            MetricSample(
                "front_requests_refused_total",
                self.refusals[code],
                "counter",
                "Requests refused and not run.",
                {"code": code},
            )
            for code in sorted(self.refusals)
        )
        for name, value in gauges.items():
            text = f"Requests {name} now."
            samples.append(MetricSample(f"front_requests_{name}", value, "gauge", text))
        return samples
