"""Strict decoding of the responses of targets into typed data.

A response that does not match the protocol or the request raises ``DecodeError``, and
nothing in it is used.
"""

__all__ = [
    "TargetUsage",
    "decode_start_response",
    "decode_states",
    "decode_usage",
]

import json
import math
from typing import Any

import attrs

from hibiscusstack.dispatch.answers import Outcome, Problem, Reason, TaskResult
from hibiscusstack.dispatch.effects import (
    StartTask,
    StopTasks,
    TaskFinished,
    TaskRefused,
    TaskState,
    TaskStates,
)
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.target.connection import HttpResponse

_OK = 200
_CONFLICT = 409
_TASK_ID_PARTS = 3
_REFUSALS = frozenset({"busy", "leaving", "stopped", "lease_expired"})


@attrs.frozen
class TargetUsage:
    """Resource usage that a target reported; it may be out of date."""

    processors_milli: int
    memory_mb: int
    running: int


def decode_start_response(
    command: StartTask, response: HttpResponse
) -> TaskFinished | TaskRefused:
    """Return the result or the refusal of the task that ``command`` started.

    Raises ``DecodeError`` when the response contains neither, for example when it names
    another task.

    >>> from hibiscusstack.dispatch.jobs import Task
    >>> command = StartTask("t1", "j/0", Task(0, "check"), 900)
    >>> decode_start_response(command, HttpResponse(409, b'{"type": "busy"}', True))
    TaskRefused(reason='busy')
    """
    if response.status == _CONFLICT:
        return TaskRefused(_decode_refusal(command.task_id, response.body))
    body = _decode_ok_body(response)
    if body.get("task_id") != command.task_id:
        raise DecodeError("task_id", command.task_id, body.get("task_id"))
    return TaskFinished(_decode_result(command.task.index, body))


def decode_states(command: StopTasks, response: HttpResponse) -> TaskStates:
    """Return the states of exactly the tasks in ``command``.

    Raises ``DecodeError`` when a state or ``memory_ms`` is missing or malformed.
    """
    body = _decode_ok_body(response)
    tasks = body.get("tasks")
    memory_ms = _decode_count("memory_ms", body.get("memory_ms"))
    if not isinstance(tasks, dict):
        raise DecodeError("tasks", "an object", tasks)
    states: dict[str, TaskState] = {}
    results: dict[str, TaskResult] = {}
    for task_id in command.task_ids:
        entry = tasks.get(task_id)
        states[task_id] = state = _decode_state(task_id, entry)
        if state is TaskState.FINISHED:
            results[task_id] = _decode_result(_parse_task_index(task_id), entry)
    return TaskStates(command.target, command.task_ids, states, results, memory_ms)


def decode_usage(response: HttpResponse) -> TargetUsage:
    """Return the usage in ``response``, or raise ``DecodeError``."""
    body = _decode_ok_body(response)
    names = ("processors_milli", "memory_mb", "running")
    return TargetUsage(*(_decode_count(name, body.get(name)) for name in names))


def _decode_refusal(task_id: str, data: bytes) -> str:
    body = _decode_object(data)
    if body.get("task_id", task_id) != task_id:
        raise DecodeError("task_id", task_id, body["task_id"])
    reason = body.get("type")
    if not isinstance(reason, str) or reason not in _REFUSALS:
        raise DecodeError("type", f"one of {sorted(_REFUSALS)}", reason)
    return reason


def _decode_ok_body(response: HttpResponse) -> dict[str, Any]:
    if response.status != _OK:
        raise DecodeError("status", str(_OK), response.status)
    return _decode_object(response.body)


def _decode_object(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(
            data, parse_constant=_reject_constant, parse_float=_parse_finite_float
        )
    except (ValueError, RecursionError) as error:
        raise DecodeError("body", "JSON", data[:80]) from error
    if not isinstance(body, dict):
        raise DecodeError("body", "an object", data[:80])
    return body


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text} exceeds the range of a float")
    return number


def _decode_result(index: int, body: dict[str, Any]) -> TaskResult:
    succeeded = body.get("succeeded")
    if not isinstance(succeeded, bool):
        raise DecodeError("succeeded", "true or false", succeeded)
    if "value" not in body:
        raise DecodeError("value", "a value", None)
    run_time_ms = _decode_count("run_time_ms", body.get("run_time_ms"))
    if succeeded:
        return TaskResult(index, Outcome.SUCCEEDED, body["value"], None, run_time_ms)
    problem = Problem(Reason.TASK_FAILED)
    return TaskResult(index, Outcome.FAILED, body["value"], problem, run_time_ms)


def _decode_state(task_id: str, entry: Any) -> TaskState:
    if not isinstance(entry, dict):
        raise DecodeError(task_id, "an object", entry)
    try:
        return TaskState(entry.get("state"))
    except ValueError as error:
        raise DecodeError(task_id, "a state", entry.get("state")) from error


def _decode_count(field: str, value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise DecodeError(field, "a whole number from 0", value)
    return value


def _parse_task_index(task_id: str) -> int:
    parts = task_id.rsplit("/", 2)
    index = parts[1] if len(parts) == _TASK_ID_PARTS else ""
    if not (index.isascii() and index.isdigit()):
        raise DecodeError("task_id", "JOB/INDEX/BATCH", task_id)
    return int(index)
