"""The client library on real processes that are killed, paused and drained.

Usage: python -m scripts.check_client [--jobs N] [--seed N]

Prints what the targets' own record says of the answers, and ends with 1 if any of
them is false, partial or another's, or if anything started twice.
"""

__all__ = ["main"]

import argparse
import random
import signal
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Generator
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import Cooperator, deferLater, react

from hibiscusstack.caller.client import CallerClient
from hibiscusstack.caller.connecting import connect_client
from hibiscusstack.dispatch.answers import JobAnswer, Outcome
from hibiscusstack.dispatch.jobs import Task
from scripts.audit import count_starts
from scripts.client_audit import ClientAudit, audit_answers
from scripts.processes import EntryHost, Site

HOSTS = 4
TARGETS = 8
CALLERS = 6
IN_PROGRESS_PER_CALLER = 6
RUN_TIMES_MS = (20, 60, 150, 400)
MAX_TASKS = 6
TIMEOUT_MS = 15_000
FAULT_INTERVAL_S = 1.0
PAUSE_S = 4.0
MS_PER_SECOND = 1000
PERCENT = 100

Answered = list[tuple[tuple[Task, ...], JobAnswer]]


def main() -> None:
    """Run the check and exit with its code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=1_200)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="hibiscus-client-") as folder:
        site = Site(Path(folder))
        try:
            hosts = _start(site)
            react(_run, (site, hosts, options.jobs, random.Random(options.seed)))
        finally:
            site.stop()


def _start(site: Site) -> list[EntryHost]:
    site.start_platform()
    site.start_targets(TARGETS, slots=8, connections=64)
    hosts = [site.start_host(f"entry-{number}") for number in range(HOSTS)]
    for host in hosts:
        site.wait_until_ready(host)
    return hosts


@inlineCallbacks
def _run(
    reactor: IReactorTime,
    site: Site,
    hosts: list[EntryHost],
    jobs: int,
    rng: random.Random,
) -> Generator[Deferred[Any], Any, None]:
    urls = [host.caller_url for host in hosts]
    clients = [connect_client(reactor, urls, f"club-{n}") for n in range(CALLERS)]
    answered: Answered = []
    waits_ms: list[float] = []
    plan = iter([_make_tasks(number, rng) for number in range(jobs)])
    cooperator = Cooperator()
    workers = [
        cooperator.coiterate(_submit_all(client, plan, answered, waits_ms))
        for client in clients
        for _ in range(IN_PROGRESS_PER_CALLER)
    ]
    faults = _inject_faults(reactor, hosts)
    yield gatherResults(workers, consumeErrors=True)
    yield faults
    audit = audit_answers(answered, count_starts(site.read_starts()))
    _print(audit, len(answered), waits_ms)
    _print_reasons(answered)
    raise SystemExit(1 if audit.violations or len(answered) != jobs else 0)


def _make_tasks(number: int, rng: random.Random) -> tuple[Task, ...]:
    return tuple(
        Task(
            index,
            "licence",
            {"run_ms": rng.choice(RUN_TIMES_MS), "value": f"{number}-{index}"},
            idempotent=False,
        )
        for index in range(rng.randint(1, MAX_TASKS))
    )


def _submit_all(
    client: CallerClient, plan: Any, answered: Answered, waits_ms: list[float]
) -> Generator[Deferred[None], None, None]:
    for tasks in plan:
        yield Deferred.fromCoroutine(_submit(client, tasks, answered, waits_ms))


async def _submit(
    client: CallerClient,
    tasks: tuple[Task, ...],
    answered: Answered,
    waits_ms: list[float],
) -> None:
    begun_s = time.monotonic()
    answer = await client.submit(tasks, timeout_ms=TIMEOUT_MS)
    longest_ms = max(task.payload["run_ms"] for task in tasks)
    waits_ms.append((time.monotonic() - begun_s) * MS_PER_SECOND - longest_ms)
    answered.append((tasks, answer))


@inlineCallbacks
def _inject_faults(
    reactor: IReactorTime, hosts: list[EntryHost]
) -> Generator[Deferred[Any], Any, None]:
    """Kill one host, drain a second and pause a third for a while, as jobs run."""
    yield deferLater(reactor, FAULT_INTERVAL_S)
    hosts[1].process.send_signal(signal.SIGKILL)
    yield deferLater(reactor, FAULT_INTERVAL_S)
    hosts[2].process.send_signal(signal.SIGTERM)
    yield deferLater(reactor, FAULT_INTERVAL_S)
    hosts[3].process.send_signal(signal.SIGSTOP)
    yield deferLater(reactor, PAUSE_S)
    hosts[3].process.send_signal(signal.SIGCONT)


def _print(audit: ClientAudit, jobs: int, waits_ms: list[float]) -> None:
    outcomes = [
        f"{outcome.value}={audit.outcomes.get(outcome, 0)}" for outcome in Outcome
    ]
    print(f"jobs={jobs}", *outcomes)
    print(
        f"started_twice={audit.started_twice} "
        f"started_unaccounted={audit.started_unaccounted} "
        f"false_not_run={audit.false_not_run} partial={audit.partial} "
        f"foreign={audit.foreign}"
    )
    percentiles = statistics.quantiles(waits_ms, n=PERCENT)
    for percent in (50, 90, 99):
        wait_ms = percentiles[percent - 1]
        print(f"wait_beyond_longest_task_p{percent}={wait_ms:.0f} ms")


def _print_reasons(answered: Answered) -> None:
    reasons = Counter(
        f"{answer.outcome.value}.{answer.problem.reason.value}"
        for _, answer in answered
        if answer.problem is not None
    )
    print(" ".join(f"{name}={count}" for name, count in sorted(reasons.items())))


if __name__ == "__main__":
    sys.exit(main())
