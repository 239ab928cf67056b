"""Implements the job service of the caller API with the dispatcher."""

__all__ = ["HostJobService"]

from collections.abc import Callable

import attrs
from eliot import log_message
from opentelemetry.trace import Span
from twisted.internet.defer import Deferred, succeed

from hibiscusstack.caller.service import IssuedIds, JobPhase, JobState
from hibiscusstack.clock import Clock
from hibiscusstack.daemon.dispatcher import Dispatcher
from hibiscusstack.daemon.lifecycle import Phase
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Reason,
    not_run,
    outcome_unknown,
)
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.dispatch.submission.ids import parse_issued_id
from hibiscusstack.exceptions import InvalidInputError
from hibiscusstack.telemetry.metrics import Metric, Metrics
from hibiscusstack.telemetry.traces import Tracer, traceparent_of

NOT_READY_RETRY_MS = 1_000

_METRIC_OF_OUTCOME = {
    Outcome.SUCCEEDED: Metric.JOBS_SUCCEEDED,
    Outcome.FAILED: Metric.JOBS_FAILED,
    Outcome.NOT_RUN: Metric.JOBS_NOT_RUN,
    Outcome.UNKNOWN: Metric.JOBS_UNKNOWN,
}


class HostJobService:
    """Submits, looks up and cancels jobs on this host; see ``JobService``."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        phase: Callable[[], Phase],
        clock: Clock,
        tracer: Tracer,
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._engine = dispatcher.engine
        self._phase = phase
        self._clock = clock
        self._tracer = tracer
        self._metrics = metrics

    def refusal_reason(self) -> Reason | None:
        """Return why new jobs are refused, or ``None`` if they are accepted."""
        phase = self._phase()
        if phase is Phase.STARTING:
            return Reason.NOT_READY
        if phase is Phase.READY:
            return None
        return Reason.DRAINING

    def issue_ids(self, count: int) -> IssuedIds:
        """Return new job ids, or none while new jobs are refused."""
        if self.refusal_reason() is not None:
            return IssuedIds((), 0)
        ids = self._engine.ids
        return IssuedIds(tuple(ids.mint(count)), ids.lifetime_ms)

    def job_id_of_key(self, caller: str, key: str) -> str:
        """Raise ``InvalidInputError``: only issued job ids are supported, not keys."""
        raise InvalidInputError("key", "an issued id in place of a key", key)

    def submit(self, job: Job) -> Deferred[JobAnswer]:
        """Submit a job; return its answer once it has ended or was refused."""
        if self._phase() is Phase.STARTING:
            return succeed(_make_not_ready_answer(job))
        span = self._tracer.start_span(
            "caller.submit", job.job_id, job.traceparent, tasks=len(job.tasks)
        )
        traced = attrs.evolve(job, traceparent=traceparent_of(span))
        self._metrics.count(Metric.JOBS_SUBMITTED)
        answered = self._dispatcher.submit(traced)
        return answered.addCallback(self._record_answer, span, self._clock.now_ms())

    def status(self, job_id: str, caller: str) -> JobState | None:
        """Return the state of a job that this host owns and ``caller`` submitted."""
        progress = self._engine.progress_of(job_id, caller)
        if progress is not None:
            ended, tasks = progress
            phase = JobPhase.RUNNING if ended else JobPhase.QUEUED
            return JobState(job_id, phase, tasks, ended)
        answer = self._engine.answer_of(job_id, caller)
        if answer is None:
            return None
        tasks = len(answer.results)
        return JobState(job_id, JobPhase.ENDED, tasks, tasks, answer)

    def cancel(self, job_id: str, caller: str) -> bool:
        """Cancel a job, here or at its owner."""
        issued = parse_issued_id(job_id)
        if issued.is_error():
            return False
        is_own = issued.ok.owner == self._engine.name
        if is_own and self.status(job_id, caller) is None:
            return False
        self._dispatcher.cancel(job_id, caller)
        return True

    def _record_answer(
        self, answer: JobAnswer, span: Span, submitted_ms: int
    ) -> JobAnswer:
        duration_ms = self._clock.now_ms() - submitted_ms
        reason = answer.problem.reason.value if answer.problem else ""
        span.set_attribute("outcome", answer.outcome.value)
        span.end()
        self._metrics.count(_METRIC_OF_OUTCOME[answer.outcome])
        self._metrics.time(Metric.JOB_TIME_MS, duration_ms)
        log_message(
            "job:answered",
            job_id=answer.job_id,
            outcome=answer.outcome.value,
            reason=reason,
            duration_ms=duration_ms,
        )
        return answer


def _make_not_ready_answer(job: Job) -> JobAnswer:
    """Return the answer of a host that is starting.

    A host that is starting does not know what became of an earlier attempt, so only
    a first attempt is known not to have run.
    """
    detail = "this host does not know the configuration yet"
    if job.is_first_attempt:
        return not_run(job.job_id, Reason.NOT_READY, detail, NOT_READY_RETRY_MS)
    return outcome_unknown(job.job_id, Reason.NOT_READY, detail)
