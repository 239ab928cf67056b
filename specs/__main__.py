"""Checks every specification and prints what the searches found."""

__all__ = ["SPECIFICATIONS", "main"]

import argparse
import sys
import time

from specs import (
    configuration_order,
    coordinator_tokens,
    crash_counting,
    issued_ids,
    keyed_ownership,
    leased_targets,
    target_records,
    target_starts,
)
from specs.specification import (
    MAX_STATES,
    Specification,
    check,
    find_counterexample,
)

SPECIFICATIONS = (
    issued_ids.SPECIFICATION,
    target_starts.SPECIFICATION,
    configuration_order.SPECIFICATION,
    keyed_ownership.SPECIFICATION,
    coordinator_tokens.SPECIFICATION,
    leased_targets.SPECIFICATION,
    target_records.SPECIFICATION,
    crash_counting.SPECIFICATION,
)


def main() -> int:
    """Return 0 when every property holds and every mutation is caught."""
    parser = argparse.ArgumentParser(prog="specs", description=__doc__)
    parser.add_argument("--deep", action="store_true", help="search larger scenarios")
    parser.add_argument("--traces", action="store_true", help="print counterexamples")
    arguments = parser.parse_args()
    results = [
        _run(specification, arguments.deep, arguments.traces)
        for specification in SPECIFICATIONS
    ]
    return 0 if all(results) else 1


def _run(specification: Specification, is_deep: bool, has_traces: bool) -> bool:
    is_good = True
    for scenario in specification.scenarios(is_deep):
        started_s = time.perf_counter()
        finding = check(specification, scenario, MAX_STATES)
        elapsed_s = time.perf_counter() - started_s
        is_good = is_good and finding.is_exhaustive and not finding.violated
        print(
            f"specification={specification.name!r} scenario={scenario!r}"
            f" states={finding.states} depth={finding.depth}"
            f" exhaustive={finding.is_exhaustive}"
            f" properties={len(specification.properties)}"
            f" violated={list(finding.violated)} seconds={elapsed_s:.1f}"
        )
    return _run_mutations(specification, has_traces) and is_good


def _run_mutations(specification: Specification, has_traces: bool) -> bool:
    caught = 0
    for mutation in specification.mutations:
        trace = find_counterexample(specification, mutation)
        caught += bool(trace)
        if not trace:
            print(f"  not caught: without {mutation.rule!r}")
        if trace and has_traces:
            print(f"  without {mutation.rule!r}: {'; '.join(trace)}")
    total = len(specification.mutations)
    print(f"specification={specification.name!r} mutations={total} caught={caught}")
    return caught == total


if __name__ == "__main__":
    sys.exit(main())
