"""Lookup, queueing and counting of the jobs, tasks and stray runs of a coordinator."""

__all__ = [
    "activate_task",
    "count_stray_run",
    "enqueue_job",
    "find_task",
    "has_only_unheard_owners",
    "uncount_stray_run",
]

from hibiscusstack.pool.active_jobs import (
    ActiveJob,
    PoolTask,
    TaskState,
    parse_task_name,
)
from hibiscusstack.pool.coordination.state import CoordinatorState


def find_task(
    state: CoordinatorState, name: str
) -> tuple[ActiveJob | None, PoolTask | None]:
    """Return the job and the task of a task name; each is ``None`` if unknown.

    A stored job that still waits for admission is requested from the journal.
    """
    parsed = parse_task_name(name)
    if parsed is None:
        return None, None
    if state.journal is not None and parsed[0] not in state.jobs:
        state.journal.admit_job(parsed[0])
    job = state.jobs.get(parsed[0])
    return job, job.tasks.get(parsed[1]) if job else None


def enqueue_job(state: CoordinatorState, job: ActiveJob) -> None:
    """Queue a job with ready tasks; one that is queued already keeps its position."""
    if job in state.queue:
        state.queue.update_kinds(job)
    elif job.ready:
        state.queue.add(job, state.clock.now_ms())


def activate_task(
    state: CoordinatorState, job: ActiveJob, task: PoolTask, now_ms: float
) -> None:
    """Mark a ready task as active; the first one marks its job as started."""
    task.state = TaskState.ACTIVE
    job.ready.remove(task)
    job.active_count += 1
    if job.first_start_ms is None:
        job.first_start_ms = now_ms
        if job.is_stored:
            state.journal.task_started(job.job.job_id)


def count_stray_run(state: CoordinatorState, name: str) -> None:
    """Count a stray run: a run at a target that belongs to no job in progress."""
    parsed = parse_task_name(name)
    if parsed is not None:
        state.stray_run_counts[parsed[0]] += 1


def uncount_stray_run(state: CoordinatorState, name: str) -> None:
    """Stop counting a stray run, which is gone or belongs to a job again."""
    parsed = parse_task_name(name)
    if parsed is None:
        return
    state.stray_run_counts[parsed[0]] -= 1
    if state.stray_run_counts[parsed[0]] <= 0:
        del state.stray_run_counts[parsed[0]]


def has_only_unheard_owners(state: CoordinatorState, job: ActiveJob) -> bool:
    """Return whether no host that waits for the job has been heard from recently."""
    return bool(job.submissions) and all(
        owner in state.unheard_owners for owner, _ in job.submissions
    )
