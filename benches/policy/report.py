"""Tables, measure lines and pictures of results."""

__all__ = ["Results", "print_measures", "print_table", "write_report"]

import math
from pathlib import Path

import attrs

from benches.policy.measures import Measures

Results = dict[tuple[str, str, str], Measures]

COLUMNS = (
    ("succeeded_part", "ok"),
    ("ratio_p50", "p50"),
    ("ratio_p99", "p99"),
    ("other_succeeded_part", "other ok"),
    ("other_ratio_p99", "other p99"),
    ("messages_per_task", "msg/task"),
    ("thrown_away_part", "wasted"),
    ("false_refusal_part", "false"),
    ("bad_task_part", "bad"),
    ("unknown_part", "unknown"),
)
PLOTTED = ("ratio_p99", "messages_per_task", "other_succeeded_part")


def print_table(results: Results) -> None:
    """Print one row for each run."""
    heads = "".join(f"{head:>10}" for _, head in COLUMNS)
    print(f"{'organisation':<12} {'scenario':<34} {'dispatcher':<17}{heads}")
    for (organisation, scenario, dispatcher), measures in results.items():
        figures = (getattr(measures, name) for name, _ in COLUMNS)
        row = "".join(f"{figure:>10.3f}" for figure in figures)
        print(f"{organisation:<12} {scenario:<34} {dispatcher:<17}{row}")


def print_measures(results: Results) -> None:
    """Print every measure as one line ``scenario.measure=value``."""
    for (organisation, scenario, dispatcher), measures in results.items():
        for name, value in attrs.asdict(measures).items():
            print(f"{organisation}.{scenario}.{dispatcher}.{name}={value:.6g}")


def write_report(results: Results, folder: Path) -> None:
    """Write one picture for each organisation and measure, and a page with all."""
    import matplotlib as mpl  # noqa: PLC0415 - an optional extra

    mpl.use("Agg")
    folder.mkdir(parents=True, exist_ok=True)
    page = ["<!doctype html><title>Policy bench</title><h1>Policy bench</h1>"]
    for organisation in dict.fromkeys(key[0] for key in results):
        for measure in PLOTTED:
            name = f"{organisation}-{measure}.png"
            _plot(results, organisation, measure, folder / name)
            page.append(f'<h2>{organisation}: {measure}</h2><img src="{name}">')
    (folder / "index.html").write_text("\n".join(page))


def _plot(results: Results, organisation: str, measure: str, path: Path) -> None:
    from matplotlib import pyplot  # noqa: PLC0415 - an optional extra

    keys = [key for key in results if key[0] == organisation]
    scenarios = list(dict.fromkeys(key[1] for key in keys))
    dispatchers = list(dict.fromkeys(key[2] for key in keys))
    figure, axes = pyplot.subplots(figsize=(12, 0.45 * len(scenarios) + 2))
    height = 0.8 / len(dispatchers)
    for number, dispatcher in enumerate(dispatchers):
        found = [results.get((organisation, name, dispatcher)) for name in scenarios]
        values = [getattr(each, measure) if each else math.nan for each in found]
        places = [place + number * height for place in range(len(scenarios))]
        axes.barh(places, values, height, label=dispatcher)
    axes.set_yticks(range(len(scenarios)), scenarios)
    axes.invert_yaxis()
    axes.set_xlabel(measure)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
