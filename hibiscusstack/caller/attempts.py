"""One exchange of the client library with one entry host, and what it proves."""

__all__ = [
    "Answered",
    "Attempt",
    "AttemptResult",
    "EntryClient",
    "HttpRequester",
    "Lost",
    "NotSent",
    "Refused",
    "is_fault_of_host",
]

import json
from collections.abc import Mapping
from typing import Any, Protocol

import attrs
import treq
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import RequestNotSent

from hibiscusstack.caller.answers import decode_answer
from hibiscusstack.caller.fields import FieldReader
from hibiscusstack.caller.problems import type_of_problem
from hibiscusstack.caller.service import IssuedIds
from hibiscusstack.dispatch.answers import JobAnswer
from hibiscusstack.exceptions import (
    InvalidInputError,
    NotSentError,
    RequestRefusedError,
    UnavailableError,
)

MS_PER_SECOND = 1000
MAX_VALID_MS = 1 << 53
MAX_IDS = 10_000
MAX_DETAIL_CHARACTERS = 4096
FIRST_SERVER_ERROR = 500
PROOFS_OF_NOT_SENT = (ConnectError, DNSLookupError, RequestNotSent)


@attrs.frozen
class Answered:
    """The entry host gave an answer to this job, and perhaps fresh ids."""

    answer: JobAnswer
    next_ids: IssuedIds = IssuedIds((), 0)


@attrs.frozen
class Refused:
    """The entry host refused the request before it became a job."""

    error: RequestRefusedError


@attrs.frozen
class NotSent:
    """Nothing reached the entry host."""

    cause: str


@attrs.frozen
class Lost:
    """The request may have arrived and no valid answer came.

    ``is_timeout`` tells silence for the whole time of the attempt from a fault.
    """

    cause: str
    is_timeout: bool = False


AttemptResult = Answered | Refused | NotSent | Lost


class HttpRequester(Protocol):
    """The part of treq that the client needs."""

    def request(self, method: str, url: str, **kwargs: Any) -> Deferred[Any]:
        """Return the response to a request."""


@attrs.frozen
class Attempt:
    """One request for a job; ``fields`` is its JSON body."""

    fields: Mapping[str, Any]
    timeout_ms: int
    traceparent: str = ""


@attrs.frozen
class EntryClient:
    """Speaks to one entry host, ``url`` without a slash at the end."""

    url: str
    http: HttpRequester
    reactor: IReactorTime

    async def submit(self, attempt: Attempt) -> AttemptResult:
        """Return what one attempt to submit a job came to; it never raises."""
        headers = {"Content-Type": "application/json"}
        if attempt.traceparent:
            headers["traceparent"] = attempt.traceparent
        try:
            status, value = await self._exchange(
                "POST", "/v1/jobs", attempt.timeout_ms, headers, attempt.fields
            )
            return _read_attempt_result(status, value, attempt.fields.get("id"))
        except PROOFS_OF_NOT_SENT as error:
            return NotSent(f"{self.url}: {_describe(error)}")
        except DeferredTimeoutError:
            return Lost(f"{self.url}: silent for {attempt.timeout_ms} ms", True)
        except Exception as error:
            return Lost(f"{self.url}: {_describe(error)}")

    async def fetch_ids(self, count: int, timeout_ms: int) -> IssuedIds:
        """Return fresh ids.

        Raises ``RequestRefusedError`` if the host refuses, and ``UnavailableError``
        if it cannot be reached or answers nonsense.
        """
        headers = {"Content-Type": "application/json"}
        value = await self.call(
            "POST", "/v1/ids", timeout_ms, headers, {"count": count}
        )
        return _read_ids(value, "ids", "valid_ms")

    async def call(
        self,
        method: str,
        path: str,
        timeout_ms: int,
        headers: Mapping[str, str] | None = None,
        fields: Mapping[str, Any] | None = None,
    ) -> Any:
        """Return the parsed body of a success, for requests that start nothing.

        Raises as :meth:`fetch_ids` does.
        """
        try:
            status, value = await self._exchange(
                method, path, timeout_ms, headers or {}, fields
            )
        except PROOFS_OF_NOT_SENT as error:
            raise NotSentError(self.url, _describe(error)) from error
        except Exception as error:
            raise UnavailableError(self.url, _describe(error)) from error
        if status // 100 != 2:
            raise _read_refusal(status, value)
        return value

    async def _exchange(
        self,
        method: str,
        path: str,
        timeout_ms: int,
        headers: Mapping[str, str],
        fields: Mapping[str, Any] | None,
    ) -> tuple[int, Any]:
        body = None if fields is None else json.dumps(fields, allow_nan=False).encode()
        exchange = Deferred.fromCoroutine(
            self._send_and_read(method, path, headers, body)
        )
        exchange.addTimeout(timeout_ms / MS_PER_SECOND, self.reactor, _raise_timeout)
        return await exchange

    async def _send_and_read(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes | None
    ) -> tuple[int, Any]:
        response = await self.http.request(
            method, self.url + path, headers=dict(headers), data=body
        )
        content = await treq.content(response)
        return response.code, json.loads(content)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"


def _raise_timeout(_result: object, timeout_s: float) -> None:
    """Raise a timeout, whatever the cancelled exchange itself ended with."""
    raise DeferredTimeoutError(timeout_s)


def is_fault_of_host(result: AttemptResult) -> bool:
    """Return whether an attempt speaks against the host that it was sent to.

    Silence does not, as the job may take long.

    >>> is_fault_of_host(Lost("connection reset")), is_fault_of_host(Lost("", True))
    (True, False)
    """
    match result:
        case Answered():
            return False
        case Refused(error):
            return error.status >= FIRST_SERVER_ERROR
        case Lost(_, is_timeout):
            return not is_timeout
        case NotSent():
            return True


def _read_attempt_result(status: int, value: Any, job_id: str | None) -> AttemptResult:
    answer_value = value if status == 200 else FieldReader(value).read_any("answer")
    if answer_value is None:
        return _read_failed_attempt(status, value)
    answer = decode_answer(answer_value)
    if job_id is not None and answer.job_id != job_id:
        return Lost(f"an answer to {answer.job_id} instead of {job_id}")
    return Answered(answer, _read_ids(value, "next_ids", "next_ids_valid_ms"))


def _read_failed_attempt(status: int, value: Any) -> AttemptResult:
    refusal = _read_refusal(status, value)
    is_ours = bool(refusal.type_name) and refusal.type_name != "internal-error"
    if status >= FIRST_SERVER_ERROR and not is_ours:
        return Lost(str(refusal))
    return Refused(refusal)


def _read_refusal(status: int, value: Any) -> RequestRefusedError:
    reader = FieldReader(value)
    retry_after_ms = reader.read_any("retry_after_ms")
    if not isinstance(retry_after_ms, int):
        retry_after_ms = None
    type_name = type_of_problem(reader.read_any("type"))
    detail = reader.read_text("detail", MAX_DETAIL_CHARACTERS, "")
    return RequestRefusedError(type_name, status, detail, retry_after_ms, members=value)


def _read_ids(value: Any, name: str, valid_name: str) -> IssuedIds:
    reader = FieldReader(value)
    ids = reader.read_list(name, 0, MAX_IDS)
    if not all(isinstance(job_id, str) for job_id in ids):
        raise InvalidInputError(name, "strings", type(ids[0]).__name__)
    return IssuedIds(tuple(ids), reader.read_integer(valid_name, 0, MAX_VALID_MS))
