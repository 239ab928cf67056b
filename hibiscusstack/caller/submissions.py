"""Decoding of submitted jobs, and their encoding for the client library."""

__all__ = [
    "Submission",
    "decode_submission",
    "encode_submission",
    "read_submission",
]

from collections.abc import Mapping
from typing import Any

import attrs

from hibiscusstack.caller.fields import FieldReader, check_job_id, check_name
from hibiscusstack.caller.json_body import parse_json_body
from hibiscusstack.dispatch.jobs import MAX_TASKS_PER_JOB, Job, Task
from hibiscusstack.exceptions import InvalidInputError

MAX_TIMEOUT_MS = 600_000
MAX_RUN_TIME_MS = 600_000
MAX_PROCESSORS_MILLI = 1_024_000
MAX_MEMORY_MB = 16_777_216


@attrs.frozen
class Submission:
    """A job as its caller sent it.

    ``job.job_id`` is empty when the caller gave no id. ``key`` is set when the caller
    chose a key of its own instead.
    """

    job: Job
    key: str | None = None


def decode_submission(body: bytes, traceparent: str = "") -> Submission:
    """Return the submission in the JSON body of a request.

    Raises :class:`~hibiscusstack.exceptions.InvalidInputError`, with the path of the
    field, for anything that the protocol doesn't name: a wrong type, an unknown
    field, a value out of bounds, no task or more than 200, an id together with a key.

    >>> body = b'{"caller": "c1", "tasks": [{"kind": "check"}]}'
    >>> decode_submission(body).job.tasks[0].kind
    'check'

    See also :func:`encode_submission`. The cost is linear in the length of the body.
    """
    return read_submission(parse_json_body(body), traceparent)


def read_submission(value: Any, traceparent: str = "") -> Submission:
    """Return the submission in a parsed JSON object.

    Raises as :func:`decode_submission` does.
    """
    reader = FieldReader(value)
    job_id = reader.read_job_id("id", default="")
    key = reader.read_name("key", default=None)
    if job_id and key is not None:
        raise InvalidInputError("key", "an id or a key, not both", key)
    job = Job(
        job_id=job_id,
        caller=reader.read_name("caller"),
        tasks=_decode_tasks(reader.read_list("tasks", 1, MAX_TASKS_PER_JOB)),
        team=reader.read_name("team", default="default"),
        labels=reader.read_labels("labels"),
        timeout_ms=reader.read_integer("timeout_ms", 1, MAX_TIMEOUT_MS, 30_000),
        traceparent=traceparent,
        is_first_attempt=reader.read_boolean("is_first_attempt", default=False),
    )
    reader.refuse_unread_fields()
    return Submission(job, key)


def encode_submission(submission: Submission) -> dict[str, Any]:
    """Return the JSON object that :func:`decode_submission` reads back.

    >>> job = Job("", "c1", (Task(0, "check"),))
    >>> encode_submission(Submission(job))["tasks"][0]["kind"]
    'check'
    """
    job = submission.job
    fields: dict[str, Any] = {
        "caller": job.caller,
        "team": job.team,
        "labels": dict(job.labels),
        "timeout_ms": job.timeout_ms,
        "is_first_attempt": job.is_first_attempt,
        "tasks": [_encode_task(task) for task in job.tasks],
    }
    if submission.key is not None:
        fields["key"] = check_name("key", submission.key)
    elif job.job_id:
        fields["id"] = check_job_id("id", job.job_id)
    return fields


def _decode_tasks(items: list[Any]) -> tuple[Task, ...]:
    return tuple(_decode_task(index, item) for index, item in enumerate(items))


def _decode_task(index: int, value: Any) -> Task:
    reader = FieldReader(value, f"tasks[{index}]")
    task = Task(
        index=index,
        kind=reader.read_name("kind"),
        payload=reader.read_any("payload"),
        labels=reader.read_labels("labels"),
        idempotent=reader.read_boolean("idempotent", default=True),
        run_time_ms=reader.read_integer("run_time_ms", 0, MAX_RUN_TIME_MS, 200),
        processors_milli=reader.read_integer(
            "processors_milli", 0, MAX_PROCESSORS_MILLI, 0
        ),
        memory_mb=reader.read_integer("memory_mb", 0, MAX_MEMORY_MB, 0),
    )
    reader.refuse_unread_fields()
    return task


def _encode_task(task: Task) -> Mapping[str, Any]:
    return {
        "kind": task.kind,
        "payload": task.payload,
        "labels": dict(task.labels),
        "idempotent": task.idempotent,
        "run_time_ms": task.run_time_ms,
        "processors_milli": task.processors_milli,
        "memory_mb": task.memory_mb,
    }
