"""All stored jobs that a coordinator knows, from the records in the log."""

__all__ = ["JobTable", "StoredJob"]

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs
from eliot import log_message

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.stored.progress import JobProgress
from hibiscusstack.pool.stored.records import (
    TERM_COUNT_KEY,
    JobRecord,
    ProgressRecord,
    decode_job_record,
    decode_progress,
    decode_term_count,
)

_LIVE_STATES = (StoredState.QUEUED, StoredState.RUNNING)


@attrs.define(eq=False)
class StoredJob:
    """One job. ``state`` is what may be shown, ``final`` how it has ended.

    ``final`` is shown once its record is in the log. What only a live job needs is
    dropped with that. Runs are numbered from ``first_run`` on; an earlier coordinator
    may have started some of a job that ``is_early``.
    """

    job_id: str
    queue: str
    state: StoredState
    record: JobRecord | None = None
    progress: JobProgress | None = None
    final_state: StoredState | None = None
    ended_ms: float | None = None
    first_run_number: int = 1
    is_from_earlier_term: bool = False

    @property
    def is_live(self) -> bool:
        """Tell whether the job has not ended for good."""
        return self.state in _LIVE_STATES

    def progress_record(self) -> ProgressRecord:
        """Return what the log has to say of the job now."""
        if self.final_state is not None:
            return ProgressRecord(self.queue, self.final_state)
        return ProgressRecord(self.queue, self.state, self.progress)


class JobTable:
    """Jobs by id, their states, and what can be dropped from the log.

    Records may come again in any number: the first record of a job counts, and one
    of a job that has ended changes nothing. ``keep_ms`` is how long a job is known
    after its end.
    """

    def __init__(self, retention_ms: float) -> None:
        self.term_count = 0
        self._retention_ms = retention_ms
        self._jobs: dict[str, StoredJob] = {}
        self._queued_counts: Counter[str] = Counter()
        self._recovered_progress: dict[str, ProgressRecord] = {}
        self._obsolete: set[str] = set()
        self._ended_ms: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    def find(self, job_id: str) -> StoredJob | None:
        """Return a job that is known."""
        return self._jobs.get(job_id)

    def unfinished_jobs(self) -> list[StoredJob]:
        """Return the jobs that have not ended."""
        return [job for job in self._jobs.values() if job.final_state is None]

    def count_queued(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun."""
        return self._queued_counts[queue]

    def load_progress(self, records: Iterable[KeyedRecord], now_ms: float) -> None:
        """Take how far all jobs were when the earlier coordinators ended."""
        for record in records:
            try:
                self._load_progress_record(record, now_ms)
            except DecodeError as error:
                log_message("pool:record_refused", level="error", cause=str(error))

    def load_jobs(self, records: Sequence[KeyedRecord]) -> list[StoredJob]:
        """Take records of accepted jobs; return those that are new."""
        new_jobs = []
        for record in records:
            if record.value is None:
                continue
            known = self._jobs.get(record.key)
            if known is not None:
                if not known.is_live:
                    self._obsolete.add(record.key)
                continue
            try:
                new_jobs.append(self._add(decode_job_record(record)))
            except DecodeError as error:
                log_message("pool:record_refused", level="error", cause=str(error))
        return new_jobs

    def add_accepted(self, record: JobRecord) -> list[StoredJob]:
        """Take a job that stands in the log; return it if it is new."""
        is_known = record.job.job_id in self._jobs
        return [] if is_known else [self._add(record)]

    def mark_started(self, job: StoredJob) -> None:
        """Note that a task of the job has started."""
        if job.state is StoredState.QUEUED:
            job.state = StoredState.RUNNING
            self._queued_counts[job.queue] -= 1

    def mark_ended(self, job: StoredJob, now_ms: float) -> None:
        """Show a job as ended; its record in the log is spent."""
        if job.state is StoredState.QUEUED:
            self._queued_counts[job.queue] -= 1
        job.state = job.final_state
        job.record = job.progress = None
        job.ended_ms = now_ms
        self._ended_ms[job.job_id] = now_ms
        self._obsolete.add(job.job_id)

    def pop_obsolete(self) -> list[str]:
        """Return the jobs whose first record is of no use any more, once."""
        obsolete = list(self._obsolete)
        self._obsolete.clear()
        return obsolete

    def expire(self, now_ms: float) -> list[str]:
        """Forget the jobs that ended long ago, and return their ids."""
        expired = []
        for job_id, ended_ms in self._ended_ms.items():
            if now_ms - ended_ms < self._retention_ms:
                break
            expired.append(job_id)
        for job_id in expired:
            del self._ended_ms[job_id]
            del self._jobs[job_id]
        return expired

    def _load_progress_record(self, record: KeyedRecord, now_ms: float) -> None:
        if record.value is None:
            return
        if record.key == TERM_COUNT_KEY:
            self.term_count = decode_term_count(record)
            return
        found = decode_progress(record)
        if found.progress is not None:
            self._recovered_progress[record.key] = found
            return
        job = StoredJob(record.key, found.queue, found.state, final_state=found.state)
        job.ended_ms = self._ended_ms[record.key] = now_ms
        self._jobs[record.key] = job

    def _add(self, record: JobRecord) -> StoredJob:
        job_id = record.job.job_id
        recovered = self._recovered_progress.pop(job_id, None)
        progress = JobProgress.of_steps(record.job.steps)
        if recovered is not None and len(recovered.progress.done_bits) == len(
            progress.done_bits
        ):
            progress = recovered.progress
        job = StoredJob(job_id, record.queue, StoredState.QUEUED, record, progress)
        self._jobs[job_id] = job
        self._queued_counts[record.queue] += 1
        if progress.has_begun:
            self.mark_started(job)
        return job
