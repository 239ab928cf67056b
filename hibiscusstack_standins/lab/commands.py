"""What each command of the lab does."""

__all__ = ["compare", "describe", "report", "run"]

import argparse
from collections.abc import Iterable, Sequence

from tqdm import tqdm

from hibiscusstack_standins.lab.document import describe_scenarios
from hibiscusstack_standins.lab.playing import play
from hibiscusstack_standins.lab.reading import read_scenario
from hibiscusstack_standins.lab.report import write_report
from hibiscusstack_standins.lab.results import (
    Results,
    Variant,
    read_results,
    write_results,
)
from hibiscusstack_standins.lab.scenario import Scenario
from hibiscusstack_standins.lab.tables import (
    comparison_rows,
    measure_rows,
    render_table,
)

BASE = "as it is"


def run(options: argparse.Namespace) -> None:
    """Play a scenario with each seed, and show mean and spread of all measures."""
    results = _play_all(options, [()])
    print(render_table(measure_rows(results.variants[0])))
    _keep(results, options)


def compare(options: argparse.Namespace) -> None:
    """Play a scenario with and without changes, and show the differences."""
    results = _play_all(options, [(), *options.variants])
    print(render_table(comparison_rows(results)))
    _keep(results, options)


def report(options: argparse.Namespace) -> None:
    """Write the page of kept results."""
    print(write_report(read_results(options.folder), options.folder))


def describe(options: argparse.Namespace) -> None:
    """Print the page on scenario files."""
    print(describe_scenarios(), end="")


def _play_all(
    options: argparse.Namespace, variants: Sequence[Iterable[str]]
) -> Results:
    """Play every variant; each is read first, so that faults end it at once."""
    path, common = options.scenario, options.changes
    changes = [tuple(each) for each in variants]
    scenarios = [read_scenario(path, [*common, *each]) for each in changes]
    seeds = options.seeds or scenarios[0].run.seeds
    total_ms = len(seeds) * sum(map(_length_ms, scenarios))
    played = []
    with tqdm(
        total=total_ms / 1_000, unit="s", disable=options.quiet or None
    ) as progress:
        for scenario, change in zip(scenarios, changes, strict=True):
            label = ", ".join(change) or BASE
            progress.set_description(label)
            runs = tuple(
                play(scenario, seed, lambda ms: progress.update(ms / 1_000))
                for seed in seeds
            )
            played.append(Variant(label, (*common, *change), runs))
    return Results(path.stem, scenarios[0].run.window_ms, tuple(played))


def _length_ms(scenario: Scenario) -> int:
    return scenario.run.duration_ms + scenario.run.settle_ms


def _keep(results: Results, options: argparse.Namespace) -> None:
    if options.out is not None:
        write_results(results, options.out)
        print(write_report(results, options.out))
