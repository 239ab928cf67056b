"""The interface of the task queue of a home.

A home is the host that queues and starts the tasks of its targets.
"""

__all__ = ["QueuedTask", "TaskQueue"]

from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.dispatch.views import QueueSnapshot


@attrs.frozen
class QueuedTask:
    """A task that waits at the home of its targets.

    A batch holds the tasks that an owner has sent to this home together. ``owner`` and
    ``batch``, the owner's number for it, identify the batch of the task. ``targets``
    are the names of the targets that may run it. ``enqueued_ms`` and
    ``deadline_ms`` are readings of this host's clock. With ``may_move`` the task may
    be returned to its owner, to be placed on another home.
    """

    owner: HostName
    batch: int
    task_id: str
    task: Task
    targets: frozenset[str]
    team: str
    class_name: str
    enqueued_ms: int
    deadline_ms: int
    traceparent: str = ""
    may_move: bool = False


class TaskQueue(Protocol):
    """A queue of tasks that wait until a target has a free slot."""

    def push(self, entry: QueuedTask) -> None:
        """Add one task."""

    def pop(self, target: TargetInfo, now_ms: int) -> QueuedTask | None:
        """Remove and return the next task for ``target``, if one may run there."""

    def remove_batch(self, owner: HostName, batch_number: int) -> list[QueuedTask]:
        """Remove and return every waiting task of one batch."""

    def remove_movable(self, limit: int) -> list[QueuedTask]:
        """Remove and return up to ``limit`` tasks that may move to another home."""

    def expire(self, now_ms: int) -> list[QueuedTask]:
        """Remove and return the tasks that can no longer meet their deadlines."""

    def record_run(self, entry: QueuedTask, run_time_ms: int) -> None:
        """Account for a started task that has ended.

        A ``run_time_ms`` of 0 means that the task did not run and returns to its
        owner.
        """

    def __len__(self) -> int:
        """Return the number of waiting tasks."""

    def replace_targets(
        self, targets: Iterable[TargetInfo], data_centre_slots: int
    ) -> None:
        """Replace the targets of this home.

        ``data_centre_slots`` counts the slots of all targets of this data centre.
        """

    def expected_ms(self, task: Task) -> float:
        """Return the expected run time of a task."""

    def queued_ms(self) -> int:
        """Return the total expected run time of the waiting tasks."""

    def queued_ms_by_class(self) -> Mapping[str, int]:
        """Return the expected run time of the waiting tasks of each class."""

    def snapshots(self) -> list[QueueSnapshot]:
        """Return the waiting tasks of each class and team, sorted by their names."""
