"""Problem details (RFC 9457): the stable types of failures and their statuses."""

__all__ = [
    "PROBLEM_MEDIA_TYPE",
    "HttpProblem",
    "InputFault",
    "problem_of_answer",
    "problem_of_input_fault",
    "problem_of_refusal",
    "refusal_of",
    "status_of_answer",
    "type_of_problem",
]

from enum import Enum
from typing import Any

import attrs

from hibiscusstack.caller.answers import encode_answer
from hibiscusstack.dispatch.answers import JobAnswer, Outcome, Reason
from hibiscusstack.exceptions import RequestRefusedError

PROBLEM_MEDIA_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:hibiscusstack:problem:"

STATUS_OF_REASON = {
    Reason.TASK_FAILED: 422,
    Reason.JOB_FAILED: 422,
    Reason.CANCELLED: 409,
    Reason.DEADLINE: 504,
    Reason.OVERLOADED: 503,
    Reason.QUOTA: 429,
    Reason.NO_MATCHING_TARGET: 422,
    Reason.TOO_LARGE: 422,
    Reason.NOT_READY: 503,
    Reason.DRAINING: 503,
    Reason.ID_EXPIRED: 410,
    Reason.ID_NOT_ISSUED: 409,
    Reason.ID_OF_ANOTHER_CALLER: 403,
    Reason.OWNER_UNREACHABLE: 503,
    Reason.OWNER_LOST: 504,
    Reason.OWNERSHIP_UNPROVEN: 503,
    Reason.TARGET_LOST: 504,
    Reason.HOST_LOST: 504,
    Reason.ANSWER_EXPIRED: 410,
    Reason.NO_ANSWER: 504,
}
STATUS_OF_UNKNOWN = 504
TITLE_OF_OUTCOME = {
    Outcome.FAILED: "The job failed.",
    Outcome.NOT_RUN: "The job did not run.",
    Outcome.UNKNOWN: "The job may have run and will not be started again.",
}


class InputFault(Enum):
    """A request that never became a job, with its stable type and its status."""

    INVALID_INPUT = ("invalid-input", 400)
    MALFORMED_REQUEST = ("malformed-request", 400)
    NOT_FOUND = ("not-found", 404)
    JOB_NOT_FOUND = ("job-not-found", 404)
    TRACE_NOT_FOUND = ("trace-not-found", 404)
    NO_CONFIGURATION = ("no-configuration", 404)
    METHOD_NOT_ALLOWED = ("method-not-allowed", 405)
    REQUEST_TIMEOUT = ("request-timeout", 408)
    CONFIGURATION_CONFLICT = ("configuration-conflict", 409)
    BODY_TOO_LARGE = ("body-too-large", 413)
    INVALID_CONFIGURATION = ("invalid-configuration", 422)
    UNSUPPORTED_MEDIA_TYPE = ("unsupported-media-type", 415)
    HEADER_TOO_LARGE = ("header-too-large", 431)
    INTERNAL_ERROR = ("internal-error", 500)
    TOO_MANY_WAITING = ("too-many-waiting", 503)
    CONFIGURATION_UNKNOWN = ("configuration-unknown", 504)
    NOT_READY = ("not-ready", 503)
    DRAINING = ("draining", 503)

    @property
    def type_name(self) -> str:
        """Return the last part of the problem's type."""
        return self.value[0]

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.value[1]


@attrs.frozen
class HttpProblem:
    """One problem details object; ``extensions`` are its further members."""

    type_name: str
    title: str
    status: int
    detail: str = ""
    retry_after_ms: int | None = None
    extensions: dict[str, Any] = attrs.field(factory=dict)

    def as_json(self) -> dict[str, Any]:
        """Return the members of the problem details object."""
        fields: dict[str, Any] = {
            "type": TYPE_PREFIX + self.type_name,
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
        }
        if self.retry_after_ms is not None:
            fields["retry_after_ms"] = self.retry_after_ms
        return fields | self.extensions


def status_of_answer(answer: JobAnswer) -> int:
    """Return the HTTP status of an answer: 200 for a success and only for one.

    >>> status_of_answer(JobAnswer("j1", Outcome.SUCCEEDED))
    200
    """
    if answer.outcome is Outcome.SUCCEEDED:
        return 200
    if answer.outcome is Outcome.UNKNOWN:
        return STATUS_OF_UNKNOWN
    return STATUS_OF_REASON[_reason_of(answer)]


def problem_of_answer(answer: JobAnswer) -> HttpProblem:
    """Return the problem that carries a whole answer which is no success.

    >>> from hibiscusstack.dispatch.answers import not_run
    >>> problem_of_answer(not_run("j1", Reason.QUOTA)).status
    429
    """
    problem = answer.problem
    return HttpProblem(
        type_name=_reason_of(answer).value,
        title=TITLE_OF_OUTCOME[answer.outcome],
        status=status_of_answer(answer),
        detail=problem.detail if problem else "",
        retry_after_ms=problem.retry_after_ms if problem else None,
        extensions={"answer": encode_answer(answer)},
    )


def problem_of_input_fault(
    fault: InputFault, detail: str = "", **extensions: Any
) -> HttpProblem:
    """Return the problem of a request that never became a job.

    >>> problem_of_input_fault(InputFault.BODY_TOO_LARGE).status
    413
    """
    title = _title_of(fault.type_name)
    return HttpProblem(
        fault.type_name, title, fault.status, detail, extensions=extensions
    )


def problem_of_refusal(refusal: RequestRefusedError) -> HttpProblem:
    """Return the problem that a raised refusal stands for."""
    return HttpProblem(
        refusal.type_name,
        _title_of(refusal.type_name),
        refusal.status,
        refusal.detail,
        refusal.retry_after_ms,
    )


def refusal_of(
    fault: InputFault, detail: str = "", retry_after_ms: int | None = None
) -> RequestRefusedError:
    """Return the exception that ends a request with the problem of ``fault``.

    >>> refusal_of(InputFault.NOT_FOUND).status
    404
    """
    return RequestRefusedError(fault.type_name, fault.status, detail, retry_after_ms)


def type_of_problem(uri: object) -> str:
    """Return the last part of a problem's ``type``, empty for a foreign one.

    >>> type_of_problem("urn:hibiscusstack:problem:overloaded")
    'overloaded'
    """
    if isinstance(uri, str) and uri.startswith(TYPE_PREFIX):
        return uri.removeprefix(TYPE_PREFIX)
    return ""


def _reason_of(answer: JobAnswer) -> Reason:
    if answer.problem is not None:
        return answer.problem.reason
    return Reason.JOB_FAILED


def _title_of(type_name: str) -> str:
    return type_name.replace("-", " ").capitalize() + "."
