"""Effects: the I/O that the decision code requests, as plain typed data.

The decision code performs no I/O. Each of its calls returns a list of effects, which
the daemon carries out and which tests and benches inspect or simulate. The module
also has the replies of targets to these effects.
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
    """Send ``answer`` to the caller of ``request`` only."""

    request: int
    answer: JobAnswer


@attrs.frozen
class SendPeer:
    """Send ``message`` to the peer ``to``."""

    to: HostName
    message: Message


@attrs.frozen
class StartTask:
    """Send one task to a target, without retries; a :data:`TargetReply` follows."""

    target: str
    task_id: str
    task: Task
    timeout_ms: int
    traceparent: str = ""


@attrs.frozen
class StopTasks:
    """Stop tasks on a target over a new connection; ``TaskStates`` follows.

    A target remembers a stop, so a task that it reports as never started cannot
    start on it later. With ``only_unstarted`` a running task continues to run.
    """

    target: str
    task_ids: tuple[str, ...]
    only_unstarted: bool = True


class TaskState(Enum):
    """State of a task, as reported by a target that was asked to stop it."""

    NEVER_STARTED = "never_started"
    RUNNING = "running"
    STOPPED = "stopped"
    FINISHED = "finished"


@attrs.frozen
class TaskStates:
    """A target's report on tasks; ``states`` is ``None`` if it was unreachable.

    ``results`` holds the results of those tasks that are finished. ``memory_ms`` is
    how far back the target remembers every start and result. A target that has
    restarted, or that drops old results, does not remember earlier ones.
    """

    target: str
    task_ids: tuple[str, ...]
    states: dict[str, TaskState] | None
    results: dict[str, TaskResult] = attrs.field(factory=dict)
    memory_ms: int = 0


@attrs.frozen
class TaskFinished:
    """The target ran the task; ``result`` has the outcome."""

    result: TaskResult


@attrs.frozen
class TaskRefused:
    """The target refused the task, which proves that it did not start.

    ``reason`` is one of ``busy``, ``leaving``, ``stopped`` and ``lease_expired``.
    """

    reason: str


@attrs.frozen
class TaskNotSent:
    """Nothing was written to the connection, which proves that nothing started."""

    cause: str


@attrs.frozen
class TaskSilent:
    """The task was sent and no answer arrived; it may have run."""

    cause: str


TargetReply = TaskFinished | TaskRefused | TaskNotSent | TaskSilent
Effect = Answer | SendPeer | StartTask | StopTasks
