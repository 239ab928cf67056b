"""Table of a coordinator's stored jobs, built from records in the log."""

__all__ = ["JobTable", "StoredJob"]

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from hibiscusstack.exceptions import DecodeError
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.messages import StoredState
from hibiscusstack.pool.refused_records import RefusedRecords
from hibiscusstack.pool.stored.progress import JobProgress
from hibiscusstack.pool.stored.records import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    TAKEOVER_COUNT_KEY,
    JobRecord,
    ProgressRecord,
    decode_job_record,
    decode_progress,
    decode_takeover_count,
    require_runnable,
)

_LIVE_STATES = (StoredState.QUEUED, StoredState.RUNNING)


@attrs.define(eq=False)
class StoredJob:
    """One stored job.

    ``state`` is the state that callers may see, ``final_state`` how the job has
    ended. ``final_state`` becomes visible once its record is in the log; ``record``
    and ``progress``, which only a live job needs, are then dropped. The numbers of new
    runs begin at ``first_run_number``. If ``may_have_earlier_runs``, an earlier
    coordinator, or this one before it was isolated, may have started some runs of the
    job.
    """

    job_id: str
    queue: str
    state: StoredState
    record: JobRecord | None = None
    progress: JobProgress | None = None
    final_state: StoredState | None = None
    ended_ms: float | None = None
    first_run_number: int = 1
    may_have_earlier_runs: bool = False

    @property
    def is_live(self) -> bool:
        """Tell whether callers see the job as queued or running."""
        return self.state in _LIVE_STATES

    def progress_record(self) -> ProgressRecord:
        """Return the progress record to append for the job now."""
        if self.final_state is not None:
            return ProgressRecord(self.queue, self.final_state)
        return ProgressRecord(self.queue, self.state, self.progress)


class JobTable:
    """Jobs by id, with their states and the records that can be deleted.

    Loading records is idempotent: only the first record of a job counts, and a record
    of a job that has ended changes no state. An ended job can be queried for
    ``retention_ms`` after its end. ``takeover_count`` is how often a coordinator has
    taken over the jobs, also when it returned from isolation within its term.
    """

    def __init__(self, retention_ms: float) -> None:
        self.takeover_count = 0
        self._retention_ms = retention_ms
        self._jobs: dict[str, StoredJob] = {}
        self._queued_counts: Counter[str] = Counter()
        self._recovered_progress: dict[str, ProgressRecord] = {}
        self._obsolete: set[str] = set()
        self._ended_ms: dict[str, float] = {}
        self._refused = RefusedRecords()

    def __len__(self) -> int:
        return len(self._jobs)

    def find(self, job_id: str) -> StoredJob | None:
        """Return the job with this id, or None if the table does not hold it."""
        return self._jobs.get(job_id)

    def unfinished_jobs(self) -> list[StoredJob]:
        """Return the jobs whose end has not been recorded."""
        return [job for job in self._jobs.values() if job.final_state is None]

    def count_queued(self, queue: str) -> int:
        """Return how many jobs of a queue have not started."""
        return self._queued_counts[queue]

    def load_progress(self, records: Iterable[KeyedRecord], now_ms: float) -> None:
        """Load the progress that earlier coordinators recorded.

        A malformed record is logged and skipped.
        """
        for record in records:
            try:
                self._load_progress_record(record, now_ms)
            except DecodeError as error:
                self._refused.note(PROGRESS_TOPIC, record, error, "error")

    def load_jobs(self, records: Sequence[KeyedRecord]) -> list[StoredJob]:
        """Load records of accepted jobs; return the jobs that are new.

        A malformed record is logged and skipped.
        """
        new_jobs = []
        for record in records:
            if record.value is None:
                continue
            existing = self._jobs.get(record.key)
            if existing is not None:
                if not existing.is_live:
                    self._obsolete.add(record.key)
                continue
            try:
                decoded = decode_job_record(record)
                require_runnable(decoded.job)
            except DecodeError as error:
                self._refused.note(JOBS_TOPIC, record, error, "error")
                continue
            new_jobs.append(self._add(decoded))
        return new_jobs

    def add_accepted(self, record: JobRecord) -> list[StoredJob]:
        """Add a job whose record is in the log; return it in a list if it is new."""
        is_present = record.job.job_id in self._jobs
        return [] if is_present else [self._add(record)]

    def mark_started(self, job: StoredJob) -> None:
        """Mark a queued job as running."""
        if job.state is StoredState.QUEUED:
            job.state = StoredState.RUNNING
            self._queued_counts[job.queue] -= 1

    def mark_ended(self, job: StoredJob, now_ms: float) -> None:
        """Make the end of a job visible and mark its job record as obsolete."""
        if job.state is StoredState.QUEUED:
            self._queued_counts[job.queue] -= 1
        job.state = job.final_state
        job.record = job.progress = None
        job.ended_ms = now_ms
        self._ended_ms[job.job_id] = now_ms
        self._obsolete.add(job.job_id)

    def pop_obsolete(self) -> list[str]:
        """Return and clear the ids of jobs whose job record can be deleted."""
        obsolete = list(self._obsolete)
        self._obsolete.clear()
        return obsolete

    def expire(self, now_ms: float) -> list[str]:
        """Remove the jobs whose retention time is over, and return their ids."""
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
        if record.key == TAKEOVER_COUNT_KEY:
            self.takeover_count = decode_takeover_count(record)
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
