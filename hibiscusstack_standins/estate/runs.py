"""One run of a task on a worker."""

__all__ = ["Capacity", "Run", "checkpoint_of", "is_checkpoint_of", "work_in"]

from zlib import crc32

import attrs

from hibiscusstack_standins.estate.jobs import Step, TaskName
from hibiscusstack_standins.estate.progress import Progress


@attrs.frozen
class Capacity:
    """Thousandths of a core, memory and accelerators."""

    cpu: int = 16_000
    mem_mb: int = 32_768
    gpu: int = 0

    def holds(self, steps: list[Step]) -> bool:
        """Return whether tasks of these steps fit together.

        >>> Capacity(cpu=1_000).holds([Step(cpu=600), Step(cpu=600, fills=True)])
        True
        >>> Capacity(cpu=1_000).holds([Step(cpu=600), Step(cpu=600)])
        False
        """
        return (
            sum(step.cpu for step in steps if not step.fills) <= self.cpu
            and sum(step.mem_mb for step in steps) <= self.mem_mb
            and sum(step.gpu for step in steps) <= self.gpu
        )


@attrs.define(eq=False)
class Run:
    """A run that a worker has begun and whose end it has not listed."""

    task: TaskName
    number: int
    step: Step
    progress: Progress
    started_ms: int
    resumed_at: float = 0.0
    percent: int = 100
    fails_at: float | None = None
    stops_ms: int | None = None
    paced: tuple[int, int] | None = None

    @property
    def is_gang(self) -> bool:
        """Return whether the run is a member of a gang."""
        return self.step.gang and self.step.count > 1

    def cpu_in_use(self) -> int:
        """Return the share of its processors that the run uses now."""
        is_working = self.progress.started_ms is not None
        return self.step.cpu * self.percent // 100 if is_working else 0

    def saved(self, checkpoint_ms: int, is_stop: bool = False) -> str:
        """Return the newest checkpoint, or an empty string."""
        if not self.step.checkpointing:
            return ""
        since = self.progress.work_ms - self.resumed_at
        whole = since if is_stop else since // checkpoint_ms * checkpoint_ms
        return checkpoint_of(self.task, self.step, self.resumed_at + whole)


def checkpoint_of(task: TaskName, step: Step, work_ms: float) -> str:
    """Return the name of a checkpoint; that of a gang is the same for all members.

    >>> work_in(checkpoint_of(TaskName("a", 0, 0, 1), Step(), 3_000))
    3000
    """
    if work_ms < 1:
        return ""
    owner = task.of_step if step.gang else str(task)
    return f"{int(work_ms):08x}{crc32(owner.encode()):08x}"


def is_checkpoint_of(checkpoint: str, task: TaskName, step: Step) -> bool:
    """Return whether a checkpoint belongs to a task, or to its gang.

    >>> one, other = TaskName("a", 0, 0, 1), TaskName("a", 0, 0, 2)
    >>> checkpoint = checkpoint_of(one, Step(), 3_000)
    >>> is_checkpoint_of(checkpoint, one, Step())
    True
    >>> is_checkpoint_of(checkpoint, other, Step())
    False
    """
    return checkpoint == checkpoint_of(task, step, work_in(checkpoint))


def work_in(checkpoint: str) -> int:
    """Return the work that a checkpoint holds; 0 for what is none."""
    try:
        return int(checkpoint[:8], 16)
    except ValueError:
        return 0
