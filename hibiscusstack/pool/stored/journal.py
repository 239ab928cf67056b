"""Writing down how far stored jobs are, before anybody acts on it for good."""

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
    """Notes ends in the ledger and appends the progress of their jobs.

    Ends of one job that come while a batch is on its way share one record.
    """

    def __init__(self, jobs: JobTable, writer: BatchWriter, clock: Clock) -> None:
        self._jobs = jobs
        self._writer = writer
        self._clock = clock
        self._unsaved: Counter[str] = Counter()
        self._visible_callbacks: defaultdict[str, list[Callable[[], None]]] = (
            defaultdict(list)
        )

    def task_done(self, job_id: str, key: TaskKey) -> None:
        """Keep that a task is done."""
        job = self._find_unfinished(job_id)
        if job is not None and job.progress.mark_done(key):
            self._append_progress(job)

    def task_failed(self, job_id: str, key: TaskKey, run: int) -> bool:
        """Keep that a run failed; return whether that is news."""
        job = self._find_unfinished(job_id)
        is_new = job is not None and job.progress.record_failure(key, run)
        if is_new:
            self._append_progress(job)
        return is_new

    def task_checkpointed(
        self, job_id: str, key: TaskKey, run: int, checkpoint: str
    ) -> None:
        """Keep from where a task that runs again can go on."""
        job = self._find_unfinished(job_id)
        if job is not None and job.progress.record_checkpoint(key, run, checkpoint):
            self._append_progress(job)

    def finish(self, job: StoredJob, final_state: StoredState) -> None:
        """Keep how a job has ended; it is shown so from then on."""
        if job.final_state is not None:
            return
        job.final_state = final_state
        self._append_progress(job, lambda: self._end_saved(job))

    def when_visible(self, job: StoredJob, on_visible: Callable[[], None]) -> None:
        """Call ``on_shown`` once a job that has ended is shown so."""
        if job.is_live:
            self._visible_callbacks[job.job_id].append(on_visible)
        else:
            on_visible()

    def job_ended(self, job_id: str, end: JobEnd) -> None:
        """Keep how a job has ended; one that was stopped is cancelled."""
        job = self._find_unfinished(job_id)
        if job is not None:
            self.finish(job, _FINAL_STATES.get(end, StoredState.CANCELLED))

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether anything of a job is not in the log yet."""
        return job_id in self._unsaved

    def when_saved(self, job_id: str, on_saved: Callable[[], None]) -> None:
        """Call ``on_saved`` when all that is kept of a job is in the log."""
        job = self._jobs.find(job_id)
        if job is None or not self.is_unsaved(job_id):
            on_saved()
        else:
            self._append_progress(job, on_saved)

    def _end_saved(self, job: StoredJob) -> None:
        self._jobs.mark_ended(job, self._now_ms())
        for on_visible in self._visible_callbacks.pop(job.job_id, ()):
            on_visible()

    def _find_unfinished(self, job_id: str) -> StoredJob | None:
        job = self._jobs.find(job_id)
        return job if job is not None and job.final_state is None else None

    def _append_progress(
        self, job: StoredJob, on_saved: Callable[[], None] | None = None
    ) -> None:
        self._unsaved[job.job_id] += 1

        def saved() -> None:
            self._unsaved[job.job_id] -= 1
            if not self._unsaved[job.job_id]:
                del self._unsaved[job.job_id]
            if on_saved is not None:
                on_saved()

        self._writer.put(
            job.job_id, lambda: encode_progress(job.progress_record()), saved
        )

    def _now_ms(self) -> float:
        return self._clock.now_ms()
