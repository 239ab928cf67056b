"""Jobs and the tasks they are made of."""

__all__ = ["MAX_TASKS_PER_JOB", "Job", "Task", "task_id_of"]

from collections.abc import Mapping
from typing import Any

import attrs

MAX_TASKS_PER_JOB = 200


@attrs.frozen
class Task:
    """One short piece of work that runs on one target.

    ``payload`` is any value that JSON can represent. ``run_time_ms`` and
    ``memory_mb`` are estimates declared by the caller and may be far off.
    """

    index: int
    kind: str
    payload: Any = None
    labels: Mapping[str, str] = attrs.field(factory=dict)
    idempotent: bool = True
    run_time_ms: int = 200
    processors_milli: int = 0
    memory_mb: int = 0


@attrs.frozen
class Job:
    """One submission of up to 200 tasks, answered as a whole.

    ``timeout_ms`` is the time left until the deadline when the job is sent, so that
    hosts whose clocks differ agree on the deadline. With ``is_first_attempt`` the
    caller asserts that it never sent this ``job_id`` before. A host that could not
    reach the owner may then answer that the job was not run.
    """

    job_id: str
    caller: str
    tasks: tuple[Task, ...]
    team: str = "default"
    labels: Mapping[str, str] = attrs.field(factory=dict)
    timeout_ms: int = 30_000
    traceparent: str = ""
    is_first_attempt: bool = False


def task_id_of(job_id: str, index: int, batch: int) -> str:
    """Return the id by which a target identifies one placement of a task.

    The batch is part of the id, so a stop that a target remembers for one placement
    does not apply to a later one.

    >>> task_id_of("dc1.h1.5.9", 3, 71)
    'dc1.h1.5.9/3/71'
    """
    return f"{job_id}/{index}/{batch}"
