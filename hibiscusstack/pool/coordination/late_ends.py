"""Ends of runs that count although this coordinator no longer tracked the runs."""

__all__ = ["apply_stored_end", "apply_untracked_end"]

from hibiscusstack.pool.active_jobs import ActiveJob, PoolTask, TaskState
from hibiscusstack.pool.coordination.checkpoints import save_checkpoint
from hibiscusstack.pool.coordination.closing import (
    abandon_task,
    close_job,
    complete_if_done,
)
from hibiscusstack.pool.coordination.job_tracking import enqueue_job, find_task
from hibiscusstack.pool.coordination.state import CoordinatorState
from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.orders import RUN_DONE, RUN_FAILED, RunEnd


def apply_untracked_end(state: CoordinatorState, end: RunEnd) -> None:
    """Apply the end of a run that this coordinator does not track.

    An earlier coordinator started the run and has not acknowledged its end, or the run
    was given up here before its end arrived.
    """
    job, task = find_task(state, end.task)
    if task is None:
        return
    task.next_run = max(task.next_run, end.run + 1)
    task.note_checkpoint(end.run, end.checkpoint)
    if job.is_stored:
        apply_stored_end(state, job, task, end)
    elif end.outcome == RUN_DONE and task in job.ready:
        job.ready.remove(task)
        job.note_done(task)
        complete_if_done(state, job)


def apply_stored_end(
    state: CoordinatorState, job: ActiveJob, task: PoolTask, end: RunEnd
) -> None:
    """Apply and record the end of a run of a stored job.

    The end counts even if the task is already running again.
    """
    job_id = job.job.job_id
    if task.state is TaskState.DONE:
        return
    if end.outcome == RUN_FAILED and state.journal.task_failed(
        job_id, task.key, end.run
    ):
        task.failures += 1
        if task.failures >= job.job.max_attempts:
            close_job(
                state,
                job,
                JobEnd.FAILED,
                "a task reached its maximum number of attempts",
            )
    if end.outcome != RUN_DONE:
        save_checkpoint(state, job, task)
        return
    state.journal.task_done(job_id, task.key)
    if task.state is TaskState.ACTIVE:
        abandon_task(state, task)
    elif task in job.ready:
        job.ready.remove(task)
    job.note_done(task)
    if not complete_if_done(state, job):
        enqueue_job(state, job)
