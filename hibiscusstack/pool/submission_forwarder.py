"""Forwarding of jobs from the callers of a host to the coordinator."""

__all__ = ["ReceivedJob", "SendToCoordinator", "SubmissionForwarder"]

from collections.abc import Callable, Iterator
from itertools import count

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.events import PoolEvents
from hibiscusstack.pool.jobs import PoolJob
from hibiscusstack.pool.messages import (
    CancelSubmission,
    JobEnd,
    SubmissionAnswer,
    SubmitPoolJob,
)

# Sends a message to a host and returns whether it was sent.
SendToCoordinator = Callable[[HostName, SubmitPoolJob | CancelSubmission], bool]

RETRY_MS = 1_000
# Time after a deadline during which an answer from the coordinator is still accepted.
DEADLINE_GRACE_MS = 250
# A job that no coordinator has ends once this fraction of its latency objective has
# passed since it was received.
_MAX_WAIT_FRACTION = 0.24


@attrs.define(eq=False)
class ReceivedJob:
    """A job that a caller of this host waits for.

    ``on_answer`` is called at most once, when the job ends; it isn't called if the
    caller disconnects first. ``sent_to`` is the coordinator that has the job now, and
    ``was_sent`` tells whether any coordinator has ever been sent it. ``send_count``
    counts the times that it was sent. ``withdrawn_ms`` is when the job was last
    withdrawn from a coordinator, None if it never was.
    """

    job: PoolJob
    received_ms: float
    deadline_ms: float | None
    on_answer: Callable[[SubmissionAnswer], None]
    sent_to: HostName | None = None
    was_sent: bool = False
    send_count: int = 0
    withdrawn_ms: float | None = None


class SubmissionForwarder:
    """Forwards each job to the coordinator, and again to the next one after a change.

    Each submitted job gets the next of ``numbers``, which the parameters named
    ``submission`` hold.
    While no coordinator has a job, it waits here for at most about a quarter of its
    latency objective. That leaves its caller time to retry at another host.
    """

    def __init__(
        self,
        clock: Clock,
        send: SendToCoordinator,
        events: PoolEvents | None = None,
        numbers: Iterator[int] | None = None,
    ) -> None:
        self._clock = clock
        self._send = send
        self._events = events or PoolEvents()
        self._coordinator: HostName | None = None
        self._jobs: dict[int, ReceivedJob] = {}
        self._numbers = numbers or count(1)

    def __len__(self) -> int:
        return len(self._jobs)

    def submit(self, received: ReceivedJob) -> int:
        """Accept a job, forward it and return the number of its submission."""
        number = next(self._numbers)
        self._jobs[number] = received
        self._forward(number, received)
        return number

    def caller_disconnected(self, submission: int) -> None:
        """Drop a job whose caller disconnected, and cancel it at the coordinator."""
        received = self._jobs.pop(submission, None)
        if received is not None:
            self._events.counters.jobs["gone"] += 1
            self._cancel(submission, received)

    def coordinator_changed(self, coordinator: HostName | None) -> None:
        """Withdraw jobs from the earlier coordinator and forward them to the new one.

        While there is none, the jobs wait here.
        """
        self._coordinator = coordinator
        for submission, received in list(self._jobs.items()):
            if received.sent_to != coordinator:
                self._withdraw(submission, received)
                self._forward(submission, received)

    def connection_replaced(self, coordinator: HostName) -> None:
        """Resend all jobs of a coordinator; the old connection may have lost some.

        The coordinator ignores a submission number that it already has.
        """
        for submission, received in list(self._jobs.items()):
            if received.sent_to == coordinator:
                self._forward(submission, received)

    def coordinator_stepped_down(self, coordinator: HostName) -> None:
        """Withdraw all jobs from a host that has stopped coordinating."""
        if self._coordinator == coordinator:
            self.coordinator_changed(None)

    def answer_received(self, sender: HostName, message: SubmissionAnswer) -> None:
        """Pass an answer to the caller, if it is from the coordinator with the job."""
        received = self._jobs.get(message.submission)
        if received is None or received.sent_to != sender:
            return
        del self._jobs[message.submission]
        self._events.counters.jobs[message.end.value] += 1
        received.on_answer(message)

    def end_all_locally(self, cause: str) -> None:
        """End all jobs here and answer their callers.

        A job that was never sent ends as REFUSED. Any other ends as UNKNOWN, since some
        of its tasks may have run.
        """
        for submission in list(self._jobs):
            self._end_locally(submission, cause)

    def tick(self) -> None:
        """End jobs past their deadline; resend or end those that no coordinator has.

        A job past its deadline is cancelled at its coordinator. A job that no
        coordinator has is sent again, unless it was received too long ago.
        """
        now_ms = self._clock.now_ms()
        for submission, received in list(self._jobs.items()):
            deadline_ms = received.deadline_ms
            if deadline_ms is not None and now_ms >= deadline_ms + DEADLINE_GRACE_MS:
                self._cancel(submission, received)
                self._end_locally(submission, "deadline")
            elif received.sent_to is None:
                waited_ms = now_ms - received.received_ms
                if waited_ms >= _MAX_WAIT_FRACTION * received.job.objective_ms():
                    self._end_locally(submission, "no coordinator")
                else:
                    self._forward(submission, received)

    def _forward(self, submission: int, received: ReceivedJob) -> None:
        if self._coordinator is None:
            return
        now_ms = self._clock.now_ms()
        withdrawn_ms = received.withdrawn_ms
        # For a job that was never withdrawn, unheard_ms is 0.
        message = SubmitPoolJob(
            submission=submission,
            job=received.job,
            waited_ms=int(now_ms - received.received_ms),
            is_resubmitted=received.was_sent,
            unheard_ms=0 if withdrawn_ms is None else int(now_ms - withdrawn_ms),
        )
        is_reassigned = received.was_sent and received.sent_to is None
        # The send may call back into this object, so sent_to is set first, and the job
        # may have ended when the send returns.
        received.sent_to = self._coordinator
        if self._send(self._coordinator, message):
            if is_reassigned:
                self._events.job_reassigned(
                    received.job.job_id, message.waited_ms, received.send_count
                )
            received.was_sent = True
            received.send_count += 1
        elif submission in self._jobs:
            received.sent_to = None

    def _withdraw(self, submission: int, received: ReceivedJob) -> None:
        if received.sent_to is None:
            return
        self._cancel(submission, received)
        received.sent_to = None
        received.withdrawn_ms = self._clock.now_ms()

    def _cancel(self, submission: int, received: ReceivedJob) -> None:
        if received.sent_to is not None:
            self._send(received.sent_to, CancelSubmission(submission))

    def _end_locally(self, submission: int, cause: str) -> None:
        received = self._jobs.pop(submission, None)
        if received is None:
            return
        end = JobEnd.UNKNOWN if received.was_sent else JobEnd.REFUSED
        waited_ms = self._clock.now_ms() - received.received_ms
        self._events.job_ended_locally(
            received.job.job_id, end, cause, waited_ms, received.send_count
        )
        self._events.counters.jobs[end.value] += 1
        retry_ms = 0 if received.was_sent else RETRY_MS
        received.on_answer(SubmissionAnswer(submission, end, cause, retry_ms))
