"""Run the named scenarios with all dispatchers and print tables and measures."""

import argparse
from collections.abc import Iterable, Sequence
from pathlib import Path

from tqdm import tqdm

from benches.policy.goals import judge_goals
from benches.policy.report import Results, print_measures, print_table, write_report
from benches.policy.scenarios import DISPATCHERS, SCENARIOS, Scenario, run_scenario
from benches.policy.workload import KENDRA, SOCIETE, Organisation

ORGANISATIONS = {each.name: each for each in (KENDRA, SOCIETE)}
NO_FLOOD = "_without_flood"


def parse_arguments(arguments: Sequence[str] | None = None) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        prog="python -m benches.policy", description=__doc__
    )
    names = [scenario.name for scenario in SCENARIOS]
    parser.add_argument("--seed", default="1", help="the seed of all draws")
    parser.add_argument(
        "--scenario", action="append", choices=names, help="only this one; repeatable"
    )
    parser.add_argument("--organisation", action="append", choices=list(ORGANISATIONS))
    parser.add_argument("--dispatcher", action="append", choices=list(DISPATCHERS))
    parser.add_argument(
        "--stretch", type=float, default=1.0, help="make scenarios this much longer"
    )
    parser.add_argument(
        "--plot", type=Path, metavar="FOLDER", help="write pictures and a page there"
    )
    return parser.parse_args(arguments)


def list_runs(
    scenarios: Iterable[Scenario],
    organisations: Iterable[Organisation],
    dispatchers: Sequence[str],
) -> list[tuple[Scenario, Organisation, str]]:
    """Return every run, with one that has no flood for each that has one."""
    runs = []
    for organisation in organisations:
        for scenario in scenarios:
            for dispatcher in dispatchers:
                runs.append((scenario, organisation, dispatcher))
                if scenario.flooding is not None:
                    runs.append((scenario.without_flood(), organisation, dispatcher))
    return runs


def main(arguments: Sequence[str] | None = None) -> None:
    """Run what the command line asks for."""
    options = parse_arguments(arguments)
    chosen = [
        scenario.stretched(options.stretch)
        for scenario in SCENARIOS
        if options.scenario is None or scenario.name in options.scenario
    ]
    names = options.organisation or list(ORGANISATIONS)
    dispatchers = options.dispatcher or list(DISPATCHERS)
    runs = list_runs(chosen, [ORGANISATIONS[name] for name in names], dispatchers)
    results: Results = {}
    for scenario, organisation, dispatcher in tqdm(runs, unit="run", disable=None):
        name = scenario.name
        if scenario.is_without_flood:
            name += NO_FLOOD
        key = (organisation.name, name, dispatcher)
        results[key] = run_scenario(scenario, organisation, dispatcher, options.seed)
    print_table(results)
    print_measures(results)
    for line in judge_goals(results):
        print(line)
    if options.plot is not None:
        write_report(results, options.plot)


if __name__ == "__main__":
    main()
