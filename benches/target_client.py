"""Measures how many tasks one process can start on targets over loopback.

Prints ``name=value unit`` lines: starts a second of processor time of this process,
for the target client and for treq's own pool as the yardstick.
"""

__all__ = ["main"]

import argparse
import json
import time
from collections.abc import Callable

import treq
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool

from benches.processes import run_targets
from hibiscusstack.dispatch.effects import StartTask, TaskFinished
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.target import TargetClient

_RUN_MS = 1
_TIMEOUT_MS = 30_000

Start = Callable[[TargetInfo, str], Deferred]


def main() -> None:
    """Run both clients over the same targets and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--tasks", type=int, default=4000)
    parser.add_argument("--warm-up", type=int, default=400)
    parser.add_argument("--in-progress", type=int, default=32)
    parser.add_argument("--client", choices=("target_client", "treq"))
    arguments = parser.parse_args()
    names = [arguments.client] if arguments.client else ["target_client", "treq"]
    with run_targets(processes=2, targets=4) as targets:
        measured = _measure_all(names, targets, arguments)
        measured.addErrback(lambda failure: failure.printTraceback())
        measured.addBoth(lambda _: reactor.stop())
        reactor.run()


def _measure_all(
    names: list[str], targets: list[TargetInfo], arguments: argparse.Namespace
) -> Deferred:
    makers = {"target_client": _target_client_start, "treq": _treq_start}
    done = Deferred()
    for name in names:
        start = makers[name]()

        def warm_up(_: object, start: Start = start) -> Deferred:
            return _run(start, targets, arguments.warm_up, arguments.in_progress)

        def measure(_: object, start: Start = start, name: str = name) -> Deferred:
            return _measure(name, start, targets, arguments)

        done.addCallback(warm_up).addCallback(measure)
    reactor.callWhenRunning(done.callback, None)
    return done


def _measure(
    name: str, start: Start, targets: list[TargetInfo], arguments: argparse.Namespace
) -> Deferred:
    processor_s, wall_s = time.process_time(), time.monotonic()

    def report(finished: int) -> None:
        used_s = time.process_time() - processor_s
        elapsed_s = time.monotonic() - wall_s
        tasks = arguments.tasks
        print(f"{name}_finished={finished} tasks")
        print(f"{name}_processor_us_per_start={used_s / tasks * 1e6:.0f} us")
        print(f"{name}_starts_per_processor_s={tasks / used_s:.0f} starts/s")
        print(f"{name}_starts_per_s={tasks / elapsed_s:.0f} starts/s", flush=True)

    finished = _run(start, targets, arguments.tasks, arguments.in_progress)
    return finished.addCallback(report)


def _run(
    start: Start, targets: list[TargetInfo], tasks: int, in_progress: int
) -> Deferred:
    counts = {"begun": 0, "ended": 0, "finished": 0}
    done = Deferred()

    def begin() -> None:
        if counts["begun"] >= tasks:
            return
        index = counts["begun"]
        counts["begun"] += 1
        started = start(targets[index % len(targets)], f"bench/{index}")
        started.addCallbacks(end, done.errback)

    def end(is_finished: bool) -> None:
        counts["ended"] += 1
        counts["finished"] += is_finished
        if counts["ended"] == tasks:
            done.callback(counts["finished"])
        else:
            begin()

    for _ in range(min(in_progress, tasks)):
        begin()
    return done


def _target_client_start() -> Start:
    client = TargetClient(reactor)
    task = Task(0, "check", {"run_ms": _RUN_MS, "value": 1})

    def start(target: TargetInfo, task_id: str) -> Deferred:
        effect = StartTask(target.name, task_id, task, _TIMEOUT_MS)
        started = client.start(target, effect)
        return started.addCallback(lambda reply: isinstance(reply, TaskFinished))

    return start


def _treq_start() -> Start:
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 64
    pool.retryAutomatically = False

    def start(target: TargetInfo, task_id: str) -> Deferred:
        body = {
            "task_id": task_id,
            "kind": "check",
            "payload": {"run_ms": _RUN_MS, "value": 1},
            "lease_ms": _TIMEOUT_MS,
        }
        url = f"http://{target.address}:{target.port}/v1/tasks"
        answered = treq.post(
            url,
            data=json.dumps(body).encode(),
            headers={"Content-Type": "application/json"},
            pool=pool,
            timeout=_TIMEOUT_MS / 1000,
        )
        answered.addCallback(treq.json_content)
        return answered.addCallback(lambda answer: answer["succeeded"])

    return start


if __name__ == "__main__":
    main()
