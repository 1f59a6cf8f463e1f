"""``rooklug-lab report``: plots of the load results in a folder."""

import argparse
import json
import sys
from pathlib import Path

from rooklug_lab.load.command import RESULT_FILE

PLOT_FILE = "load.png"


def run_report(arguments: argparse.Namespace) -> int:
    """Plot latency percentiles of each result, straight and through the front."""
    folder = Path(arguments.folder)
    files = sorted(folder.rglob(RESULT_FILE))
    if not files:
        print(f"report: no {RESULT_FILE} under {folder}", file=sys.stderr)
        return 1
    plot = folder / PLOT_FILE
    _plot([json.loads(file.read_text()) for file in files], plot)
    print(plot)
    return 0


def _plot(results: list[dict], file: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(results), squeeze=False, figsize=(6 * len(results), 4))
    for axis, result in zip(axes[0], results, strict=True):
        for name, path in result["paths"].items():
            percentiles = path["latency_ms"]
            label = f"{name}, {path['requests_per_s']} requests/s"
            axis.plot(list(percentiles), list(percentiles.values()), marker="o", label=label)
        shape = result["shape"]
        axis.set_title(f"{shape['rate_per_s']:g}/s, {shape['prompt_bytes']} byte prompts")
        axis.set_ylabel("latency, ms")
        axis.set_yscale("log")
        axis.legend()
    figure.tight_layout()
    figure.savefig(file)
