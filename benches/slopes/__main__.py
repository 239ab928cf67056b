"""Measure how costs grow, and print each slope with its fit."""

import argparse
from collections.abc import Sequence

from tqdm import tqdm

from benches.slopes.fitting import fit_line
from benches.slopes.subjects import SUBJECTS


def main(arguments: Sequence[str] | None = None) -> None:
    """Measure every subject, or those that are named."""
    parser = argparse.ArgumentParser(
        prog="python -m benches.slopes", description=__doc__
    )
    parser.add_argument("--only", action="append", help="a subject; repeatable")
    options = parser.parse_args(arguments)
    for subject in tqdm(SUBJECTS, unit="slope", disable=None):
        if options.only is not None and subject.name not in options.only:
            continue
        costs = [subject.cost(size) for size in subject.sizes]
        line = fit_line(subject.sizes, costs)
        points = " ".join(
            f"{size}:{cost:.1f}"
            for size, cost in zip(subject.sizes, costs, strict=True)
        )
        print(
            f"{subject.name}={line.slope:.3f} {subject.unit}/{subject.of}"
            f" base={line.intercept:.1f} {subject.unit}"
            f" residual={line.residual:.3f} measured {points}"
        )


if __name__ == "__main__":
    main()
