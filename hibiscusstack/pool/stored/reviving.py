"""A stored job as the coordinator works on it."""

__all__ = ["first_run_of", "revive_job"]

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.stored.ledger import StoredJob

RUNS_OF_A_TERM = 16


def first_run_of(terms: int) -> int:
    """Return the first number for runs of jobs that earlier terms may have run.

    Starts are not kept in the log, so each term numbers its runs from above those
    that the terms before may have used.

    >>> first_run_of(1), first_run_of(3)
    (1, 33)
    """
    return 1 + RUNS_OF_A_TERM * (terms - 1)


def revive_job(job: StoredJob, received_ms: float) -> ActiveJob:
    """Return the job with all that is known to have ended."""
    progress = job.progress
    active = ActiveJob(job.record.job, received_ms, job.is_early, is_stored=True)
    for key, task in active.tasks.items():
        task.next_run = max(job.first_run, progress.next_run(key))
        task.failures = len(progress.failed.get(key, ()))
        task.note_checkpoint(*progress.checkpoints.get(key, (0, "")))
        if progress.is_done(key):
            if task in active.ready:
                active.ready.remove(task)
            active.note_done(task)
    return active
