"""The interface of a home host's queue."""

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

    ``owner`` and ``batch`` name the batch that it came in, ``deadline_ms`` is a
    reading of this host's clock.
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
    """Where tasks wait until a target has a free slot."""

    def push(self, entry: QueuedTask) -> None:
        """Add one task."""

    def pop(self, target: TargetInfo, now_ms: int) -> QueuedTask | None:
        """Take the task that should start on ``target`` next, if any may."""

    def remove_batch(self, owner: HostName, batch: int) -> list[QueuedTask]:
        """Take out every waiting task of one batch."""

    def remove_movable(self, limit: int) -> list[QueuedTask]:
        """Take out up to ``most`` tasks that may go to another home."""

    def expire(self, now_ms: int) -> list[QueuedTask]:
        """Take out every task that can no longer finish before its deadline."""

    def record_run(self, entry: QueuedTask, run_time_ms: int) -> None:
        """Account for a task that has ended on its target.

        With a time of 0 it never ran and goes back to its owner.
        """

    def __len__(self) -> int:
        """Return the number of tasks that wait."""

    def replace_targets(self, targets: Iterable[TargetInfo], fleet_slots: int) -> None:
        """Take over the targets whose home this host is."""

    def expected_ms(self, task: Task) -> float:
        """Return how long a task is expected to run."""

    def queued_ms(self) -> int:
        """Return the expected run time of all that waits."""

    def queued_ms_by_class(self) -> Mapping[str, int]:
        """Return the expected run time of what waits in each class."""

    def snapshots(self) -> list[QueueSnapshot]:
        """Return what waits, by class and team in their order."""
