"""Plots of goodput and engine roles over time; needs the extra ``plots``."""

from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from samphirehall.load.runner import Run

BIN_SECONDS = 1.0
SIZE_INCHES = (10, 6)


def goodput_series(run: Run) -> tuple[list[float], list[float]]:
    """Return bin start times and good responses per second, binned by arrival."""
    counts = Counter(int(outcome.at // BIN_SECONDS) for outcome in run.outcomes if outcome.good)
    bins = range(int(run.seconds // BIN_SECONDS) + 1)
    return [number * BIN_SECONDS for number in bins], [
        counts[number] / BIN_SECONDS for number in bins
    ]


def save_plot(path: str | Path, runs: Sequence[Run]) -> None:
    """Write a PNG file with a plot of goodput above one of engine roles.

    Parameters
    ----------
    path : str or Path
        File to write.
    runs : sequence of Run
        The goodput of each run is plotted, and the roles of the first that has any.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=SIZE_INCHES)
    for run in runs:
        upper.plot(*goodput_series(run), label=run.title)
    upper.set_ylabel("good answers/s")
    upper.legend()
    samples = next((run.roles for run in runs if run.roles), [])
    roles = sorted({role for sample in samples for role in sample.roles.values()})
    times = [sample.at for sample in samples]
    counts = [[list(sample.roles.values()).count(role) for sample in samples] for role in roles]
    if counts:
        lower.stackplot(times, *counts, labels=roles)
        lower.legend()
    lower.set_ylabel("engines")
    lower.set_xlabel("seconds")
    figure.savefig(path)
    pyplot.close(figure)
