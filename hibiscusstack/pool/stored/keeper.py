"""Stored jobs at the coordinator of a term."""

__all__ = ["Keeper", "KeeperTiming"]

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
from hibiscusstack.pool.stored.journal import Journal
from hibiscusstack.pool.stored.ledger import Ledger, StoredJob
from hibiscusstack.pool.stored.records import (
    JOBS_TOPIC,
    PROGRESS_TOPIC,
    TERM_KEY,
    JobRecord,
    encode_terms,
)
from hibiscusstack.pool.stored.reviving import first_run_of, revive_job
from hibiscusstack.pool.stored.writer import BatchWriter
from hibiscusstack.pool.topic_follower import TopicFollower

PRODUCER = "coordinator"
RETRY_MS = 200
SETTLING_MS = 4_000
NEARLY_FULL_BYTES = 900_000

OnState = Callable[[StoredState], None]
OnCount = Callable[[int], None]


@attrs.frozen
class KeeperTiming:
    """Durations in milliseconds.

    A job is known for ``keep_ms`` after its end. A read waits for records for
    ``wait_ms``, and the next one begins ``pause_ms`` later. Records that are of no
    use any more are dropped every ``drop_ms``. An answer waits for targets and the
    log for at most ``look_ms``.
    """

    keep_ms: int = 180_000
    wait_ms: int = 1_500
    pause_ms: int = 300
    stale_ms: int = 4_000
    linger_ms: int = 5
    look_ms: int = 80
    drop_ms: int = 2_000


class Keeper:
    """Reads the stored jobs, has them run, and keeps how they end.

    First it makes sure that no earlier coordinator writes any more; then it reads how
    far all jobs are, counts its term and reads the jobs. Until that is done it
    answers nothing.
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
        timing: KeeperTiming | None = None,
    ) -> None:
        self.is_recovering = True
        self._reactor = reactor
        self._clock = clock
        self._wall_ms = wall_ms
        self._log = log
        self._producer = Producer(PRODUCER, token)
        self._runner = runner
        self._timing = timing or KeeperTiming()
        self._ledger = Ledger(self._timing.keep_ms)
        self._backlog = Backlog()
        self._writer = self._new_writer(PROGRESS_TOPIC)
        self._dropper = self._new_writer(JOBS_TOPIC)
        self._journal = Journal(self._ledger, self._writer, clock)
        self._follower = TopicFollower(
            reactor,
            log,
            JOBS_TOPIC,
            self._take_jobs,
            wait_ms=self._timing.wait_ms,
            pause_ms=self._timing.pause_ms,
            clock=clock,
            on_end=self._note_end,
        )
        self._end = 0
        self._is_term_counted = False
        self._has_read = False
        self._is_stopped = False
        self._is_refreshing = False
        self._is_feeding = False
        self._is_secluded = False
        self._began_ms = clock.now_ms()
        self._asked: list[Callable[[], None]] = []
        self._next_drop_ms = clock.now_ms() + self._timing.drop_ms

    @property
    def has_jobs(self) -> bool:
        """Tell whether any job is known."""
        return len(self._ledger) > 0

    def start(self) -> None:
        """Begin to recover what is in the log."""
        self._begin_epoch()

    def stop(self) -> None:
        """Read and write nothing more."""
        self._is_stopped = True
        self._follower.stop()
        self._writer.stop()
        self._dropper.stop()

    def note_seclusion(self, is_secluded: bool) -> None:
        """Leave the jobs while another coordinator may have them.

        Afterwards they are taken up again like those of an earlier term.
        """
        if is_secluded and not self._is_secluded and not self.is_recovering:
            self._leave_jobs()
        elif self._is_secluded and not is_secluded:
            self._is_secluded = False
            self._count_term()

    def _leave_jobs(self) -> None:
        log_message("pool:stored_left", level="warning", token=self._producer.epoch)
        self._is_secluded = self.is_recovering = True
        self._is_term_counted = False
        self._backlog = Backlog()
        self._runner.release_stored()
        for job in self._ledger.open_jobs():
            job.is_early = True
            job.first_run = first_run_of(self._ledger.terms + 1)
            self._backlog.add(job)

    def tick(self) -> None:
        """Drop what is of no use any more; to be called every few milliseconds."""
        now_ms = self._clock.now_ms()
        if self.is_recovering or now_ms < self._next_drop_ms:
            return
        self._next_drop_ms = now_ms + self._timing.drop_ms
        for job_id in self._ledger.take_spent():
            self._dropper.put(job_id, bytes)
        if len(self._dropper):
            # Without the end of a job its first record would bring it back.
            return
        for job_id in self._ledger.expire(now_ms):
            self._writer.put(job_id, bytes)

    def read(self, queue: str, job_id: str, answer: OnState) -> None:
        """Answer where a job stands.

        An answer that says that it runs is no older than the question, if the targets
        tell so within ``look_ms``.
        """
        self._when_known(job_id, lambda: self._read(queue, job_id, answer))

    def cancel(self, queue: str, job_id: str, answer: OnState) -> None:
        """Cancel a job, and answer its state once that is in the log."""
        self._when_known(job_id, lambda: self._cancel(queue, job_id, answer))

    def count(self, queue: str, answer: OnCount) -> None:
        """Answer how many jobs of a queue have not begun.

        The count includes all that stood in the log ``stale_ms`` ago.
        """
        if self.is_recovering:
            self._asked.append(lambda: self.count(queue, answer))
        elif (
            self._clock.now_ms() - self._follower.current_as_of_ms
            < self._timing.stale_ms
        ):
            answer(self._ledger.pending(queue))
        else:
            self._asked.append(lambda: answer(self._ledger.pending(queue)))
            self._refresh()

    def take_accepted(self, record: JobRecord) -> None:
        """Take a job that was stored lately, before the log shows it."""
        if self.is_recovering or self._is_stopped:
            return
        jobs = self._ledger.take_accepted(record)
        if jobs:
            self._add(jobs)
            self._run_next()

    def offer(self, job_id: str) -> None:
        """Hand over a job at once, if it waits for its turn."""
        if self.is_recovering:
            return
        job = self._backlog.take(job_id)
        if job is not None:
            self._run(job)

    def task_started(self, job_id: str) -> None:
        """Note that a task of the job has started."""
        job = self._ledger.find(job_id)
        if job is not None and job.is_live:
            self._ledger.note_started(job)
        self._settle(job_id)

    def task_done(self, job_id: str, key: TaskKey) -> None:
        """Keep that a task is done."""
        self._journal.task_done(job_id, key)

    def task_failed(self, job_id: str, key: TaskKey, run: int) -> bool:
        """Keep that a run failed; return whether that is news."""
        return self._journal.task_failed(job_id, key, run)

    def task_checkpointed(
        self, job_id: str, key: TaskKey, run: int, checkpoint: str
    ) -> None:
        """Keep from where a task that runs again can go on."""
        self._journal.task_checkpointed(job_id, key, run, checkpoint)

    def job_ended(self, job_id: str, end: JobEnd) -> None:
        """Keep how a job has ended."""
        self._journal.job_ended(job_id, end)
        self._settle(job_id)

    def is_unsaved(self, job_id: str) -> bool:
        """Tell whether anything of a job is not in the log yet."""
        return self._journal.is_unsaved(job_id)

    def when_saved(self, job_id: str, on_saved: Callable[[], None]) -> None:
        """Call ``on_saved`` when all that is kept of a job is in the log."""
        self._journal.when_saved(job_id, on_saved)

    def _new_writer(self, topic: str) -> BatchWriter:
        return BatchWriter(
            self._reactor,
            self._log,
            topic,
            self._producer,
            linger_ms=self._timing.linger_ms,
            on_fenced=self._fenced,
        )

    def _begin_epoch(self) -> None:
        if not self._is_stopped:
            begun = self._log.begin_epoch(PROGRESS_TOPIC, self._producer)
            begun.addCallbacks(self._epoch_begun, self._retry(self._begin_epoch))

    def _epoch_begun(self, answer: Appended | Fenced) -> None:
        if isinstance(answer, Fenced):
            self._fenced()
        else:
            self._read_progress()

    def _read_progress(self) -> None:
        if not self._is_stopped:
            read = self._log.read_newest(PROGRESS_TOPIC)
            read.addCallbacks(self._took_progress, self._retry(self._read_progress))

    def _took_progress(self, page: KeyedPage) -> None:
        if self._is_stopped:
            return
        self._ledger.take_progress(page.records, self._clock.now_ms())
        self._count_term()
        self._follower.start()

    def _count_term(self) -> None:
        self._ledger.terms += 1
        value = encode_terms(self._ledger.terms)
        self._writer.put(TERM_KEY, lambda: value, self._term_counted)

    def _retry(self, step: Callable[[], None]) -> Callable[[Failure], None]:
        def failed(failure: Failure) -> None:
            log_message("pool:recovery_failed", cause=failure.getErrorMessage())
            self._reactor.callLater(RETRY_MS / 1000, step)

        return failed

    def _term_counted(self) -> None:
        self._is_term_counted = True
        self._recover_if_read()

    def _take_jobs(self, records: Sequence[KeyedRecord], is_whole: bool) -> None:
        self._add(self._ledger.take_jobs(records))
        self._has_read = True
        if self.is_recovering:
            self._recover_if_read()
        else:
            self._run_next()

    def _add(self, jobs: Sequence[StoredJob]) -> None:
        settled_ms = self._began_ms + SETTLING_MS
        is_early = self.is_recovering or self._clock.now_ms() < settled_ms
        for job in jobs:
            if is_early:
                job.is_early = True
                job.first_run = first_run_of(self._ledger.terms)
            self._backlog.add(job)

    def _recover_if_read(self) -> None:
        if not (self._has_read and self._is_term_counted and self.is_recovering):
            return
        self.is_recovering = False
        log_message(
            "pool:stored_recovered", jobs=len(self._ledger), terms=self._ledger.terms
        )
        self._runner.stored_recovered()
        self._run_next()
        asked, self._asked = self._asked, []
        for ask in asked:
            ask()

    def _run_next(self) -> None:
        jobs = self._backlog.take_next(self._wall_ms())
        for job in jobs:
            self._run(job)
        if jobs:
            self._runner.place_stored()

    def _run(self, job: StoredJob) -> None:
        age_ms = max(0, self._wall_ms() - job.record.submitted_ms)
        received_ms = self._clock.now_ms() - age_ms
        self._runner.run_stored(revive_job(job, received_ms))

    def _settle(self, job_id: str) -> None:
        """Let another job have the turn of one that has begun or ended."""
        self._backlog.settled(job_id)
        if not self._is_feeding:
            self._is_feeding = True
            self._reactor.callLater(0, self._feed)

    def _feed(self) -> None:
        self._is_feeding = False
        if not self._is_stopped and not self.is_recovering:
            self._run_next()

    def _fenced(self) -> None:
        self.stop()
        self._runner.step_down()

    def _state_of(self, queue: str, job_id: str) -> StoredState:
        job = self._ledger.find(job_id)
        if job is None or job.queue != queue:
            return StoredState.UNKNOWN
        return job.state

    def _read(self, queue: str, job_id: str, answer: OnState) -> None:
        if self._state_of(queue, job_id) is not StoredState.RUNNING:
            answer(self._state_of(queue, job_id))
            return
        job = self._ledger.find(job_id)
        reply = _once(lambda: answer(self._state_of(queue, job_id)))
        self._reactor.callLater(self._timing.look_ms / 1000, reply)
        if job.final is None:
            self._runner.look_for_end(job_id, lambda: self._reply_if_shown(job, reply))
        else:
            self._reply_if_shown(job, reply)

    def _reply_if_shown(self, job: StoredJob, reply: Callable[[], None]) -> None:
        if job.final is None:
            reply()
        else:
            self._journal.when_shown(job, reply)

    def _cancel(self, queue: str, job_id: str, answer: OnState) -> None:
        job = self._ledger.find(job_id)
        if job is None or job.queue != queue:
            answer(StoredState.UNKNOWN)
            return
        if job.final is None:
            self._backlog.take(job_id)
            self._journal.finish(job, StoredState.CANCELLED)
            self._runner.cancel_stored(job_id)
            self._settle(job_id)
        self._journal.when_saved(job_id, lambda: answer(job.final))

    def _when_known(self, job_id: str, ask: Callable[[], None]) -> None:
        """Ask at once about a known job; read the log first for any other."""
        if self.is_recovering:
            self._asked.append(lambda: self._when_known(job_id, ask))
        elif self._ledger.find(job_id) is not None:
            ask()
        else:
            self._asked.append(ask)
            self._refresh()

    def _refresh(self) -> None:
        """Read the newest records, for all who ask until the read begins."""
        if self._is_refreshing or self._is_stopped:
            return
        self._is_refreshing = True
        asked, self._asked = self._asked, []
        self._read_for(asked, self._end)

    def _read_for(self, asked: list[Callable[[], None]], offset: int) -> None:
        read: Deferred[KeyedPage] = self._log.read_from(JOBS_TOPIC, offset, 0)
        read.addErrback(self._read_whole_if_expired)
        read.addCallbacks(
            lambda page: self._refreshed(page, asked),
            lambda failure: self._refresh_failed(failure, asked),
        )

    def _read_whole_if_expired(self, failure: Failure) -> Deferred[KeyedPage]:
        failure.trap(ExpiredError)
        return self._log.read_newest(JOBS_TOPIC)

    def _refreshed(self, page: KeyedPage, asked: list[Callable[[], None]]) -> None:
        if self._is_stopped:
            return
        self._take_jobs(page.records, False)
        size = sum(len(record.value or b"") for record in page.records)
        if size >= NEARLY_FULL_BYTES:
            # The read may have ended before the end of the topic.
            self._read_for(asked, page.end)
            return
        self._is_refreshing = False
        for ask in asked:
            ask()
        if self._asked:
            self._refresh()

    def _refresh_failed(
        self, failure: Failure, asked: list[Callable[[], None]]
    ) -> None:
        self._is_refreshing = False
        self._asked = asked + self._asked
        self._reactor.callLater(RETRY_MS / 1000, self._refresh)

    def _note_end(self, end: int) -> None:
        self._end = max(self._end, end)


def _once(call: Callable[[], None]) -> Callable[[], None]:
    """Return a function that carries out ``call`` the first time only."""
    calls = [call]

    def call_first() -> None:
        if calls:
            calls.pop()()

    return call_first
