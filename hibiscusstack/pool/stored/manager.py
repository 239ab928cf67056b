"""Management of the stored jobs at the coordinator of a term."""

__all__ = ["StoredJobManager", "StoredJobTiming"]

from collections.abc import Callable, Sequence

import attrs
from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.exceptions import ExpiredError
from hibiscusstack.pool.interfaces import (
    Appended,
    Fenced,
    KeyedPage,
    KeyedRecord,
    Producer,
    SequencedLog,
)
from hibiscusstack.pool.jobs import TaskKey
from hibiscusstack.pool.messages import JobEnd, StoredState
from hibiscusstack.pool.stored.backlog import Backlog
from hibiscusstack.pool.stored.interfaces import JobRunner
from hibiscusstack.pool.stored.job_table import JobTable, StoredJob
from hibiscusstack.pool.stored.journal import ProgressJournal
from hibiscusstack.pool.stored.records import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    TAKEOVER_COUNT_KEY,
    JobRecord,
    encode_takeover_count,
)
from hibiscusstack.pool.stored.restoring import first_run_number, restore_active_job
from hibiscusstack.pool.stored.writer import BatchWriter
from hibiscusstack.pool.topic_follower import TopicFollower

PRODUCER_NAME = "coordinator"
RETRY_DELAY_MS = 200
ADMISSION_INTERVAL_MS = 500
# A job that is first read this soon after the start may have been run by an earlier
# coordinator. That one may run newly stored jobs until it learns of the new term or, if
# it cannot, until it releases its jobs within ``CoordinatorTiming.seclusion_ms``; its
# leases then last for ``max_lease_ms``. The window is longer than the defaults of both.
EARLIER_TERM_WINDOW_MS = 5_000

OnState = Callable[[StoredState], None]
OnCount = Callable[[int], None]


@attrs.frozen
class StoredJobTiming:
    """Durations in milliseconds.

    An ended job can be queried for ``retention_ms`` after its end. A read of the jobs
    topic waits for new records for ``read_wait_ms``, and the next one begins
    ``read_pause_ms`` after it. A count of queued jobs may be based on a read that began
    at most ``max_staleness_ms`` ago. An append waits for ``linger_ms`` for further
    records. The answer to a state query waits for targets and the log for at most
    ``poll_timeout_ms``. Obsolete records are deleted every ``cleanup_interval_ms``.
    """

    retention_ms: int = 180_000
    read_wait_ms: int = 1_500
    read_pause_ms: int = 300
    max_staleness_ms: int = 4_000
    linger_ms: int = 5
    poll_timeout_ms: int = 80
    cleanup_interval_ms: int = 2_000


class StoredJobManager:
    """Reads stored jobs from the log, runs them, and records their progress.

    Recovery begins with a new producer epoch, which fences the writes of earlier
    coordinators. It then reads the progress of all jobs, increments the takeover
    count and reads the jobs. Requests wait until recovery is complete.
    """

    def __init__(
        self,
        *,
        reactor: IReactorTime,
        clock: Clock,
        wall_ms: Callable[[], int],
        log: SequencedLog,
        token: int,
        runner: JobRunner,
        timing: StoredJobTiming | None = None,
    ) -> None:
        self.is_recovering = True
        self._reactor = reactor
        self._clock = clock
        self._wall_ms = wall_ms
        self._log = log
        # The fencing token of the term is the epoch of the producer.
        self._producer = Producer(PRODUCER_NAME, token)
        self._runner = runner
        self._timing = timing or StoredJobTiming()
        self._jobs = JobTable(self._timing.retention_ms)
        self._backlog = Backlog()
        self._progress_writer = self._new_writer(PROGRESS_TOPIC)
        self._jobs_writer = self._new_writer(JOBS_TOPIC)
        self._journal = ProgressJournal(self._jobs, self._progress_writer, clock)
        self._follower = TopicFollower(
            reactor,
            log,
            JOBS_TOPIC,
            self._load_jobs,
            wait_ms=self._timing.read_wait_ms,
            pause_ms=self._timing.read_pause_ms,
            clock=clock,
            on_end=self._advance_next_offset,
        )
        self._next_offset = 0
        self._is_takeover_recorded = False
        self._has_read_jobs = False
        self._is_stopped = False
        self._is_refreshing = False
        self._is_admission_scheduled = False
        self._is_isolated = False
        self._started_ms = clock.now_ms()
        self._waiting_requests: list[Callable[[], None]] = []
        self._next_admission_ms = clock.now_ms()
        self._next_cleanup_ms = clock.now_ms() + self._timing.cleanup_interval_ms

    @property
    def has_jobs(self) -> bool:
        """Tell whether the job table holds any job."""
        return len(self._jobs) > 0

    def start(self) -> None:
        """Begin to recover the stored jobs from the log."""
        self._begin_epoch()

    def stop(self) -> None:
        """Stop all reads and writes of the log."""
        self._is_stopped = True
        self._follower.stop()
        self._progress_writer.stop()
        self._jobs_writer.stop()

    def set_isolated(self, is_isolated: bool) -> None:
        """Note whether this coordinator may have been replaced without noticing.

        The jobs are released while it is isolated. Afterwards they are recovered like
        those of an earlier term.
        """
        if is_isolated and not self._is_isolated and not self.is_recovering:
            self._release_jobs()
        elif self._is_isolated and not is_isolated:
            self._is_isolated = False
            self._record_takeover()

    def _release_jobs(self) -> None:
        log_message("pool:stored_left", level="warning", token=self._producer.epoch)
        self._is_isolated = self.is_recovering = True
        self._is_takeover_recorded = False
        self._backlog = Backlog()
        self._runner.release_stored_jobs()
        for job in self._jobs.unfinished_jobs():
            # The takeover count is incremented when the isolation ends.
            job.may_have_earlier_runs = True
            job.first_run_number = first_run_number(self._jobs.takeover_count + 1)
            self._backlog.add(job)

    def tick(self) -> None:
        """Admit jobs and delete obsolete records; to be called frequently."""
        now_ms = self._clock.now_ms()
        if self.is_recovering:
            return
        if now_ms >= self._next_admission_ms:
            self._next_admission_ms = now_ms + ADMISSION_INTERVAL_MS
            self._admit_next()
        if now_ms < self._next_cleanup_ms:
            return
        self._next_cleanup_ms = now_ms + self._timing.cleanup_interval_ms
        # ``bytes`` encodes a record as the empty value, which deletes the key.
        for job_id in self._jobs.pop_obsolete():
            self._jobs_writer.put(job_id, bytes)
        if len(self._jobs_writer):
            # Progress records are deleted only after the job records are gone: a job
            # record without the recorded end would make the job run again.
            return
        for job_id in self._jobs.expire(now_ms):
            self._progress_writer.put(job_id, bytes)

    def query_state(self, queue: str, job_id: str, answer: OnState) -> None:
        """Pass the state of a job to ``answer``.

        For a running job the targets are polled first, so that an end before the
        request is included if they answer within ``poll_timeout_ms``.
        """
        self._run_after_lookup(job_id, lambda: self._query_state(queue, job_id, answer))

    def cancel(self, queue: str, job_id: str, answer: OnState) -> None:
        """Cancel a job, and pass its final state to ``answer`` once saved."""
        self._run_after_lookup(job_id, lambda: self._cancel(queue, job_id, answer))

    def count_queued(self, queue: str, answer: OnCount) -> None:
        """Pass the number of jobs of a queue that have not started to ``answer``.

        The count includes all jobs that were in the log ``max_staleness_ms`` ago.
        """
        if self.is_recovering:
            self._waiting_requests.append(lambda: self.count_queued(queue, answer))
        elif (
            self._clock.now_ms() - self._follower.current_as_of_ms
            < self._timing.max_staleness_ms
        ):
            answer(self._jobs.count_queued(queue))
        else:
            self._waiting_requests.append(
                lambda: answer(self._jobs.count_queued(queue))
            )
            self._refresh()

    def add_accepted(self, record: JobRecord) -> None:
        """Add a newly stored job, before it is read from the log."""
        if self.is_recovering or self._is_stopped:
            return
        jobs = self._jobs.add_accepted(record)
        if jobs:
            self._add_jobs(jobs)
            self._handle_deferred_ends()
            self._admit_next()

    def may_lack_job(self, job_id: str) -> bool:
        """Tell whether a job is unknown that an earlier coordinator may have run."""
        return self._jobs.find(job_id) is None and not self._has_read_earlier_jobs()

    def look_up(self, job_id: str, on_read: Callable[[], None]) -> None:
        """Call ``on_read`` once the job is known, or the log has been read for it."""
        self._run_after_lookup(job_id, on_read)

    def admit_job(self, job_id: str) -> None:
        """Pass a waiting job to the runner regardless of the admission limit.

        Called to find the job of a task that a target reported; starts no task.
        """
        if self.is_recovering:
            return
        job = self._backlog.pop(job_id)
        if job is not None:
            self._admit(job)

    def task_started(self, job_id: str) -> None:
        """Mark the job as running, since one of its tasks has started."""
        job = self._jobs.find(job_id)
        if job is not None and job.is_live:
            self._jobs.mark_started(job)
        self._release_slot(job_id)

    def job_lacks_room(self, job_id: str) -> None:
        """Admit other jobs, since no target has room for a task of this one."""
        self._release_slot(job_id)

    def task_done(self, job_id: str, key: TaskKey) -> None:
        """Record that a task is done."""
        self._journal.task_done(job_id, key)

    def task_failed(self, job_id: str, key: TaskKey, run: int) -> bool:
        """Record a failed run; return whether it was not recorded before."""
        return self._journal.task_failed(job_id, key, run)

    def task_checkpointed(
        self, job_id: str, key: TaskKey, run: int, checkpoint: str
    ) -> None:
        """Record the checkpoint from which the next run of a task can resume."""
        self._journal.task_checkpointed(job_id, key, run, checkpoint)

    def job_ended(self, job_id: str, end: JobEnd) -> None:
        """Record how a job has ended."""
        self._journal.job_ended(job_id, end)
        self._release_slot(job_id)

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether any progress of a job is not in the log yet."""
        return self._journal.is_unsaved(job_id)

    def when_saved(self, job_id: str, on_saved: Callable[[], None]) -> None:
        """Call ``on_saved`` once all recorded progress of a job is in the log."""
        self._journal.when_saved(job_id, on_saved)

    def _new_writer(self, topic: str) -> BatchWriter:
        return BatchWriter(
            self._reactor,
            self._log,
            topic,
            self._producer,
            linger_ms=self._timing.linger_ms,
            on_fenced=self._handle_fencing,
        )

    def _begin_epoch(self) -> None:
        if not self._is_stopped:
            begun = self._log.begin_epoch(PROGRESS_TOPIC, self._producer)
            begun.addCallbacks(
                self._handle_epoch_result, self._retry_on_failure(self._begin_epoch)
            )

    def _handle_epoch_result(self, answer: Appended | Fenced) -> None:
        if isinstance(answer, Fenced):
            self._handle_fencing()
        else:
            self._read_progress()

    def _read_progress(self) -> None:
        if not self._is_stopped:
            read = self._log.read_newest(PROGRESS_TOPIC)
            read.addCallbacks(
                self._handle_progress_page, self._retry_on_failure(self._read_progress)
            )

    def _handle_progress_page(self, page: KeyedPage) -> None:
        if self._is_stopped:
            return
        self._jobs.load_progress(page.records, self._clock.now_ms())
        self._record_takeover()
        self._follower.start()

    def _record_takeover(self) -> None:
        """Increment the takeover count and append it to the log.

        This happens in each recovery: after the start and after each isolation.
        """
        self._jobs.takeover_count += 1
        value = encode_takeover_count(self._jobs.takeover_count)
        self._progress_writer.put(
            TAKEOVER_COUNT_KEY, lambda: value, self._handle_takeover_recorded
        )

    def _retry_on_failure(
        self, operation: Callable[[], None]
    ) -> Callable[[Failure], None]:
        def handle_failure(failure: Failure) -> None:
            log_message("pool:recovery_failed", cause=failure.getErrorMessage())
            self._reactor.callLater(RETRY_DELAY_MS / 1000, operation)

        return handle_failure

    def _handle_takeover_recorded(self) -> None:
        self._is_takeover_recorded = True
        self._finish_recovery_if_ready()

    def _load_jobs(self, records: Sequence[KeyedRecord], _is_snapshot: bool) -> None:
        """Add the new jobs of a page of the jobs topic.

        ``_is_snapshot`` is part of the callback type of the follower. It is not used:
        loading is idempotent, and a job without a record stays in the table.
        """
        new_jobs = self._jobs.load_jobs(records)
        self._add_jobs(new_jobs)
        self._has_read_jobs = True
        if self.is_recovering:
            self._finish_recovery_if_ready()
            return
        if new_jobs:
            self._handle_deferred_ends()
        self._admit_next()

    def _add_jobs(self, jobs: Sequence[StoredJob]) -> None:
        window_end_ms = self._started_ms + EARLIER_TERM_WINDOW_MS
        may_have_earlier_runs = (
            self.is_recovering or self._clock.now_ms() < window_end_ms
        )
        for job in jobs:
            if may_have_earlier_runs:
                job.may_have_earlier_runs = True
                job.first_run_number = first_run_number(self._jobs.takeover_count)
            self._backlog.add(job)

    def _handle_deferred_ends(self) -> None:
        """Let ends count that arrived before their jobs, before any task starts."""
        if not self._has_read_earlier_jobs():
            self._runner.stored_jobs_recovered()

    def _has_read_earlier_jobs(self) -> bool:
        """Tell whether all jobs were read that an earlier coordinator may have run."""
        window_end_ms = self._started_ms + EARLIER_TERM_WINDOW_MS
        return self._follower.current_as_of_ms >= window_end_ms

    def _finish_recovery_if_ready(self) -> None:
        if not (
            self._has_read_jobs and self._is_takeover_recorded and self.is_recovering
        ):
            return
        self.is_recovering = False
        log_message(
            "pool:stored_recovered",
            jobs=len(self._jobs),
            terms=self._jobs.takeover_count,
        )
        self._runner.stored_jobs_recovered()
        self._admit_next()
        requests, self._waiting_requests = self._waiting_requests, []
        for request in requests:
            request()

    def _admit_next(self) -> None:
        jobs = self._backlog.admit_next(self._clock.now_ms(), self._wall_ms())
        for job in jobs:
            self._admit(job)
        if jobs:
            self._runner.start_stored_jobs()

    def _admit(self, job: StoredJob) -> None:
        age_ms = max(0, self._wall_ms() - job.record.submitted_ms)
        received_ms = self._clock.now_ms() - age_ms
        self._runner.add_stored_job(restore_active_job(job, received_ms))

    def _release_slot(self, job_id: str) -> None:
        """Free the slot of a job, and admit another job."""
        self._backlog.release_slot(job_id)
        if not self._is_admission_scheduled:
            self._is_admission_scheduled = True
            self._reactor.callLater(0, self._admit_scheduled)

    def _admit_scheduled(self) -> None:
        self._is_admission_scheduled = False
        if not self._is_stopped and not self.is_recovering:
            self._admit_next()

    def _handle_fencing(self) -> None:
        """Stop, since a higher epoch shows that a later term has begun."""
        self.stop()
        self._runner.step_down()

    def _state_of(self, queue: str, job_id: str) -> StoredState:
        job = self._jobs.find(job_id)
        if job is None or job.queue != queue:
            return StoredState.UNKNOWN
        return job.state

    def _query_state(self, queue: str, job_id: str, answer: OnState) -> None:
        if self._state_of(queue, job_id) is not StoredState.RUNNING:
            answer(self._state_of(queue, job_id))
            return
        job = self._jobs.find(job_id)
        reply = _once(lambda: answer(self._state_of(queue, job_id)))
        self._reactor.callLater(self._timing.poll_timeout_ms / 1000, reply)
        if job.final_state is None:
            self._runner.poll_for_end(
                job_id, lambda: self._reply_when_end_saved(job, reply)
            )
        else:
            self._reply_when_end_saved(job, reply)

    def _reply_when_end_saved(self, job: StoredJob, reply: Callable[[], None]) -> None:
        """Reply at once if the job has not ended, else once its end is in the log."""
        if job.final_state is None:
            reply()
        else:
            self._journal.when_end_saved(job, reply)

    def _cancel(self, queue: str, job_id: str, answer: OnState) -> None:
        job = self._jobs.find(job_id)
        if job is None or job.queue != queue:
            answer(StoredState.UNKNOWN)
            return
        if job.final_state is None:
            self._backlog.pop(job_id)
            self._journal.finish(job, StoredState.CANCELLED)
            self._runner.cancel_stored_job(job_id)
            self._release_slot(job_id)
        self._journal.when_saved(job_id, lambda: answer(job.final_state))

    def _run_after_lookup(self, job_id: str, request: Callable[[], None]) -> None:
        """Run ``request`` at once if the table holds the job, else after a refresh."""
        if self.is_recovering:
            self._waiting_requests.append(
                lambda: self._run_after_lookup(job_id, request)
            )
        elif self._jobs.find(job_id) is not None:
            request()
        else:
            self._waiting_requests.append(request)
            self._refresh()

    def _refresh(self) -> None:
        """Read the newest job records for all requests that are waiting now.

        The read begins at ``_next_offset``, up to which the follower has read. A
        refresh does not advance it: the follower reads the same records again, and
        loading them is idempotent.
        """
        if self._is_refreshing or self._is_stopped:
            return
        self._is_refreshing = True
        requests, self._waiting_requests = self._waiting_requests, []
        self._read_jobs_for(requests, self._next_offset)

    def _read_jobs_for(self, requests: list[Callable[[], None]], offset: int) -> None:
        read: Deferred[KeyedPage] = self._log.read_from(JOBS_TOPIC, offset, 0)
        read.addErrback(self._read_newest_if_expired)
        read.addCallbacks(
            lambda page: self._handle_refresh_page(page, requests),
            lambda failure: self._handle_refresh_failure(failure, requests),
        )

    def _read_newest_if_expired(self, failure: Failure) -> Deferred[KeyedPage]:
        failure.trap(ExpiredError)
        return self._log.read_newest(JOBS_TOPIC)

    def _handle_refresh_page(
        self, page: KeyedPage, requests: list[Callable[[], None]]
    ) -> None:
        """Load a page that was read for ``requests``, and run them.

        If the topic has further records, the read goes on first. Requests that came
        during the read may need newer records, and cause another refresh.
        """
        if self._is_stopped:
            return
        self._load_jobs(page.records, False)
        if page.has_more:
            self._read_jobs_for(requests, page.end)
            return
        self._is_refreshing = False
        for request in requests:
            request()
        if self._waiting_requests:
            self._refresh()

    def _handle_refresh_failure(
        self, failure: Failure, requests: list[Callable[[], None]]
    ) -> None:
        self._is_refreshing = False
        self._waiting_requests = requests + self._waiting_requests
        self._reactor.callLater(RETRY_DELAY_MS / 1000, self._refresh)

    def _advance_next_offset(self, end: int) -> None:
        self._next_offset = max(self._next_offset, end)


def _once(call: Callable[[], None]) -> Callable[[], None]:
    """Return a function that runs ``call`` on its first call only."""
    calls = [call]

    def call_first() -> None:
        if calls:
            calls.pop()()

    return call_first
