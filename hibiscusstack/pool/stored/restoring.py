"""Restoring the active job of a coordinator from a stored job and its progress."""

__all__ = ["first_run_number", "restore_active_job"]

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.stored.job_table import StoredJob

RUN_NUMBERS_PER_TAKEOVER = 16


def first_run_number(takeover_count: int) -> int:
    """Return the first run number for jobs that may have earlier runs.

    Starts of runs are not recorded in the log, so after each takeover the run numbers
    are above those that may have been used before it.

    >>> first_run_number(1), first_run_number(3)
    (1, 33)
    """
    return 1 + RUN_NUMBERS_PER_TAKEOVER * (takeover_count - 1)


def restore_active_job(job: StoredJob, received_ms: float) -> ActiveJob:
    """Return the active job, with its recorded ends and checkpoints applied."""
    progress = job.progress
    active = ActiveJob(
        job.record.job, received_ms, job.may_have_earlier_runs, is_stored=True
    )
    for key, task in active.tasks.items():
        task.next_run = max(job.first_run_number, progress.next_run(key))
        task.failures = len(progress.failed_runs.get(key, ()))
        task.note_checkpoint(*progress.checkpoints.get(key, (0, "")))
        if progress.is_done(key):
            if task in active.ready:
                active.ready.remove(task)
            active.note_done(task)
    return active
