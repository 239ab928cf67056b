"""Runs that an earlier coordinator started, and that go on for jobs known here."""

__all__ = ["adopt_stored_runs", "take_unknown_run"]

from hibiscusstack.pool.coordination.known_work import (
    activate_task,
    count_stray_run,
    enqueue_job,
    find_task,
    forget_stray_run,
    is_unheard,
)
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.held_target import HeldTarget, Run, RunState
from hibiscusstack.pool.jobs import NO_RESOURCES


def take_unknown_run(
    state: CoordinatorState, target: HeldTarget, key: tuple[str, int], now_ms: float
) -> None:
    """Adopt a run of a job that is known and waits for it; list any other."""
    name, number = key
    job, task = find_task(state, name)
    is_wanted = task is not None and task in job.ready
    if is_wanted and not state.is_deputy and not is_unheard(state, job):
        run = Run(name, number, job, task, task.step.needs, RunState.RUNNING, now_ms)
        activate_task(state, job, task, now_ms)
        # A job that has begun goes first, and is not given up for being late.
        state.queue.discard(job)
        enqueue_job(state, job)
        task.next_run = max(task.next_run, number + 1)
    else:
        run = Run(name, number, None, None, NO_RESOURCES, RunState.RUNNING, now_ms)
        count_stray_run(state, name)
    run.known_ms = now_ms
    target.add(run)


def adopt_stored_runs(state: CoordinatorState) -> None:
    """Take over the runs of stored jobs that have become known after the runs."""
    for target in state.targets.values():
        for run in list(target.runs.values()):
            if run.job is None and run.state is not RunState.STOPPING:
                _adopt(state, target, run)


def _adopt(state: CoordinatorState, target: HeldTarget, run: Run) -> None:
    job, task = find_task(state, run.name)
    if task is None or not job.is_stored or task not in job.ready:
        return
    forget_stray_run(state, run.name)
    target.remove(run)
    run.job, run.task, run.needs = job, task, task.step.needs
    target.add(run)
    activate_task(state, job, task, run.started_ms)
    task.next_run = max(task.next_run, run.number + 1)
