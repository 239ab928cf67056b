"""Plots of results, as SVG files."""

__all__ = ["write_plots"]

from collections.abc import Callable
from pathlib import Path
from typing import Any

from hibiscusstack_standins.lab.figures import RATIO_EDGES
from hibiscusstack_standins.lab.results import Results, Variant

_WIDTH_IN, _HEIGHT_IN = 8.0, 3.6
_EDGE_SCALE = 1.15


def write_plots(results: Results, folder: Path) -> list[str]:
    """Draw all plots of results into a folder, and return the names of the files."""
    import matplotlib as mpl  # noqa: PLC0415 - an optional extra

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "hibiscus-lab"
    drawn: tuple[tuple[str, Callable[[Any, Results], None]], ...] = (
        ("windows.svg", _draw_windows),
        ("classes.svg", _draw_classes),
        ("data-centres.svg", _draw_data_centres),
        ("latency.svg", _draw_latency),
    )
    for name, draw in drawn:
        _write(folder / name, draw, results)
    return [name for name, _ in drawn]


def _write(path: Path, draw: Callable[[Any, Results], None], results: Results) -> None:
    from matplotlib.figure import Figure  # noqa: PLC0415 - an optional extra

    figure = Figure(figsize=(_WIDTH_IN, _HEIGHT_IN), layout="constrained")
    axes = figure.add_subplot()
    draw(axes, results)
    axes.grid(alpha=0.3)
    axes.legend(fontsize="small", loc="lower left")
    figure.savefig(path, metadata={"Date": None})


def _draw_windows(axes: Any, results: Results) -> None:
    """Draw the earned part over time: the mean of all seeds and its range."""
    import numpy as np  # noqa: PLC0415 - an optional extra

    for variant in results.variants:
        parts = np.array(
            [[each.earned_part for each in run.windows] for run in variant.runs]
        )
        times_s = np.arange(parts.shape[1]) * results.window_ms / 1_000
        (line,) = axes.plot(times_s, parts.mean(axis=0), label=variant.label)
        low, high = parts.min(axis=0), parts.max(axis=0)
        axes.fill_between(times_s, low, high, color=line.get_color(), alpha=0.15)
    axes.set(xlabel="time sent, s", ylabel="earned / owed", ylim=(0, 1.05))


def _draw_classes(axes: Any, results: Results) -> None:
    _draw_groups(axes, results, lambda run: run.classes)


def _draw_data_centres(axes: Any, results: Results) -> None:
    _draw_groups(axes, results, lambda run: run.data_centres)


def _draw_groups(axes: Any, results: Results, groups_of: Callable) -> None:
    """Draw bars of the earned part of each group, with the deviation over seeds."""
    import numpy as np  # noqa: PLC0415 - an optional extra

    names = list(groups_of(results.variants[0].runs[0]))
    width = 0.8 / len(results.variants)
    for number, variant in enumerate(results.variants):
        parts = np.array(
            [[groups_of(run)[n].earned_part for n in names] for run in variant.runs]
        )
        places = np.arange(len(names)) + number * width
        spread = parts.std(axis=0)
        axes.bar(places, parts.mean(axis=0), width, yerr=spread, label=variant.label)
    middle = (len(results.variants) - 1) * width / 2
    axes.set_xticks(np.arange(len(names)) + middle, names)
    axes.set(ylabel="earned / owed", ylim=(0, 1.05))


def _draw_latency(axes: Any, results: Results) -> None:
    """Draw the histogram of latency over objective of completed jobs."""
    edges = (RATIO_EDGES[0] / _EDGE_SCALE, *RATIO_EDGES, RATIO_EDGES[-1] * _EDGE_SCALE)
    for variant in results.variants:
        axes.stairs(_ratios(variant), edges, label=variant.label)
    axes.axvline(1.0, color="grey", linewidth=0.8)
    axes.set(xscale="log", yscale="symlog", xlabel="latency / objective", ylabel="jobs")


def _ratios(variant: Variant) -> list[int]:
    histograms = (run.ratios for run in variant.runs)
    return [sum(each) for each in zip(*histograms, strict=True)]
