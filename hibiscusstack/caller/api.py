"""The HTTP API for callers."""

__all__ = ["CallerApi"]

import re
from typing import Any

import attrs
from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred, succeed
from twisted.web.iweb import IRequest

from hibiscusstack.caller.answers import encode_answer, encode_job_state
from hibiscusstack.caller.error_handlers import add_error_handlers
from hibiscusstack.caller.fields import FieldReader, check_job_id, check_name
from hibiscusstack.caller.json_body import parse_json_body
from hibiscusstack.caller.limits import ApiLimits, WaitingRoom
from hibiscusstack.caller.problems import InputFault, problem_of_answer, refusal_of
from hibiscusstack.caller.responses import read_json_bytes, write_json, write_problem
from hibiscusstack.caller.service import JobService
from hibiscusstack.caller.submissions import Submission, decode_submission
from hibiscusstack.dispatch.answers import JobAnswer, Outcome, Reason, not_run

NO_JOB_ID = "none"
TRACEPARENT = re.compile(r"00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
WAITING_RETRY_MS = 500
RETRY_MS_OF_REFUSAL = {Reason.NOT_READY: 1_000, Reason.DRAINING: 0}
FAULT_OF_REFUSAL = {
    Reason.NOT_READY: InputFault.NOT_READY,
    Reason.DRAINING: InputFault.DRAINING,
}


class CallerApi:
    """The routes that callers use, over a :class:`JobService`.

    A caller that hangs up stops waiting and nothing else: its job goes on and a
    resubmission joins it.
    """

    app = Klein()

    def __init__(self, service: JobService, limits: ApiLimits | None = None) -> None:
        self._service = service
        self._limits = limits or ApiLimits()
        self._waiting = WaitingRoom(
            self._limits.max_waiting, self._limits.max_waiting_per_caller
        )

    @property
    def waiting(self) -> int:
        """The number of submissions that the service has not answered yet.

        One whose caller hung up counts too, as the service still holds it.
        """
        return len(self._waiting)

    @app.route("/healthz", methods=["GET"])
    def get_health(self, request: IRequest) -> bytes:
        """Answer that the process is alive."""
        return write_json(request, {"status": "alive"})

    @app.route("/readyz", methods=["GET"])
    def get_readiness(self, request: IRequest) -> bytes:
        """Answer whether new jobs are taken."""
        self._refuse_unless_ready()
        return write_json(request, {"status": "ready"})

    @app.route("/v1/ids", methods=["POST"])
    def post_ids(self, request: IRequest) -> bytes:
        """Issue fresh ids."""
        reader = FieldReader(parse_json_body(read_json_bytes(request)))
        count = reader.read_integer("count", 1, self._limits.max_ids_per_request, 1)
        reader.refuse_unread_fields()
        self._refuse_unless_ready()
        issued = self._service.issue_ids(count)
        fields = {"ids": list(issued.ids), "valid_ms": issued.valid_ms}
        return write_json(request, fields)

    @app.route("/v1/jobs", methods=["POST"])
    def post_job(self, request: IRequest) -> Deferred[bytes]:
        """Submit a job or join an earlier submission; answer when it has ended."""
        body = read_json_bytes(request)
        submission = decode_submission(body, _read_traceparent(request))
        caller = submission.job.caller
        if not self._waiting.enter(caller):
            raise refusal_of(
                InputFault.TOO_MANY_WAITING, retry_after_ms=WAITING_RETRY_MS
            )
        answered = maybeDeferred(self._submit, submission)
        answered.addBoth(self._stop_waiting, caller)
        waiter = _detach_waiter(answered)
        waiter.addCallback(lambda answer: self._write_answer(request, answer))
        return waiter

    @app.route("/v1/jobs/<job_id>", methods=["GET"])
    def get_job(self, request: IRequest, job_id: str) -> bytes:
        """Answer with the state of a job of this caller."""
        caller = _read_caller(request)
        state = self._service.status(check_job_id("id", job_id), caller)
        if state is None:
            raise refusal_of(InputFault.JOB_NOT_FOUND, "no such job on this host")
        return write_json(request, encode_job_state(state))

    @app.route("/v1/jobs/<job_id>", methods=["DELETE"])
    def delete_job(self, request: IRequest, job_id: str) -> bytes:
        """Cancel a job of this caller."""
        caller = _read_caller(request)
        if not self._service.cancel(check_job_id("id", job_id), caller):
            raise refusal_of(InputFault.JOB_NOT_FOUND, "no such job")
        return write_json(request, {"id": job_id, "cancelling": True}, 202)

    def _submit(self, submission: Submission) -> Deferred[JobAnswer]:
        job = submission.job
        if submission.key is not None:
            job_id = self._service.job_id_of_key(job.caller, submission.key)
            return self._service.submit(attrs.evolve(job, job_id=job_id))
        if job.job_id:
            return self._service.submit(job)
        ids = self._service.issue_ids(1).ids
        if ids:
            first = attrs.evolve(job, job_id=ids[0], is_first_attempt=True)
            return self._service.submit(first)
        reason = self._service.refusal_reason() or Reason.NOT_READY
        retry_after_ms = RETRY_MS_OF_REFUSAL[reason]
        return succeed(not_run(NO_JOB_ID, reason, retry_after_ms=retry_after_ms))

    def _stop_waiting(self, result: Any, caller: str) -> Any:
        self._waiting.leave(caller)
        return result

    def _write_answer(self, request: IRequest, answer: JobAnswer) -> bytes:
        issued = self._service.issue_ids(1)
        fresh: dict[str, Any] = {
            "next_ids": list(issued.ids),
            "next_ids_valid_ms": issued.valid_ms,
        }
        if answer.outcome is Outcome.SUCCEEDED:
            return write_json(request, encode_answer(answer) | fresh)
        problem = problem_of_answer(answer)
        problem.extensions.update(fresh)
        return write_problem(request, problem)

    def _refuse_unless_ready(self) -> None:
        reason = self._service.refusal_reason()
        if reason is not None:
            retry_after_ms = RETRY_MS_OF_REFUSAL[reason]
            raise refusal_of(FAULT_OF_REFUSAL[reason], retry_after_ms=retry_after_ms)


add_error_handlers(CallerApi.app)


def _read_caller(request: IRequest) -> str:
    values = request.args.get(b"caller", [])
    if len(values) != 1:
        raise refusal_of(InputFault.INVALID_INPUT, "expected one caller in the query")
    return check_name("caller", values[0].decode("latin-1"))


def _read_traceparent(request: IRequest) -> str:
    header = (request.getHeader(b"traceparent") or b"").decode("latin-1")
    return header if TRACEPARENT.fullmatch(header) else ""


def _detach_waiter(answered: Deferred[JobAnswer]) -> Deferred[JobAnswer]:
    """Return a deferred whose cancellation doesn't reach ``answered``."""
    waiter: Deferred[JobAnswer] = Deferred()
    answered.addCallbacks(
        lambda answer: None if waiter.called else waiter.callback(answer),
        lambda failure: None if waiter.called else waiter.errback(failure),
    )
    return waiter
