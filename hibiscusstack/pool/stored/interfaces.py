"""Interfaces between a coordinator and its manager of stored jobs."""

__all__ = ["JobRunner", "TaskJournal"]

from collections.abc import Callable
from typing import Protocol

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.jobs import TaskKey
from hibiscusstack.pool.messages import JobEnd


class TaskJournal(Protocol):
    """Records the progress of stored jobs in the log."""

    @property
    def is_recovering(self) -> bool:
        """Tell whether the stored jobs have not all been read from the log yet."""

    def may_lack_job(self, job_id: str) -> bool:
        """Tell whether a job is unknown that an earlier coordinator may have run.

        Such a job was stored before the leases of all earlier coordinators expired. A
        job that was stored later has no runs of theirs.
        """

    def look_up(self, job_id: str, on_read: Callable[[], None]) -> None:
        """Call ``on_read`` once the job is known, or the log has been read for it."""

    def admit_job(self, job_id: str) -> None:
        """Pass a waiting job to the runner regardless of the admission limit.

        Called to find the job of a task that a target reported; starts no task.
        """

    def task_started(self, job_id: str) -> None:
        """Mark the job as running, since one of its tasks has started."""

    def job_lacks_room(self, job_id: str) -> None:
        """Admit other jobs, since no target has room for a task of this one."""

    def task_done(self, job_id: str, key: TaskKey) -> None:
        """Record that a task is done."""

    def task_failed(self, job_id: str, key: TaskKey, run: int) -> bool:
        """Record a failed run; return whether it was not recorded before."""

    def task_checkpointed(
        self, job_id: str, key: TaskKey, run: int, checkpoint: str
    ) -> None:
        """Record the checkpoint from which the next run of a task can resume."""

    def job_ended(self, job_id: str, end: JobEnd) -> None:
        """Record how a job has ended."""

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether any progress of a job is not in the log yet."""

    def when_saved(self, job_id: str, on_saved: Callable[[], None]) -> None:
        """Call ``on_saved`` once all recorded progress of a job is in the log."""


class JobRunner(Protocol):
    """Runs the stored jobs of one term."""

    def add_stored_job(self, job: ActiveJob) -> None:
        """Queue a stored job; none of its tasks starts within this call."""

    def start_stored_jobs(self) -> None:
        """Start tasks of the added jobs on targets with free capacity."""

    def cancel_stored_job(self, job_id: str) -> None:
        """Cancel a stored job and stop its runs."""

    def poll_for_end(self, job_id: str, on_polled: Callable[[], None]) -> None:
        """Poll the targets of a job whose last runs may have ended.

        ``on_polled`` is called once all of them have answered.
        """

    def release_stored_jobs(self) -> None:
        """Remove all stored jobs from the queue and stop their runs."""

    def stored_jobs_recovered(self) -> None:
        """Handle ends and runs whose jobs have become known; starts no task."""

    def step_down(self) -> None:
        """Stop sending orders to targets."""
