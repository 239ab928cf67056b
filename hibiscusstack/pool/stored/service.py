"""Stored jobs at one host: submissions and queries, and the manager of a term."""

__all__ = ["StoredJobService", "StoredMessage"]

import time
from collections.abc import Callable, Iterator

from twisted.internet.interfaces import IReactorTime

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.interfaces import Producer, SequencedLog
from hibiscusstack.pool.jobs import PoolJob
from hibiscusstack.pool.messages import (
    AskStored,
    StoredAnswer,
    StoredJobAccepted,
    StoredRequest,
    StoredState,
)
from hibiscusstack.pool.stored.interfaces import JobRunner
from hibiscusstack.pool.stored.manager import StoredJobManager, StoredJobTiming
from hibiscusstack.pool.stored.query_forwarder import QueryForwarder
from hibiscusstack.pool.stored.records import JOBS_TOPIC, JobRecord
from hibiscusstack.pool.stored.submitting import (
    Accepted,
    JobSubmitter,
    SubmitAnswer,
)
from hibiscusstack.pool.stored.writer import BatchWriter

SUBMIT_LINGER_MS = 2

StoredMessage = AskStored | StoredAnswer | StoredJobAccepted
SendStored = Callable[[HostName, StoredMessage], bool]


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


class StoredJobService:
    """Accepts stored jobs at any host, and manages them at the coordinator.

    ``send`` sends messages to other hosts; messages for this host are handled
    directly. ``has_jobs`` says whether any stored job has been submitted here, held by
    the manager or reported by another host; a process that has just started doesn't
    know, so nothing may be concluded from its absence. ``manager`` is None while this
    host does not coordinate.
    """

    def __init__(
        self,
        *,
        own: HostName,
        reactor: IReactorTime,
        clock: Clock,
        log: SequencedLog,
        send: SendStored,
        timing: StoredJobTiming | None = None,
        wall_ms: Callable[[], int] = _wall_ms,
        numbers: Iterator[int] | None = None,
    ) -> None:
        self.manager: StoredJobManager | None = None
        self.has_jobs = False
        self._coordinator: HostName | None = None
        self._own = own
        self._reactor = reactor
        self._clock = clock
        self._log = log
        self._send = send
        self._timing = timing
        self._wall_ms = wall_ms
        producer = Producer(f"{own.data_centre}/{own.name}/{own.incarnation}", 1)
        self._writer = BatchWriter(
            reactor,
            log,
            JOBS_TOPIC,
            producer,
            linger_ms=SUBMIT_LINGER_MS,
            on_fenced=lambda: None,
        )
        self._submitter = JobSubmitter(self._writer, clock)
        self._queries = QueryForwarder(clock, self._send_query, numbers)

    def start_manager(self, token: int, runner: JobRunner) -> StoredJobManager:
        """Start to manage the stored jobs for the term with this fencing token."""
        self.stop_manager()
        self.manager = StoredJobManager(
            reactor=self._reactor,
            clock=self._clock,
            wall_ms=self._wall_ms,
            log=self._log,
            token=token,
            runner=runner,
            timing=self._timing,
        )
        self.manager.start()
        return self.manager

    def stop_manager(self) -> None:
        """Stop managing stored jobs; another coordinator may take them over."""
        if self.manager is not None:
            self.manager.stop()
            self.manager = None

    def stop(self) -> None:
        """Stop all reads and writes of the log."""
        self.stop_manager()
        self._writer.stop()

    def coordinator_changed(self, coordinator: HostName | None) -> None:
        """Send queries and accepted jobs to another coordinator from now on."""
        self._coordinator = coordinator
        self._queries.coordinator_changed(coordinator)

    def set_isolated(self, is_isolated: bool) -> None:
        """Note whether another host may have begun a term that this one did not see.

        While it may have, the manager releases the stored jobs.
        """
        if self.manager is not None:
            self.manager.set_isolated(is_isolated)

    def handle_message(self, sender: HostName, message: StoredMessage) -> None:
        """Handle a message of another host."""
        if isinstance(message, StoredAnswer):
            self._queries.handle_answer(sender, message)
        elif self.manager is None:
            return
        elif isinstance(message, StoredJobAccepted):
            record = JobRecord(message.queue, message.job, message.submitted_ms)
            self.manager.add_accepted(record)
        else:
            self._execute_query(self.manager, sender, message)

    def tick(self) -> None:
        """Handle timeouts and cleanup; to be called every few milliseconds."""
        self._submitter.tick()
        self._queries.tick()
        if self.manager is not None:
            self.manager.tick()
            self.has_jobs |= self.manager.has_jobs

    def submit(
        self,
        queue: str,
        job: PoolJob,
        timeout_ms: float | None,
        answer: Callable[[SubmitAnswer], None],
    ) -> None:
        """Store a job, and notify the coordinator of it.

        A coordinator that misses the notification finds the job in the log.
        """
        self.has_jobs = True
        record = JobRecord(queue, job, self._wall_ms())

        def handle_answer(outcome: SubmitAnswer) -> None:
            if isinstance(outcome, Accepted):
                self._notify_coordinator(record)
            answer(outcome)

        self._submitter.submit(record, timeout_ms, handle_answer)

    def ask(
        self,
        request: StoredRequest,
        queue: str,
        job_id: str,
        timeout_ms: float | None,
        answer: Callable[[StoredAnswer | None], None],
    ) -> Callable[[], None]:
        """Query the coordinator; return a function to call when the caller left."""
        return self._queries.ask(request, queue, job_id, timeout_ms, answer)

    def _notify_coordinator(self, record: JobRecord) -> None:
        if self._coordinator is None:
            return
        if self._coordinator != self._own:
            message = StoredJobAccepted(record.queue, record.job, record.submitted_ms)
            self._send(self._coordinator, message)
        elif self.manager is not None:
            self.manager.add_accepted(record)

    def _send_query(self, to: HostName, message: AskStored) -> bool:
        if to != self._own:
            return self._send(to, message)
        if self.manager is None:
            return False
        self._execute_query(self.manager, to, message)
        return True

    def _execute_query(
        self, manager: StoredJobManager, to: HostName, message: AskStored
    ) -> None:
        def answer(state: StoredState, pending: int = 0) -> None:
            reply = StoredAnswer(message.question, state, pending)
            if to == self._own:
                self._reactor.callLater(0, self._queries.handle_answer, to, reply)
            else:
                self._send(to, reply)

        match message.request:
            case StoredRequest.READ:
                manager.query_state(message.queue, message.job_id, answer)
            case StoredRequest.CANCEL:
                manager.cancel(message.queue, message.job_id, answer)
            case StoredRequest.COUNT:
                manager.count_queued(
                    message.queue, lambda count: answer(StoredState.UNKNOWN, count)
                )
