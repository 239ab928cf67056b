"""A job service that tests steer by hand, and agents that reach an API in memory."""

import attrs
from treq.testing import StubTreq
from twisted.internet.defer import Deferred, succeed

from hibiscusstack.caller.api import CallerApi
from hibiscusstack.caller.limits import ApiLimits
from hibiscusstack.caller.service import IssuedIds, JobPhase, JobState
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Reason,
    TaskResult,
    not_run,
)
from hibiscusstack.dispatch.jobs import Job
from hibiscusstack.exceptions import InvalidInputError


@attrs.define
class FakeJobService:
    """Holds every job until the test answers it."""

    name: str = "h1"
    refusal: Reason | None = None
    jobs: dict[str, Job] = attrs.field(factory=dict)
    waiters: dict[str, list[Deferred[JobAnswer]]] = attrs.field(factory=dict)
    answers: dict[str, JobAnswer] = attrs.field(factory=dict)
    cancelled: list[str] = attrs.field(factory=list)
    issued: int = 0

    def refusal_reason(self) -> Reason | None:
        """Return the refusal that the test set."""
        return self.refusal

    def issue_ids(self, count: int) -> IssuedIds:
        """Return consecutive ids."""
        if self.refusal is not None:
            return IssuedIds((), 0)
        first = self.issued + 1
        self.issued += count
        ids = tuple(f"dc1.{self.name}.1.{n}" for n in range(first, first + count))
        return IssuedIds(ids, 60_000)

    def job_id_of_key(self, caller: str, key: str) -> str:
        """Return an id made of caller and key."""
        if key == "refused":
            raise InvalidInputError("key", "another key", key)
        return f"key.{caller}.{key}"

    def submit(self, job: Job) -> Deferred[JobAnswer]:
        """Hold the job until the test answers it."""
        first = self.jobs.setdefault(job.job_id, job)
        if first.caller != job.caller:
            return succeed(not_run(job.job_id, Reason.ID_OF_ANOTHER_CALLER))
        if job.job_id in self.answers:
            return succeed(self.answers[job.job_id])
        waiter: Deferred[JobAnswer] = Deferred()
        self.waiters.setdefault(job.job_id, []).append(waiter)
        return waiter

    def status(self, job_id: str, caller: str) -> JobState | None:
        """Return the state of a job of this caller."""
        job = self.jobs.get(job_id)
        if job is None or job.caller != caller:
            return None
        answer = self.answers.get(job_id)
        phase = JobPhase.RUNNING if answer is None else JobPhase.ENDED
        return JobState(job_id, phase, len(job.tasks), answer=answer)

    def cancel(self, job_id: str, caller: str) -> bool:
        """Note the cancellation."""
        if self.status(job_id, caller) is None:
            return False
        self.cancelled.append(job_id)
        return True

    def answer(self, answer: JobAnswer) -> None:
        """Give an answer to everyone who waits for it."""
        self.answers[answer.job_id] = answer
        for waiter in self.waiters.pop(answer.job_id, []):
            waiter.callback(answer)

    def succeed(self, job_id: str) -> None:
        """Answer with each payload as the value of its task."""
        tasks = self.jobs[job_id].tasks
        results = tuple(
            TaskResult(task.index, Outcome.SUCCEEDED, task.payload, run_time_ms=5)
            for task in tasks
        )
        self.answer(JobAnswer(job_id, Outcome.SUCCEEDED, results))


@attrs.frozen
class ApiFixture:
    """An API over a fake service, reached in memory."""

    service: FakeJobService
    api: CallerApi
    http: StubTreq


def make_api(limits: ApiLimits | None = None) -> ApiFixture:
    service = FakeJobService()
    api = CallerApi(service, limits)
    return ApiFixture(service, api, StubTreq(api.app.resource()))
