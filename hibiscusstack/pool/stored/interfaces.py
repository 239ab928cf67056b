"""What a coordinator and the keeper of stored jobs need of one another."""

__all__ = ["JobRunner", "TaskJournal"]

from collections.abc import Callable
from typing import Protocol

from hibiscusstack.pool.active_jobs import ActiveJob
from hibiscusstack.pool.jobs import TaskKey
from hibiscusstack.pool.messages import JobEnd


class TaskJournal(Protocol):
    """Keeps what becomes of the tasks of stored jobs."""

    @property
    def is_recovering(self) -> bool:
        """Tell whether some stored jobs may not be known yet."""

    def offer(self, job_id: str) -> None:
        """Hand over a job at once, if it waits for its turn."""

    def task_started(self, job_id: str) -> None:
        """Note that a task of the job has started."""

    def task_done(self, job_id: str, key: TaskKey) -> None:
        """Keep that a task is done."""

    def task_failed(self, job_id: str, key: TaskKey, run: int) -> bool:
        """Keep that a run failed; return whether that is news."""

    def task_checkpointed(
        self, job_id: str, key: TaskKey, run: int, checkpoint: str
    ) -> None:
        """Keep from where a task that runs again can go on."""

    def job_ended(self, job_id: str, end: JobEnd) -> None:
        """Keep how a job has ended."""

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether anything of a job is not in the log yet."""

    def when_saved(self, job_id: str, on_saved: Callable[[], None]) -> None:
        """Call ``on_saved`` when all that is kept of a job is in the log."""


class JobRunner(Protocol):
    """Runs the stored jobs of one term."""

    def run_stored(self, job: ActiveJob) -> None:
        """Take a stored job; nothing of it starts within this call."""

    def place_stored(self) -> None:
        """Start what was taken, where there is room."""

    def cancel_stored(self, job_id: str) -> None:
        """Stop a stored job."""

    def look_for_end(self, job_id: str, on_looked: Callable[[], None]) -> None:
        """Look at the targets with the last runs of a job, which may have ended."""

    def release_stored(self) -> None:
        """Leave all stored jobs, and stop their runs."""

    def stored_recovered(self) -> None:
        """Act on what was left open while some stored jobs were not known."""

    def step_down(self) -> None:
        """Give no further orders."""
