"""The client library for callers."""

__all__ = ["CallerClient", "result_of_answer"]

import random
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import quote

import attrs
from expression import Error, Ok, Result
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from hibiscusstack.caller.answers import decode_job_state
from hibiscusstack.caller.attempts import (
    Answered,
    Attempt,
    AttemptResult,
    EntryClient,
    HttpRequester,
    is_fault_of_host,
)
from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.entries import EntryRotation
from hibiscusstack.caller.fields import check_job_id, check_name
from hibiscusstack.caller.id_source import IdSource
from hibiscusstack.caller.resubmission import (
    Effort,
    Finish,
    RetryFreshId,
    RetrySameId,
    Submitting,
)
from hibiscusstack.caller.retry_budget import RetryBudget
from hibiscusstack.caller.service import ATTEMPT_REASONS, IssuedIds, JobState
from hibiscusstack.caller.silence import SilenceWatch
from hibiscusstack.caller.submissions import Submission, encode_submission
from hibiscusstack.clock import Clock, SystemClock
from hibiscusstack.dispatch.answers import JobAnswer, Outcome, Reason, not_run
from hibiscusstack.dispatch.jobs import Job, Task
from hibiscusstack.exceptions import RequestRefusedError, UnavailableError

MS_PER_SECOND = 1000
RETRY_SPREAD = 0.25
NO_JOB_ID = "none"


def result_of_answer(answer: JobAnswer) -> Result[JobAnswer, JobAnswer]:
    """Return ``Ok`` of a success and ``Error`` of every other answer.

    >>> result_of_answer(JobAnswer("j1", Outcome.SUCCEEDED)).is_ok()
    True
    """
    if answer.outcome is Outcome.SUCCEEDED:
        return Ok(answer)
    return Error(answer)


class CallerClient:
    """Submits jobs and returns each one's own answer, whatever gets lost between.

    Every answer is true: *not run* is only said with proof, and *unknown* never leads
    to a second start, as only a job that is proven not to have run gets a fresh id.
    """

    def __init__(
        self,
        reactor: IReactorTime,
        http: HttpRequester,
        *,
        entries: Sequence[str],
        caller: str,
        settings: ClientSettings | None = None,
        clock: Clock | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self._reactor = reactor
        self._caller = check_name("caller", caller)
        self._settings = settings or ClientSettings()
        self._clock = clock or SystemClock()
        self._chance = chance or random.Random()
        clients = [EntryClient(url.rstrip("/"), http, reactor) for url in entries]
        self._entries = EntryRotation(clients, self._clock, self._chance)
        self._ids = IdSource(self._entries, self._clock, self._settings)
        self._silence = SilenceWatch(reactor, self._entries, self._settings)
        self._budget = RetryBudget()

    async def submit(
        self,
        tasks: Sequence[Task],
        *,
        team: str = "default",
        labels: Mapping[str, str] | None = None,
        timeout_ms: int = 30_000,
        job_id: str = "",
        key: str | None = None,
        traceparent: str = "",
    ) -> JobAnswer:
        """Return the one whole answer to a job, whatever its outcome.

        With ``job_id`` or ``key`` the job keeps this name in every attempt, and can
        be submitted again under it by another process; otherwise ids are taken as
        needed.

        Raises :class:`~hibiscusstack.exceptions.RequestRefusedError` for a job that
        breaks a rule of the interface and so cannot have run.
        """
        job = Job(
            job_id=job_id,
            caller=self._caller,
            tasks=tuple(tasks),
            team=team,
            labels=labels or {},
            timeout_ms=timeout_ms,
            traceparent=traceparent,
        )
        submission = Submission(job, key)
        self._budget.record_first_attempt()
        try:
            submitting = await self._start_submitting(submission)
        except (RequestRefusedError, UnavailableError) as error:
            return not_run(NO_JOB_ID, Reason.OWNER_UNREACHABLE, str(error))
        return await self._attempt_until_final(submission, submitting)

    async def fetch_ids(self, count: int) -> IssuedIds:
        """Return fresh ids from one of the hosts that can be reached.

        Raises ``UnavailableError`` or ``RequestRefusedError`` if none issues any.
        """
        return await self._ids.fetch(count)

    async def fetch_status(self, job_id: str) -> JobState:
        """Return the state of a job from the host that owns it.

        Raises ``RequestRefusedError`` if no host that can be reached knows the job.
        """
        return decode_job_state(await self._ask_each_entry("GET", job_id))

    async def cancel(self, job_id: str) -> None:
        """Ask for a job to be cancelled; its answer comes to whoever waits for it.

        Raises ``RequestRefusedError`` if no host that can be reached knows the job.
        """
        await self._ask_each_entry("DELETE", job_id)

    async def _ask_each_entry(self, method: str, job_id: str) -> Any:
        path = f"/v1/jobs/{check_job_id('id', job_id)}?caller={quote(self._caller)}"
        error: Exception = UnavailableError("entry hosts", "none answered")
        for entry in self._entries.choose_all():
            try:
                return await entry.call(method, path, self._settings.id_timeout_ms)
            except (RequestRefusedError, UnavailableError) as fault:
                error = fault
        raise error

    async def _start_submitting(self, submission: Submission) -> Submitting:
        pinned = submission.key or submission.job.job_id
        if pinned:
            return Submitting(pinned, is_pinned=True)
        held = await self._ids.take()
        return Submitting(held.job_id, held.source)

    async def _attempt_until_final(
        self, submission: Submission, submitting: Submitting
    ) -> JobAnswer:
        deadline_ms = self._clock.now_ms() + submission.job.timeout_ms
        retries = 0
        while True:
            result = await self._attempt(submission, submitting, deadline_ms)
            step = submitting.decide(result)
            if isinstance(step, Finish):
                return step.answer
            delay_ms = self._delay_before_retry(step, retries)
            if self._clock.now_ms() + delay_ms >= deadline_ms:
                return step.otherwise
            retries += step.effort is not Effort.REJOIN
            if not self._may_retry(step, retries):
                return step.otherwise
            await self._sleep(delay_ms)
            if isinstance(step, RetryFreshId):
                renewed = await self._renew(step, submitting)
                if renewed is None:
                    return step.otherwise
                submitting = renewed

    async def _attempt(
        self, submission: Submission, submitting: Submitting, deadline_ms: int
    ) -> AttemptResult:
        remaining_ms = max(1, deadline_ms - self._clock.now_ms())
        job_id = submitting.job_id if submission.key is None else ""
        job = attrs.evolve(
            submission.job,
            job_id=job_id,
            timeout_ms=remaining_ms,
            is_first_attempt=submitting.is_first_attempt,
        )
        fields = encode_submission(Submission(job, submission.key))
        longest_ms = remaining_ms + self._settings.answer_grace_ms
        timeout_ms = min(self._settings.attempt_timeout_ms, longest_ms)
        attempt = Attempt(fields, timeout_ms, job.traceparent)
        entry = self._entries.choose(submitting.source)
        return await self._exchange(entry, attempt)

    async def _exchange(self, entry: EntryClient, attempt: Attempt) -> AttemptResult:
        requested_ms = self._clock.now_ms()
        self._silence.begin(entry)
        result = await entry.submit(attempt)
        self._silence.end(entry)
        if isinstance(result, Answered):
            self._entries.trust(entry)
            self._ids.add(result.next_ids, entry.url, requested_ms)
        elif is_fault_of_host(result):
            self._entries.suspect(entry)
        return result

    async def _renew(self, step: RetryFreshId, old: Submitting) -> Submitting | None:
        problem = step.otherwise.problem
        if problem is not None and problem.reason in ATTEMPT_REASONS:
            self._ids.discard_from(old.source)
        try:
            held = await self._ids.take()
        except (RequestRefusedError, UnavailableError):
            return None
        return Submitting(held.job_id, held.source)

    def _delay_before_retry(
        self, step: RetrySameId | RetryFreshId, retries: int
    ) -> int:
        settings = self._settings
        if step.retry_after_ms is not None:
            spread = 1 + RETRY_SPREAD * self._chance.random()
            return int(step.retry_after_ms * spread)
        longest_ms = min(settings.max_backoff_ms, settings.backoff_ms << retries)
        return int(longest_ms * self._chance.random())

    def _may_retry(self, step: RetrySameId | RetryFreshId, retries: int) -> bool:
        if retries > self._settings.max_retries:
            return False
        return step.effort is not Effort.RETRY or self._budget.spend()

    async def _sleep(self, delay_ms: int) -> None:
        await deferLater(self._reactor, delay_ms / MS_PER_SECOND)
