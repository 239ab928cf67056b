"""Writing of JSON responses and problems to a request."""

__all__ = ["read_json_bytes", "write_json", "write_problem"]

import json
import math
from typing import Any

from twisted.web.iweb import IRequest

from hibiscusstack.caller.problems import (
    PROBLEM_MEDIA_TYPE,
    HttpProblem,
    InputFault,
    refusal_of,
)

MS_PER_SECOND = 1000
JSON_MEDIA_TYPES = frozenset({b"", b"application/json"})


def write_json(
    request: IRequest, fields: dict[str, Any], status: int = 200, media_type: str = ""
) -> bytes:
    """Set status and headers of a response and return its JSON body.

    Raises ``ValueError`` for a value that JSON cannot carry.
    """
    body = json.dumps(fields, allow_nan=False, separators=(",", ":")).encode()
    request.setResponseCode(status)
    request.setHeader("Content-Type", media_type or "application/json")
    request.setHeader("Content-Length", str(len(body)))
    return body


def write_problem(request: IRequest, problem: HttpProblem) -> bytes:
    """Set status and headers for a problem and return its JSON body.

    ``Retry-After`` counts whole seconds, rounded up; ``retry_after_ms`` in the body
    is exact.
    """
    if problem.retry_after_ms is not None:
        seconds = math.ceil(problem.retry_after_ms / MS_PER_SECOND)
        request.setHeader("Retry-After", str(seconds))
    return write_json(request, problem.as_json(), problem.status, PROBLEM_MEDIA_TYPE)


def read_json_bytes(request: IRequest) -> bytes:
    """Return the body of a request whose media type is JSON or not given.

    Raises :class:`~hibiscusstack.exceptions.RequestRefusedError` for another one.
    """
    header = request.getHeader(b"content-type") or b""
    media_type = header.split(b";")[0].strip().lower()
    if media_type in JSON_MEDIA_TYPES:
        return request.content.read()
    detail = f"expected application/json, found {media_type.decode('latin-1')!r}"
    raise refusal_of(InputFault.UNSUPPORTED_MEDIA_TYPE, detail)
