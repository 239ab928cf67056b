"""Journal of the progress of stored jobs.

Progress is appended to the log before anything irreversible depends on it.
"""

__all__ = ["ProgressJournal"]

from collections import Counter, defaultdict
from collections.abc import Callable

from hibiscusstack.clock import Clock
from hibiscusstack.pool.jobs import TaskKey
from hibiscusstack.pool.messages import JobEnd, StoredState
from hibiscusstack.pool.stored.job_table import JobTable, StoredJob
from hibiscusstack.pool.stored.records import encode_progress
from hibiscusstack.pool.stored.writer import BatchWriter

_FINAL_STATES = {
    JobEnd.COMPLETED: StoredState.COMPLETED,
    JobEnd.FAILED: StoredState.FAILED,
}


class ProgressJournal:
    """Records task and job ends in the job table and appends them to the log.

    Ends of one job that are recorded while a batch is in flight share one record.
    """

    def __init__(self, jobs: JobTable, writer: BatchWriter, clock: Clock) -> None:
        self._jobs = jobs
        self._writer = writer
        self._clock = clock
        self._unsaved: Counter[str] = Counter()
        self._end_saved_callbacks: defaultdict[str, list[Callable[[], None]]] = (
            defaultdict(list)
        )

    def task_done(self, job_id: str, key: TaskKey) -> None:
        """Record that a task is done."""
        job = self._find_unfinished(job_id)
        if job is not None and job.progress.mark_done(key):
            self._append_progress(job)

    def task_failed(self, job_id: str, key: TaskKey, run: int) -> bool:
        """Record a failed run; return whether it was not recorded before."""
        job = self._find_unfinished(job_id)
        is_new = job is not None and job.progress.record_failure(key, run)
        if is_new:
            self._append_progress(job)
        return is_new

    def task_checkpointed(
        self, job_id: str, key: TaskKey, run: int, checkpoint: str
    ) -> None:
        """Record the checkpoint from which the next run of a task can resume."""
        job = self._find_unfinished(job_id)
        if job is not None and job.progress.record_checkpoint(key, run, checkpoint):
            self._append_progress(job)

    def finish(self, job: StoredJob, final_state: StoredState) -> None:
        """Record how a job has ended; callers see the end once it is in the log."""
        if job.final_state is not None:
            return
        job.final_state = final_state
        self._append_progress(job, lambda: self._handle_end_saved(job))

    def when_end_saved(self, job: StoredJob, on_end_saved: Callable[[], None]) -> None:
        """Call ``on_end_saved`` once the end of a job is in the log.

        Callers can see the end from then on.
        """
        if job.is_live:
            self._end_saved_callbacks[job.job_id].append(on_end_saved)
        else:
            on_end_saved()

    def job_ended(self, job_id: str, end: JobEnd) -> None:
        """Record how a job has ended.

        Any end other than completed or failed is recorded as cancelled.
        """
        job = self._find_unfinished(job_id)
        if job is not None:
            self.finish(job, _FINAL_STATES.get(end, StoredState.CANCELLED))

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether any progress of a job is not in the log yet."""
        return job_id in self._unsaved

    def when_saved(self, job_id: str, on_saved: Callable[[], None]) -> None:
        """Call ``on_saved`` once all recorded progress of a job is in the log."""
        job = self._jobs.find(job_id)
        if job is None or not self.is_unsaved(job_id):
            on_saved()
        else:
            self._append_progress(job, on_saved)

    def _handle_end_saved(self, job: StoredJob) -> None:
        self._jobs.mark_ended(job, self._now_ms())
        for on_end_saved in self._end_saved_callbacks.pop(job.job_id, ()):
            on_end_saved()

    def _find_unfinished(self, job_id: str) -> StoredJob | None:
        job = self._jobs.find(job_id)
        return job if job is not None and job.final_state is None else None

    def _append_progress(
        self, job: StoredJob, on_saved: Callable[[], None] | None = None
    ) -> None:
        self._unsaved[job.job_id] += 1

        def handle_saved() -> None:
            self._unsaved[job.job_id] -= 1
            if not self._unsaved[job.job_id]:
                del self._unsaved[job.job_id]
            if on_saved is not None:
                on_saved()

        self._writer.put(
            job.job_id, lambda: encode_progress(job.progress_record()), handle_saved
        )

    def _now_ms(self) -> float:
        return self._clock.now_ms()
