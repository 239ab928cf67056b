"""Appending submitted jobs to the log, at the host that received them."""

__all__ = ["Accepted", "JobSubmitter", "NotAccepted", "OutcomeUnknown", "SubmitAnswer"]

from collections.abc import Callable

import attrs

from hibiscusstack.clock import Clock
from hibiscusstack.pool.stored.records import (
    MAX_RECORD_BYTES,
    MAX_TASKS,
    JobRecord,
    encode_job_record,
)
from hibiscusstack.pool.stored.writer import BatchWriter

MAX_REFUSAL_DELAY_MS = 1_000
MIN_REFUSAL_DELAY_MS = 100
# Share of the job's latency objective after which a request may be refused.
REFUSAL_DELAY_PER_OBJECTIVE = 0.25
DEFAULT_TIMEOUT_MS = 5_000
# Time to get the reply to the caller within its timeout. The default timeout is not the
# caller's, and needs no margin.
_REPLY_MARGIN_MS = 50


@attrs.frozen
class Accepted:
    """The job is in the log."""


@attrs.frozen
class NotAccepted:
    """The job is not in the log, and this request will never add it."""

    cause: str


@attrs.frozen
class OutcomeUnknown:
    """The job may be in the log already, or be appended later."""


SubmitAnswer = Accepted | NotAccepted | OutcomeUnknown
OnAnswer = Callable[[SubmitAnswer], None]


@attrs.define(eq=False)
class _PendingRequest:
    """A request whose job is being appended.

    From ``earliest_refusal_ms`` on it is refused as soon as the record can be
    withdrawn. At ``deadline_ms`` it is answered ``OutcomeUnknown``.
    """

    earliest_refusal_ms: float
    deadline_ms: float
    answer: OnAnswer


class JobSubmitter:
    """Appends jobs, and answers each request when its outcome is certain.

    A request is refused by the answer ``NotAccepted``. A record that was never sent, or
    only in attempts that the log rejected or that certainly appended nothing, is
    withdrawn after ``REFUSAL_DELAY_PER_OBJECTIVE`` of the job's latency objective, and
    its requests are refused. A record in a batch whose outcome is not known, because
    the log has not answered yet or its answer was lost, may appear in the log at any
    time. Meanwhile its requests are not refused, but answered ``OutcomeUnknown`` at
    their deadlines.
    """

    def __init__(self, writer: BatchWriter, clock: Clock) -> None:
        self._writer = writer
        self._clock = clock
        self._waiting: dict[str, list[_PendingRequest]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def submit(
        self, record: JobRecord, timeout_ms: float | None, answer: OnAnswer
    ) -> None:
        """Append a job; a repeated request shares the append of the first one."""
        job_id = record.job.job_id
        value = encode_job_record(record)
        if len(value) + len(job_id) >= MAX_RECORD_BYTES:
            answer(NotAccepted("too large to be stored"))
            return
        if sum(step.count for step in record.job.steps) > MAX_TASKS:
            answer(NotAccepted("too many tasks"))
            return
        now_ms = self._clock.now_ms()
        wait_ms = (
            DEFAULT_TIMEOUT_MS if timeout_ms is None else timeout_ms - _REPLY_MARGIN_MS
        )
        refusal_delay_ms = min(_refusal_delay_ms(record), wait_ms)
        request = _PendingRequest(now_ms + refusal_delay_ms, now_ms + wait_ms, answer)
        others = self._waiting.get(job_id)
        if others is not None:
            others.append(request)
            return
        self._waiting[job_id] = [request]
        self._writer.put(job_id, lambda: value, lambda: self._handle_saved(job_id))

    def tick(self) -> None:
        """Refuse requests that are due, and answer those past their deadline.

        Once any request of a job has reached its refusal time, the record is withdrawn
        and all requests of the job are refused. If the record is in the batch in flight
        and cannot be withdrawn, requests past their deadline are answered
        ``OutcomeUnknown``.
        """
        now_ms = self._clock.now_ms()
        for job_id, requests in list(self._waiting.items()):
            due_requests = [
                each for each in requests if now_ms >= each.earliest_refusal_ms
            ]
            if due_requests and self._writer.withdraw(job_id):
                self._answer_all(job_id, NotAccepted("the log takes nothing"))
            else:
                self._expire(job_id, requests, now_ms)

    def _expire(
        self, job_id: str, requests: list[_PendingRequest], now_ms: float
    ) -> None:
        expired = [each for each in requests if now_ms >= each.deadline_ms]
        for each in expired:
            requests.remove(each)
            each.answer(OutcomeUnknown())
        if not requests:
            del self._waiting[job_id]

    def _handle_saved(self, job_id: str) -> None:
        self._answer_all(job_id, Accepted())

    def _answer_all(self, job_id: str, answer: SubmitAnswer) -> None:
        for request in self._waiting.pop(job_id, ()):
            request.answer(answer)


def _refusal_delay_ms(record: JobRecord) -> float:
    objective_ms = record.job.objective_ms()
    if not objective_ms:
        return MAX_REFUSAL_DELAY_MS
    delay_ms = max(MIN_REFUSAL_DELAY_MS, REFUSAL_DELAY_PER_OBJECTIVE * objective_ms)
    return min(MAX_REFUSAL_DELAY_MS, delay_ms)
