"""Runs seeded histories on real processes and checks each against the promises.

Usage: python -m scripts.histories [--histories N] [--first-seed N] [--at-once N]
"""

__all__ = ["main"]

import argparse
import sys
import tempfile
import traceback
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from scripts.histories.checking import Violation, check_history
from scripts.histories.faults import FaultKind
from scripts.histories.records import History
from scripts.histories.running import run_history


def main() -> int:
    """Return 0 when no history breaks a promise."""
    arguments = _parse_arguments()
    first = arguments.first_seed
    seeds = range(first, first + arguments.histories)
    with ThreadPoolExecutor(arguments.at_once) as pool:
        kinds = [FaultKind(arguments.only)] if arguments.only else tuple(FaultKind)
        results = list(pool.map(lambda seed: _run_and_check(seed, kinds), seeds))
    errors = results.count(None)
    results = [result for result in results if result is not None]
    histories = [history for history, _ in results]
    violations = [violation for _, found in results for violation in found]
    _print_totals(histories)
    print(
        f"histories={len(histories)}"
        f" jobs={sum(len(history.submissions) for history in histories)}"
        f" faults={sum(len(history.faults) for history in histories)}"
        f" violations={len(violations)} errors={errors}"
    )
    return 1 if violations or errors else 0


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="histories", description=__doc__)
    parser.add_argument("--histories", type=int, default=50, help="how many to run")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=3, help="how many at a time")
    names = [kind.value for kind in FaultKind]
    parser.add_argument("--only", choices=names, help="draw faults of one kind")
    return parser.parse_args()


def _run_and_check(
    seed: int, kinds: Sequence[FaultKind]
) -> tuple[History, list[Violation]] | None:
    """Return a run with its violations, or nothing when it could not be made."""
    try:
        with tempfile.TemporaryDirectory(prefix="hibiscus-history-") as folder:
            history = run_history(seed, Path(folder), kinds)
    except Exception as error:
        traceback.print_exc()
        print(f"seed={seed} error={type(error).__name__}: {error}", flush=True)
        return None
    violations = check_history(history)
    outcomes = Counter(s.outcome or "missing" for s in history.submissions)
    told = " ".join(f"{name}={count}" for name, count in sorted(outcomes.items()))
    print(
        f"seed={seed} jobs={len(history.submissions)} starts={len(history.starts)}"
        f" {told} violations={len(violations)}"
        f" not_applied={len(history.not_applied)} faults: {'; '.join(history.faults)}",
        flush=True,
    )
    for violation in violations:
        print(f"  {violation.promise.value}: {violation.detail}", flush=True)
    return history, violations


def _print_totals(histories: list[History]) -> None:
    outcomes = Counter(s.outcome or "missing" for h in histories for s in h.submissions)
    changes = Counter(change.outcome for h in histories for change in h.published)
    print(f"outcomes: {dict(sorted(outcomes.items()))}")
    print(f"publications: {dict(sorted(changes.items()))}")


if __name__ == "__main__":
    sys.exit(main())
