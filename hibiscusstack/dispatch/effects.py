"""What the decision code asks its surroundings to do, as plain typed data.

The decision code performs no I/O. Each of its calls returns a list of effects, which
the daemon carries out and which tests and benches read or simulate.
"""

__all__ = [
    "Answer",
    "Effect",
    "SendPeer",
    "StartTask",
    "StopTasks",
    "TargetReply",
    "TaskFinished",
    "TaskNotSent",
    "TaskRefused",
    "TaskSilent",
    "TaskState",
    "TaskStates",
]

from enum import Enum

import attrs

from hibiscusstack.dispatch.answers import JobAnswer, TaskResult
from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import HostName, Message


@attrs.frozen
class Answer:
    """Give ``answer`` to the caller behind ``request``, and to nobody else."""

    request: int
    answer: JobAnswer


@attrs.frozen
class SendPeer:
    """Send ``message`` to the peer ``to``."""

    to: HostName
    message: Message


@attrs.frozen
class StartTask:
    """Send one task to a target, once; answered by a :data:`TargetReply`."""

    target: str
    task_id: str
    task: Task
    timeout_ms: int
    traceparent: str = ""


@attrs.frozen
class StopTasks:
    """Stop tasks on a target over a new connection; answered by ``TaskStates``.

    A target remembers a stop, so a task that it reports as never started cannot
    start on it later. With ``only_unstarted`` a task that runs is left to run.
    """

    target: str
    task_ids: tuple[str, ...]
    only_unstarted: bool = True


class TaskState(Enum):
    """What a target says of a task that it was asked to stop."""

    NEVER_STARTED = "never_started"
    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"


@attrs.frozen
class TaskStates:
    """A target's word on tasks; ``None`` when the target could not be reached.

    ``results`` holds the results of those tasks that are finished. ``memory_ms`` is
    for how long back the target remembers every start and result; a target that was
    restarted, or that drops old results, knows nothing of what was before.
    """

    target: str
    task_ids: tuple[str, ...]
    states: dict[str, TaskState] | None
    results: dict[str, TaskResult] = attrs.field(factory=dict)
    memory_ms: int = 0


@attrs.frozen
class TaskFinished:
    """The target ran the task; ``result`` says with what success."""

    result: TaskResult


@attrs.frozen
class TaskRefused:
    """The target gave a typed refusal, which proves that the task did not start.

    ``reason`` is one of ``busy``, ``leaving``, ``stopped`` and ``lease_expired``.
    """

    reason: str


@attrs.frozen
class TaskNotSent:
    """Nothing was written to the target, which proves that nothing started."""

    cause: str


@attrs.frozen
class TaskSilent:
    """The task was written and no answer came; it may have run."""

    cause: str


TargetReply = TaskFinished | TaskRefused | TaskNotSent | TaskSilent
Effect = Answer | SendPeer | StartTask | StopTasks
