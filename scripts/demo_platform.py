"""A small site of the users' platform in half a minute, on real processes.

Usage: python -m scripts.demo_platform [--jobs N] [--seed N] [--keep FOLDER]

Three hosts of pools serve callers through a balancer. The coordinator is killed and
started again, and the one that follows it is stopped by TERM.
"""

__all__ = ["Conclusion", "main"]

import argparse
import json
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs

from hibiscusstack_standins.estate.jobs import Job, Step
from scripts.platform_site import PlatformSite
from scripts.pool_caller import PoolCaller, PoolSubmission

HOSTS = 3
WORKERS = 6
CALLERS = 8
KILL_AFTER_PART = 1 / 3
STOP_AFTER_PART = 2 / 3
CALLERS_END_S = 40
END_S = 55


class EndedEarlyError(Exception):
    """The time is over, or the demonstration was told to end."""


@attrs.frozen
class Conclusion:
    """What the demonstration has shown."""

    submissions: Sequence[PoolSubmission]
    runs: int
    violations: Sequence[dict[str, Any]]
    stop_exit: int

    @property
    def is_clean(self) -> bool:
        """Tell whether each job was answered and no rule was broken."""
        answered = all(each.state for each in self.submissions)
        return answered and not self.violations and self.stop_exit == 0

    def last_line(self) -> str:
        """Return the counts on one line."""
        states = Counter(each.state for each in self.submissions)
        rules = Counter(each["rule"] for each in self.violations)
        counts = {
            "submitted": len(self.submissions),
            "answered": len(self.submissions) - states[""],
            "completed": states["completed"],
            "failed": states["failed"],
            "sent_again": sum(len(each.statuses) > 1 for each in self.submissions),
            "runs": self.runs,
            "run_twice": rules["TWICE"],
            "violations": len(self.violations),
            "stop_exit": self.stop_exit,
        }
        return " ".join(f"{name}={count}" for name, count in counts.items())


def main() -> int:
    """Run the demonstration; return 0 if each job was answered and no rule broken."""
    arguments = _parse_arguments()
    # An exception, so that the processes are ended too.
    for number in (signal.SIGALRM, signal.SIGTERM):
        signal.signal(number, _end_early)
    signal.alarm(END_S)
    if arguments.keep is not None:
        arguments.keep.mkdir(parents=True, exist_ok=True)
        return _run(arguments, arguments.keep)
    with tempfile.TemporaryDirectory(prefix="hibiscus-demo-") as folder:
        return _run(arguments, Path(folder))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=200, help="how many to submit")
    parser.add_argument("--seed", type=int, default=1, help="of the jobs")
    parser.add_argument("--keep", type=Path, help="a folder for settings and logs")
    return parser.parse_args()


def _end_early(number: int, _: object) -> None:
    raise EndedEarlyError(signal.Signals(number).name)


def _run(arguments: argparse.Namespace, folder: Path) -> int:
    deadline = time.monotonic() + CALLERS_END_S
    site = PlatformSite(folder)
    try:
        jobs = _make_jobs(arguments.jobs, random.Random(arguments.seed))
        port = _start(site, jobs)
        submissions, stop_exit = _submit_all(site, jobs, port, deadline)
        clients = {each.job.id: each.client_record() for each in submissions}
        audit = site.audit(clients)
    finally:
        site.stop()
    conclusion = Conclusion(submissions, audit["runs"], audit["violations"], stop_exit)
    _print_findings(conclusion)
    print(conclusion.last_line(), flush=True)
    return 0 if conclusion.is_clean else 1


def _make_jobs(count: int, rng: random.Random) -> list[Job]:
    """Return jobs of some tasks, and one more when these are done."""
    jobs = []
    for _ in range(count):
        first = Step(rng.randint(1, 3), rng.randint(50, 400), cpu=500, mem_mb=64)
        second = Step(1, rng.randint(20, 200), cpu=500, mem_mb=64, after=(0,))
        job_id = f"{rng.getrandbits(64):016x}"
        jobs.append(Job(job_id, spec=job_id, steps=(first, second), best_effort=True))
    return jobs


def _start(site: PlatformSite, jobs: Sequence[Job]) -> int:
    """Start all processes; return the port of the balancer."""
    site.start_estate(WORKERS)
    site.add_jobs(jobs)
    hosts = site.start_hosts(HOSTS)
    for host in hosts:
        site.wait_until_ready(host)
        print(f"{host.name} takes jobs at {host.frontend}", flush=True)
    return site.start_balancer()


def _submit_all(
    site: PlatformSite, jobs: Sequence[Job], port: int, deadline: float
) -> tuple[list[PoolSubmission], int]:
    caller = PoolCaller(port, deadline)
    with ThreadPoolExecutor(CALLERS) as pool:
        futures = [pool.submit(caller.submit, job) for job in jobs]
        try:
            stop_exit = _disturb(site, futures)
        except BaseException:
            caller.give_up()
            raise
        submissions = [future.result() for future in futures]
    return submissions, stop_exit


def _disturb(site: PlatformSite, futures: Sequence[Future]) -> int:
    """Kill a host and stop another; return the exit code of the second."""
    _wait_for_part(futures, KILL_AFTER_PART)
    first = site.find_coordinator()
    print(f"killing {first.name}, which coordinates", flush=True)
    first.kill()
    second = site.find_coordinator(other_than=first.name)
    print(f"{second.name} coordinates, {first.name} starts again", flush=True)
    first = site.start_again(first)
    _wait_for_part(futures, STOP_AFTER_PART)
    site.wait_until_ready(first)
    second = site.find_coordinator()
    print(f"stopping {second.name} by TERM", flush=True)
    second.terminate()
    third = site.find_coordinator(other_than=second.name)
    print(f"{third.name} coordinates", flush=True)
    return second.wait()


def _wait_for_part(futures: Sequence[Future], part: float) -> None:
    while sum(future.done() for future in futures) < part * len(futures):
        time.sleep(0.02)


def _print_findings(conclusion: Conclusion) -> None:
    for each in conclusion.submissions:
        if not each.state:
            print(f"not answered: {each.job.id}: {each.statuses}")
    for violation in conclusion.violations:
        print(json.dumps(violation))


if __name__ == "__main__":
    sys.exit(main())
