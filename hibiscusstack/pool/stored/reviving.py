"""A stored job as the coordinator works on it."""

__all__ = ["first_run_of", "revive_job"]

from hibiscusstack.pool.jobs import PoolJob
from hibiscusstack.pool.stored.progress import JobProgress
from hibiscusstack.pool.work import ActiveJob

RUNS_OF_A_TERM = 16


def first_run_of(terms: int) -> int:
    """Return the first number for runs of jobs that earlier terms may have run.

    Starts are not kept in the log, so each term numbers its runs from above those
    that the terms before may have used.

    >>> first_run_of(1), first_run_of(3)
    (1, 33)
    """
    return 1 + RUNS_OF_A_TERM * (terms - 1)


def revive_job(
    job: PoolJob, progress: JobProgress, received_ms: float, first_run: int
) -> ActiveJob:
    """Return the job with all that is known to have ended."""
    active = ActiveJob(job, received_ms, is_resubmitted=True, is_stored=True)
    for key, task in active.tasks.items():
        task.next_run = max(first_run, progress.next_run(key))
        task.failures = len(progress.failed.get(key, ()))
        if progress.is_done(key):
            if task in active.ready:
                active.ready.remove(task)
            active.note_done(task)
    return active
