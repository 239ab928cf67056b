"""The interface of a home host's queue, and the plainest queue that has it."""

__all__ = ["FifoQueue", "QueuedTask", "TaskQueue"]

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs

from hibiscusstack.dispatch.jobs import Task
from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.dispatch.targets import TargetInfo


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


class TaskQueue(Protocol):
    """Where tasks wait until a target has a free slot."""

    def push(self, entry: QueuedTask) -> None:
        """Add one task."""

    def pop(self, target: TargetInfo, now_ms: int) -> QueuedTask | None:
        """Take the task that should start on ``target`` next, if any may."""

    def remove_batch(self, owner: HostName, batch: int) -> list[QueuedTask]:
        """Take out every waiting task of one batch."""

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


class FifoQueue:
    """A queue in order of arrival, blind to classes and teams."""

    def __init__(self) -> None:
        self._entries: deque[QueuedTask] = deque()

    def push(self, entry: QueuedTask) -> None:
        """Add one task at the end."""
        self._entries.append(entry)

    def pop(self, target: TargetInfo, now_ms: int) -> QueuedTask | None:
        """Take the oldest task that may run on ``target``."""
        for entry in self._entries:
            if target.name in entry.targets:
                self._entries.remove(entry)
                return entry
        return None

    def remove_batch(self, owner: HostName, batch: int) -> list[QueuedTask]:
        """Take out every waiting task of one batch."""
        return self._take_out(
            [e for e in self._entries if e.owner == owner and e.batch == batch]
        )

    def expire(self, now_ms: int) -> list[QueuedTask]:
        """Take out every task whose deadline has passed."""
        return self._take_out([e for e in self._entries if e.deadline_ms <= now_ms])

    def record_run(self, entry: QueuedTask, run_time_ms: int) -> None:
        """Do nothing: this queue learns nothing from run times."""

    def __len__(self) -> int:
        """Return the number of tasks that wait."""
        return len(self._entries)

    def replace_targets(self, targets: Iterable[TargetInfo], fleet_slots: int) -> None:
        """Do nothing: this queue shares nothing out."""

    def expected_ms(self, task: Task) -> float:
        """Return the declared run time."""
        return task.run_time_ms

    def queued_ms(self) -> int:
        """Return the declared run time of all that waits."""
        return sum(entry.task.run_time_ms for entry in self._entries)

    def queued_ms_by_class(self) -> Mapping[str, int]:
        """Return the declared run time of what waits in each class."""
        totals: dict[str, int] = {}
        for entry in self._entries:
            waiting_ms = totals.get(entry.class_name, 0)
            totals[entry.class_name] = waiting_ms + entry.task.run_time_ms
        return totals

    def _take_out(self, taken: list[QueuedTask]) -> list[QueuedTask]:
        for entry in taken:
            self._entries.remove(entry)
        return taken
