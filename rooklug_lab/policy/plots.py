"""Plots of one run: earned credit by arrival time, and times to the first event."""

from pathlib import Path

from rooklug_lab.policy.credit import Outcome
from rooklug_lab.policy.tables import by_second


def plot_run(outcomes: list[Outcome], path: Path) -> None:
    """Write a plot of a run; matplotlib is imported here, since nothing else needs it."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(12, 4))
    rows = by_second(outcomes)
    seconds = [float(name.split()[1]) for name in rows]
    left.step(seconds, [row.earned / row.full_credit for row in rows.values()], where="post")
    left.set(xlabel="arrival, seconds", ylabel="credit earned / owed", ylim=(0, 1.02))
    for name in sorted({outcome.request.kind.name for outcome in outcomes}):
        times = sorted(
            outcome.first_s
            for outcome in outcomes
            if outcome.complete and outcome.request.kind.name == name
        )
        if times:
            right.plot(times, [(n + 1) / len(times) for n in range(len(times))], label=name)
    right.set(xlabel="time to the first event, seconds", ylabel="share", xscale="log")
    right.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
