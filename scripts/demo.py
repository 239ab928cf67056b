"""A day of both organisations in half a minute, on real processes.

Usage: python -m scripts.demo [--jobs N] [--seed N] [--keep FOLDER]
"""

__all__ = ["main"]

import argparse
import json
import random
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

from scripts.audit import Audit, audit_submissions, count_starts
from scripts.processes import EntryHost, Site
from scripts.submitting import Caller, Submission

EXAMPLES = Path(__file__).parent.parent / "examples"
TARGETS = 24
SLOTS = 8
CONNECTIONS = 64
CALLERS = 24
RESUBMIT_EVERY = 5
KILL_AFTER_PART = 1 / 3
DRAIN_AFTER_PART = 2 / 3


def main() -> int:
    """Run the demonstration; return 0 if every answer was whole and true."""
    arguments = _parse_arguments()
    if arguments.keep is not None:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        return _run(arguments, arguments.keep)
    with tempfile.TemporaryDirectory(prefix="hibiscus-demo-") as folder:
        return _run(arguments, Path(folder))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=240, help="how many to submit")
    parser.add_argument("--seed", type=int, default=1, help="of the order of jobs")
    parser.add_argument("--keep", type=Path, help="a folder for settings and logs")
    return parser.parse_args()


def _run(arguments: argparse.Namespace, folder: Path) -> int:
    site = Site(folder)
    try:
        hosts = _start(site)
        submissions, drain_exit = _submit_all(site, hosts, arguments)
        audit = audit_submissions(submissions, count_starts(site.read_starts()))
    finally:
        site.stop()
    _print_table(submissions)
    for finding, job_id, detail in audit.findings:
        print(f"{finding.value}: {job_id}: {detail}")
    return _conclude(audit, drain_exit)


def _start(site: Site) -> list[EntryHost]:
    site.start_platform()
    site.start_targets(TARGETS, SLOTS, CONNECTIONS)
    hosts = [site.start_host(f"entry-{number}") for number in (1, 2, 3)]
    for host in hosts:
        site.wait_until_ready(host)
        print(f"{host.name} takes jobs at {host.caller_url}", flush=True)
    _publish(site, hosts[0])
    return hosts


def _publish(site: Site, host: EntryHost) -> None:
    path = str(EXAMPLES / "demo.ini")
    print(site.run_tool("--admin", host.operator_url, "config", "publish", path))


def _submit_all(
    site: Site, hosts: Sequence[EntryHost], arguments: argparse.Namespace
) -> tuple[list[Submission], int]:
    bodies = _make_bodies(arguments.jobs, random.Random(arguments.seed))
    urls = [host.caller_url for host in hosts]
    with ThreadPoolExecutor(CALLERS) as pool:
        futures = [
            pool.submit(Caller(body.pop("caller"), urls, turn).submit, body, resubmits)
            for turn, (body, resubmits) in enumerate(bodies)
        ]
        _wait_for_part(futures, KILL_AFTER_PART)
        print(f"killing {hosts[1].name}", flush=True)
        hosts[1].kill()
        site.unlist(hosts[1])
        _wait_for_part(futures, DRAIN_AFTER_PART)
        print(f"draining {hosts[2].name}", flush=True)
        site.list_as_leaving(hosts[2])
        print(site.run_tool("drain", hosts[2].operator_url), flush=True)
        submissions = [future.result() for future in futures]
    return submissions, hosts[2].wait()


def _make_bodies(count: int, rng: random.Random) -> list[tuple[dict[str, Any], bool]]:
    """Return jobs made from the examples; every task returns a value of its own."""
    files = sorted((EXAMPLES / "jobs").glob("*.json"))
    examples = [json.loads(path.read_text()) for path in files]
    bodies = []
    for number in range(count):
        body = json.loads(json.dumps(rng.choice(examples)))
        for index, task in enumerate(body["tasks"]):
            task["payload"]["value"] = f"{body['caller']}-{number}-{index}"
        bodies.append((body, number % RESUBMIT_EVERY == 0))
    return bodies


def _wait_for_part(futures: Sequence[Future], part: float) -> None:
    while sum(future.done() for future in futures) < part * len(futures):
        time.sleep(0.02)


def _print_table(submissions: Sequence[Submission]) -> None:
    by_caller: dict[str, Counter[str]] = defaultdict(Counter)
    for submission in submissions:
        row = by_caller[submission.body["caller"]]
        row["jobs"] += 1
        row["tasks"] += len(submission.body["tasks"])
        row["resubmitted"] += submission.attempts > 1 or bool(submission.extra_answers)
        row[submission.outcome or "missing"] += 1
    columns = ("jobs", "tasks", "resubmitted", "succeeded", "failed", "not_run")
    columns += ("unknown", "missing")
    print(f"{'caller':<22}" + "".join(f"{name:>12}" for name in columns))
    for caller, row in sorted(by_caller.items()):
        print(f"{caller:<22}" + "".join(f"{row[name]:>12}" for name in columns))


def _conclude(audit: Audit, drain_exit: int) -> int:
    if drain_exit != 0:
        print(f"the drained host ended with exit code {drain_exit}")
    print(audit.last_line(), flush=True)
    return 0 if audit.is_clean and drain_exit == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
