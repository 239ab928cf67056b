"""Processor time of the decision code alone, on one host with instant targets."""

__all__ = ["measure_time_per_task_us"]

import argparse
import time

from hibiscusstack.clock import ManualClock
from hibiscusstack.dispatch.answers import Outcome, TaskResult
from hibiscusstack.dispatch.effects import Effect, StartTask, TaskFinished
from hibiscusstack.dispatch.engine import Engine
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.submission.ids import IdIssuer
from hibiscusstack.dispatch.targets import TargetInfo

JOBS_PER_TICK = 10


def measure_time_per_task_us(jobs: int, tasks_per_job: int, targets: int) -> float:
    """Return the mean processor time per task from submission to answer."""
    clock = ManualClock()
    engine = _build_engine(clock, targets)
    tasks = tuple(Task(index, "check") for index in range(tasks_per_job))
    started_s = time.process_time()
    for number in range(jobs):
        job = Job(engine.ids.mint(1)[0], "bench", tasks)
        _carry_out(engine, engine.submit(number, job))
        clock.advance(1)
        if number % JOBS_PER_TICK == 0:
            engine.tick()
    spent_s = time.process_time() - started_s
    return spent_s * 1e6 / (jobs * tasks_per_job)


def _build_engine(clock: ManualClock, targets: int) -> Engine:
    name = HostName("dc1", "h1", 1)
    engine = Engine(name, clock, IdIssuer(name, clock, secret=bytes(16)))
    engine.targets_listed(
        TargetInfo(f"t{number}", "127.0.0.1", 1, "dc1") for number in range(targets)
    )
    return engine


def _carry_out(engine: Engine, effects: list[Effect]) -> None:
    while effects:
        starts = [each for each in effects if isinstance(each, StartTask)]
        effects = []
        for start in starts:
            result = TaskResult(start.task.index, Outcome.SUCCEEDED)
            effects += engine.target_replied(start, TaskFinished(result))


def main() -> None:
    """Print the measured time as ``name=value unit``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=2_000)
    parser.add_argument("--tasks", type=int, default=20, help="tasks in each job")
    parser.add_argument("--targets", type=int, default=24)
    options = parser.parse_args()
    time_us = measure_time_per_task_us(options.jobs, options.tasks, options.targets)
    print(f"engine_time_per_task={time_us:.1f} us")


if __name__ == "__main__":
    main()
