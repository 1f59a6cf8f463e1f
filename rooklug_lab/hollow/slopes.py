"""Slopes of the steady state over the results of several hollow runs.

Run ``python -m rooklug_lab.hollow.slopes RESULT.json...`` (outputs of ``rooklug-lab hollow
--json`` at different sizes). It fits a line over the number of fronts for each figure, and
compares it with the largest run, which the line is not fitted to.
"""

import json
import sys
from pathlib import Path
from typing import Any

from rooklug_lab.hollow.statistics import fit_line

STEADY = "steady"


def figures_of(result: dict[str, Any]) -> dict[str, float]:
    """Return the figures of one run's steady state by name."""
    use = result[STEADY]["use"]
    figures = {"replicas: probes_per_s": use["replicas"]["probes_per_s"]}
    for daemon in use["daemons"].values():
        role = _role(daemon)
        if role:
            for name in ("core_share", "resident_mb", "sent_bytes_per_s", "received_bytes_per_s"):
                figures[f"{role}: {name}"] = daemon[name]
            figures[f"{role}: events_per_s"] = daemon["events_per_s"]
    fronts = use["hollow_fronts"]
    figures["front: core_share"] = fronts["process_core_share"] + fronts["shared_core_share"]
    for name in ("sent_bytes_per_s", "received_bytes_per_s"):
        figures[f"front: {name}"] = fronts[name]
    return figures


def _role(daemon: dict[str, float]) -> str:
    if daemon.get("primary"):
        return "primary core"
    return "placer" if daemon.get("placer") else ""


def slopes(results: list[dict[str, Any]]) -> list[dict[str, float | str]]:
    """Return, by figure, the line through all runs but the largest, and both at the largest."""
    ordered = sorted(results, key=lambda result: result["fronts"])
    largest = ordered[-1]
    measured = figures_of(largest)
    runs = [(run["fronts"], figures_of(run)) for run in ordered[:-1]]
    rows = []
    for name in measured:
        points = [(fronts, figures[name]) for fronts, figures in runs if name in figures]
        line = fit_line(points)
        rows.append(
            {
                "figure": name,
                "base": round(line.base, 4),
                "a_front": round(line.slope, 6),
                "from_slope": round(line.at(largest["fronts"]), 4),
                "measured": measured[name],
            }
        )
    return rows


def main(files: list[str]) -> None:
    """Print one JSON line a figure."""
    results = [json.loads(Path(file).read_text()) for file in files]
    for row in slopes(results):
        print(json.dumps(row))


if __name__ == "__main__":
    main(sys.argv[1:])
