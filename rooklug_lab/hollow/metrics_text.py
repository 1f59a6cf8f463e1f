"""Reads the Prometheus text format."""


def read_metrics(text: str) -> dict[str, float]:
    """Return the samples by name; labels stay part of the name."""
    samples = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            samples[name] = float(value)
    return samples
