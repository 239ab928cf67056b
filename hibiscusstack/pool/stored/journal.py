"""Writing down how far stored jobs are, before anybody acts on it for good."""

__all__ = ["Journal"]

from collections import Counter, defaultdict
from collections.abc import Callable

from hibiscusstack.clock import Clock
from hibiscusstack.pool.jobs import TaskKey
from hibiscusstack.pool.messages import JobEnd, StoredState
from hibiscusstack.pool.stored.ledger import Ledger, StoredJob
from hibiscusstack.pool.stored.records import encode_progress
from hibiscusstack.pool.stored.writer import BatchWriter

_FINAL = {JobEnd.COMPLETED: StoredState.COMPLETED, JobEnd.FAILED: StoredState.FAILED}


class Journal:
    """Notes ends in the ledger and appends the progress of their jobs.

    Ends of one job that come while a batch is on its way share one record.
    """

    def __init__(self, ledger: Ledger, writer: BatchWriter, clock: Clock) -> None:
        self._ledger = ledger
        self._writer = writer
        self._clock = clock
        self._unsaved: Counter[str] = Counter()
        self._on_shown: defaultdict[str, list[Callable[[], None]]] = defaultdict(list)

    def task_done(self, job_id: str, key: TaskKey) -> None:
        """Keep that a task is done."""
        job = self._open_job(job_id)
        if job is not None and job.progress.note_done(key):
            self._put(job)

    def task_failed(self, job_id: str, key: TaskKey, run: int) -> bool:
        """Keep that a run failed; return whether that is news."""
        job = self._open_job(job_id)
        is_news = job is not None and job.progress.note_failed(key, run)
        if is_news:
            self._put(job)
        return is_news

    def task_checkpointed(
        self, job_id: str, key: TaskKey, run: int, checkpoint: str
    ) -> None:
        """Keep from where a task that runs again can go on."""
        job = self._open_job(job_id)
        if job is not None and job.progress.note_checkpoint(key, run, checkpoint):
            self._put(job)

    def finish(self, job: StoredJob, final: StoredState) -> None:
        """Keep how a job has ended; it is shown so from then on."""
        if job.final is not None:
            return
        job.final = final
        self._put(job, lambda: self._final_saved(job))

    def when_shown(self, job: StoredJob, on_shown: Callable[[], None]) -> None:
        """Call ``on_shown`` once a job that has ended is shown so."""
        if job.is_live:
            self._on_shown[job.job_id].append(on_shown)
        else:
            on_shown()

    def job_ended(self, job_id: str, end: JobEnd) -> None:
        """Keep how a job has ended; one that was stopped is cancelled."""
        job = self._open_job(job_id)
        if job is not None:
            self.finish(job, _FINAL.get(end, StoredState.CANCELLED))

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether anything of a job is not in the log yet."""
        return job_id in self._unsaved

    def when_saved(self, job_id: str, on_saved: Callable[[], None]) -> None:
        """Call ``on_saved`` when all that is kept of a job is in the log."""
        job = self._ledger.find(job_id)
        if job is None or not self.is_unsaved(job_id):
            on_saved()
        else:
            self._put(job, on_saved)

    def _final_saved(self, job: StoredJob) -> None:
        self._ledger.note_final_saved(job, self._now_ms())
        for on_shown in self._on_shown.pop(job.job_id, ()):
            on_shown()

    def _open_job(self, job_id: str) -> StoredJob | None:
        job = self._ledger.find(job_id)
        return job if job is not None and job.final is None else None

    def _put(self, job: StoredJob, on_saved: Callable[[], None] | None = None) -> None:
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
