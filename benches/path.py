"""Measures the whole path on real processes: callers, hosts, targets.

Prints ``name=value unit`` lines. The limit is what one host process starts when it
always has work; latencies are taken at half of it, where single tasks go now over
the path and now straight to a target that the path does not use.
"""

__all__ = ["main"]

import argparse
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import attrs
from twisted.internet import reactor
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from benches.counters import CounterSink
from benches.loading import (
    JobSender,
    LatencySample,
    percentile,
    run_closed,
    run_open,
)
from benches.processes import processor_time_s, run_targets
from hibiscusstack.dispatch.effects import StartTask, TaskFinished
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.exceptions import UnavailableError
from hibiscusstack.target import TargetClient
from scripts.processes import EntryHost, Site

_TARGET_PROCESSES = 3
_TARGETS_PER_PROCESS = 8
_TASKS_PER_JOB = 20
_RUN_MS = 50
_PROBES_PER_S = 25
_JOBS_OF_MOST_SLOTS = 7
_JOBS_BEYOND_SLOTS = 20
_DIRECT_TIMEOUT_MS = 10_000
_SETTLE_S = 3.0
_STATSD = """
[telemetry]
statsd_address = 127.0.0.1
statsd_port = {port}
"""


@attrs.frozen
class _Bench:
    site: Site
    counters: CounterSink
    direct: TargetInfo
    arguments: argparse.Namespace


def main() -> int:
    """Run the bench; return 0 if every job and every direct call succeeded."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--jobs", type=int, default=600, help="jobs at the limit")
    parser.add_argument("--seconds", type=float, default=20, help="time at half load")
    parser.add_argument("--in-progress", type=int, default=24, help="jobs at once")
    parser.add_argument("--seed", type=int, default=1, help="of the moments of calls")
    arguments = parser.parse_args()
    with ExitStack() as stack:
        return _run(stack, arguments)


def _run(stack: ExitStack, arguments: argparse.Namespace) -> int:
    counters = CounterSink()
    port = reactor.listenUDP(0, counters, interface="127.0.0.1").getHost().port
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    site = Site(folder, _STATSD.format(port=port))
    stack.callback(site.stop)
    site.start_platform()
    stack.enter_context(
        run_targets(_TARGET_PROCESSES, _TARGETS_PER_PROCESS, site.platform_url)
    )
    (direct,) = stack.enter_context(run_targets(1, 1, prefix="direct"))
    host = site.start_host("entry-1")
    site.wait_until_ready(host)
    bench = _Bench(site, counters, direct, arguments)
    return _run_reactor(_measure_all(bench, host))


def _run_reactor(coroutine) -> int:
    failures: list[int | Failure] = []

    def end(outcome: int | Failure) -> None:
        failures.append(outcome)
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(coroutine).addBoth(end))
    reactor.run()
    if isinstance(failures[0], Failure):
        failures[0].raiseException()
    return 1 if failures[0] else 0


async def _measure_all(bench: _Bench, host: EntryHost) -> int:
    await deferLater(reactor, _SETTLE_S)
    sender = JobSender(reactor, host.caller_url)
    await run_closed(reactor, lambda: sender.submit(1, _RUN_MS), 400, 16)
    starts_per_s, failures = await _measure_limit(bench, host, sender)
    failures += await _measure_latency(bench, host, sender, starts_per_s / 2)
    failures += await _measure_messages(bench, [host], "1_host", _JOBS_OF_MOST_SLOTS)
    others = [bench.site.start_host(f"entry-{number}") for number in (2, 3)]
    for other in others:
        bench.site.wait_until_ready(other)
    await deferLater(reactor, _SETTLE_S)
    hosts = [host, *others]
    failures += await _measure_messages(bench, hosts, "3_hosts", _JOBS_OF_MOST_SLOTS)
    failures += await _measure_messages(
        bench, hosts, "3_hosts_full", _JOBS_BEYOND_SLOTS
    )
    _print("failures", failures, "calls")
    return failures


async def _measure_limit(
    bench: _Bench, host: EntryHost, sender: JobSender
) -> tuple[float, int]:
    arguments = bench.arguments
    used_s, begun_s = processor_time_s(host.process.pid), time.monotonic()
    own_s = time.process_time()
    sample = await run_closed(
        reactor,
        lambda: sender.submit(_TASKS_PER_JOB, _RUN_MS),
        arguments.jobs,
        arguments.in_progress,
    )
    elapsed_s = time.monotonic() - begun_s
    used_s = processor_time_s(host.process.pid) - used_s
    tasks = _require_successes(sample) * _TASKS_PER_JOB
    _print("path_starts_per_s", tasks / elapsed_s, "starts/s")
    _print("path_processor_us_per_task", used_s / tasks * 1e6, "us")
    _print("path_host_processor_share", used_s / elapsed_s, "of a core")
    caller_s = time.process_time() - own_s
    _print("path_callers_processor_share", caller_s / elapsed_s, "of a core")
    return tasks / elapsed_s, sample.failures


async def _measure_latency(
    bench: _Bench, host: EntryHost, sender: JobSender, tasks_per_s: float
) -> int:
    arguments = bench.arguments
    client = TargetClient(reactor)
    numbers = iter(range(sys.maxsize))

    async def call_direct() -> bool:
        task = Task(0, "check", {"run_ms": _RUN_MS, "value": 1})
        task_id = f"direct/0/{next(numbers)}"
        effect = StartTask(bench.direct.name, task_id, task, _DIRECT_TIMEOUT_MS)
        return isinstance(await client.start(bench.direct, effect), TaskFinished)

    def load(call, per_s: float, seed: int) -> Deferred[LatencySample]:
        coroutine = run_open(reactor, call, per_s, arguments.seconds, seed)
        return Deferred.fromCoroutine(coroutine)

    used_s = processor_time_s(host.process.pid)
    jobs_per_s = tasks_per_s / _TASKS_PER_JOB
    jobs, path, direct = await gatherResults(
        [
            load(
                lambda: sender.submit(_TASKS_PER_JOB, _RUN_MS),
                jobs_per_s,
                arguments.seed,
            ),
            load(
                lambda: sender.submit(1, _RUN_MS),
                _PROBES_PER_S,
                arguments.seed + 1,
            ),
            load(call_direct, _PROBES_PER_S, arguments.seed + 2),
        ]
    )
    client.close()
    used_s = processor_time_s(host.process.pid) - used_s
    _print("path_half_load", tasks_per_s, "starts/s")
    _print("path_half_load_processor_share", used_s / arguments.seconds, "of a core")
    for sample in (jobs, path, direct):
        _require_successes(sample)
    _print_latencies(path, direct, jobs)
    return jobs.failures + path.failures + direct.failures


def _require_successes(sample: LatencySample) -> int:
    successes = len(sample.latencies_ms)
    if not successes:
        raise UnavailableError("entry hosts", f"{sample.failures} jobs all failed")
    return successes


def _print_latencies(
    path: LatencySample, direct: LatencySample, jobs: LatencySample
) -> None:
    _print("path_probes", len(path.latencies_ms), "jobs of 1 task")
    _print("direct_probes", len(direct.latencies_ms), "calls")
    for name, part in (("p50", 0.5), ("p99", 0.99)):
        path_ms = percentile(path.latencies_ms, part)
        direct_ms = percentile(direct.latencies_ms, part)
        _print(f"path_{name}", path_ms, "ms")
        _print(f"direct_{name}", direct_ms, "ms")
        _print(f"path_added_{name}", path_ms - direct_ms, "ms")
        job_ms = percentile(jobs.latencies_ms, part)
        _print(f"path_jobs_of_{_TASKS_PER_JOB}_{name}", job_ms, "ms")


async def _measure_messages(
    bench: _Bench, hosts: list[EntryHost], suffix: str, in_progress: int
) -> int:
    senders = [JobSender(reactor, host.caller_url) for host in hosts]
    turns = iter(range(sys.maxsize))

    async def submit() -> bool:
        sender = senders[next(turns) % len(senders)]
        return await sender.submit(_TASKS_PER_JOB, _RUN_MS)

    before = bench.counters.totals.copy()
    sample = await run_closed(reactor, submit, bench.arguments.jobs // 2, in_progress)
    await deferLater(reactor, _SETTLE_S)
    counted = bench.counters.totals - before
    tasks = _require_successes(sample) * _TASKS_PER_JOB
    if counted["tasks.started"] < tasks:
        raise UnavailableError("statsd", f"{counted} after {tasks} tasks")
    exchanges = counted["tasks.refused"] + counted["stops.sent"]
    extra = counted["peers.messages"] + 2 * exchanges
    _print(f"path_counted_starts_{suffix}", counted["tasks.started"] / tasks, "a task")
    _print(f"path_peer_messages_{suffix}", counted["peers.messages"] / tasks, "a task")
    _print(f"path_messages_beyond_need_{suffix}", extra / tasks, "a task")
    return sample.failures


def _print(name: str, value: float, unit: str) -> None:
    text = str(value) if isinstance(value, int) else f"{value:.3f}"
    print(f"{name}={text} {unit}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
