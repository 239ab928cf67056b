"""Job files of the command-line tool."""

__all__ = ["read_job_file"]

import sys
from pathlib import Path
from typing import Any

from hibiscusstack.caller.json_body import parse_json_body
from hibiscusstack.caller.submissions import Submission, read_submission
from hibiscusstack.exceptions import InvalidInputError

STANDARD_INPUT = "-"
MAX_JSON_DEPTH = 40


def read_job_file(name: str, caller: str) -> list[Submission]:
    """Return the jobs in a file, which holds one job or a list of jobs.

    ``caller`` stands for the caller of each job that names none. Raises
    ``InvalidInputError`` with the file and the field for whatever the interface would
    refuse, and ``OSError`` for a file that cannot be read.
    """
    value = _parse(name, _read_bytes(name))
    items = value if isinstance(value, list) else [value]
    return [_read_job(name, n, item, caller) for n, item in enumerate(items)]


def _read_bytes(name: str) -> bytes:
    if name == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    return Path(name).read_bytes()


def _parse(name: str, body: bytes) -> Any:
    try:
        return parse_json_body(body, MAX_JSON_DEPTH)
    except InvalidInputError as error:
        raise _within(name, error) from None


def _read_job(name: str, number: int, item: Any, caller: str) -> Submission:
    if isinstance(item, dict):
        item = {"caller": caller} | item
    try:
        return read_submission(item)
    except InvalidInputError as error:
        raise _within(f"{name}, job {number}", error) from None


def _within(place: str, error: InvalidInputError) -> InvalidInputError:
    where = f"{place}: {error.where}"
    return InvalidInputError(where, error.expected, error.found)
