"""What a client does next with a job, decided without I/O.

The one rule: a job takes a fresh id only when every attempt with the old one is
proven not to have run. An attempt that was sent and got no answer leaves its id
*unaccounted*, and then only a *not run* that is final for the id is proof.
"""

__all__ = [
    "Effort",
    "Finish",
    "NextStep",
    "RetryFreshId",
    "RetrySameId",
    "Submitting",
]

from enum import Enum

import attrs

from hibiscusstack.caller.attempts import (
    Answered,
    AttemptResult,
    Lost,
    NotSent,
    Refused,
)
from hibiscusstack.caller.service import ATTEMPT_REASONS
from hibiscusstack.dispatch.answers import (
    JobAnswer,
    Outcome,
    Problem,
    Reason,
    not_run,
    outcome_unknown,
)
from hibiscusstack.exceptions import RequestRefusedError

FRESH_ID_REASONS = frozenset(
    {
        Reason.OVERLOADED,
        Reason.QUOTA,
        Reason.NOT_READY,
        Reason.DRAINING,
        Reason.ID_EXPIRED,
        Reason.ID_NOT_ISSUED,
        Reason.OWNER_UNREACHABLE,
        Reason.OWNERSHIP_UNPROVEN,
    }
)
OPEN_UNKNOWN_REASONS = frozenset(
    {Reason.OWNER_UNREACHABLE, Reason.NO_ANSWER, Reason.NOT_READY}
)
HOPELESS_REASONS = frozenset({Reason.ID_EXPIRED, Reason.ID_NOT_ISSUED})
RETRIED_REFUSALS = frozenset({"too-many-waiting", "not-ready", "draining"})


class Effort(Enum):
    """What one more attempt means.

    ``REJOIN`` asks again for a job that may just take long, ``RECONNECT`` follows an
    attempt that reached nobody, and ``RETRY`` loads the fleet once more.
    """

    REJOIN = "rejoin"
    RECONNECT = "reconnect"
    RETRY = "retry"


@attrs.frozen
class Finish:
    """Give this answer to the application."""

    answer: JobAnswer


@attrs.frozen
class RetrySameId:
    """Send the job once more with the same id, which joins or refuses.

    ``otherwise`` is the true answer if there is no retry. ``effort`` says what the
    retry takes from whom.
    """

    otherwise: JobAnswer
    retry_after_ms: int | None = None
    effort: Effort = Effort.RETRY


@attrs.frozen
class RetryFreshId:
    """Send the job with a fresh id; the old one is proven not to have run.

    ``otherwise`` is the true answer if there is no retry.
    """

    otherwise: JobAnswer
    retry_after_ms: int | None = None
    effort: Effort = Effort.RETRY


NextStep = Finish | RetrySameId | RetryFreshId


@attrs.define
class Submitting:
    """The attempts to submit one job under one id, which ``source`` issued.

    ``is_pinned`` says that the application chose the id, or a key in its place, so
    that no fresh one may stand for it.

    >>> submitting = Submitting("j1")
    >>> type(submitting.decide(Lost("silence"))).__name__
    'RetrySameId'
    >>> refused = not_run("j1", Reason.OWNER_UNREACHABLE)
    >>> step = submitting.decide(Answered(refused))
    >>> type(step).__name__, step.otherwise.outcome.value
    ('RetrySameId', 'unknown')
    """

    job_id: str
    source: str = ""
    is_pinned: bool = False
    is_unaccounted: bool = False

    @property
    def is_first_attempt(self) -> bool:
        """Whether no earlier attempt under this id can have reached its owner."""
        return not (self.is_pinned or self.is_unaccounted)

    def decide(self, result: AttemptResult) -> NextStep:
        """Return what to do after an attempt.

        Raises ``RequestRefusedError`` for a refusal that no retry can mend, unless an
        earlier attempt is unaccounted.
        """
        match result:
            case Answered(answer):
                return self._decide_on_answer(answer)
            case Lost(cause, is_timeout):
                self.is_unaccounted = True
                unknown = self._unknown(cause)
                effort = Effort.REJOIN if is_timeout else Effort.RETRY
                return RetrySameId(unknown, effort=effort)
            case NotSent(cause):
                reason = Reason.OWNER_UNREACHABLE
                answer = not_run(self.job_id, reason, cause)
                true_answer = self._true_answer(answer)
                return RetrySameId(true_answer, effort=Effort.RECONNECT)
            case Refused(error):
                return self._decide_on_refusal(error)

    def _decide_on_answer(self, answer: JobAnswer) -> NextStep:
        if answer.outcome is Outcome.UNKNOWN:
            return self._decide_on_unknown(answer)
        if answer.outcome is not Outcome.NOT_RUN or answer.problem is None:
            return Finish(answer)
        if answer.problem.reason in ATTEMPT_REASONS:
            return self._decide_on_refused_attempt(answer, answer.problem)
        return self._retry_with_fresh_id(answer, answer.problem)

    def _decide_on_refused_attempt(
        self, answer: JobAnswer, problem: Problem
    ) -> NextStep:
        if not self.is_unaccounted:
            return self._retry_with_fresh_id(answer, problem)
        unknown = self._unknown(problem.detail)
        if problem.reason in HOPELESS_REASONS:
            return Finish(unknown)
        return RetrySameId(unknown, problem.retry_after_ms)

    def _retry_with_fresh_id(self, answer: JobAnswer, problem: Problem) -> NextStep:
        if problem.reason not in FRESH_ID_REASONS:
            return Finish(answer)
        if not self.is_pinned:
            return RetryFreshId(answer, problem.retry_after_ms)
        if problem.reason in ATTEMPT_REASONS - HOPELESS_REASONS:
            return RetrySameId(answer, problem.retry_after_ms)
        return Finish(answer)

    def _decide_on_unknown(self, answer: JobAnswer) -> NextStep:
        self.is_unaccounted = True
        if answer.problem and answer.problem.reason in OPEN_UNKNOWN_REASONS:
            return RetrySameId(answer, answer.problem.retry_after_ms)
        return Finish(answer)

    def _decide_on_refusal(self, error: RequestRefusedError) -> NextStep:
        if error.type_name in RETRIED_REFUSALS:
            reason = Reason.OVERLOADED
            answer = not_run(self.job_id, reason, str(error), error.retry_after_ms)
            return RetrySameId(self._true_answer(answer), error.retry_after_ms)
        if self.is_unaccounted:
            return Finish(self._unknown(str(error)))
        raise error

    def _true_answer(self, answer: JobAnswer) -> JobAnswer:
        if not self.is_unaccounted:
            return answer
        return self._unknown(answer.problem.detail if answer.problem else "")

    def _unknown(self, detail: str) -> JobAnswer:
        return outcome_unknown(self.job_id, Reason.NO_ANSWER, detail)
