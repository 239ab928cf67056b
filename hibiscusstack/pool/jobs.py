"""Data classes for the jobs of target pools."""

__all__ = ["NO_RESOURCES", "PoolJob", "Resources", "Step", "TaskKey"]

import attrs

TaskKey = tuple[int, int]
"""The index of the step and the index of the task within the step."""


@attrs.frozen
class Resources:
    """Resources of a task or a target; ``cpu_milli`` is in thousandths of a core.

    >>> Resources(500, 64).fits(Resources(1_000, 128))
    True
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, available: "Resources") -> bool:
        """Return whether ``available`` has at least these amounts of all resources."""
        return (
            self.cpu_milli <= available.cpu_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the difference of both."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


NO_RESOURCES = Resources()


@attrs.frozen
class Step:
    """``count`` similar tasks, which run after all tasks of the steps ``after``.

    ``requires`` is a label that the target must have, ``data_rack`` the rack in which
    the tasks run fastest, and ``anti_affinity`` the largest number of tasks of the step
    on one target (0: unlimited). With ``is_checkpointing`` a run can resume from a
    checkpoint of an earlier run.
    """

    count: int
    needs: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    requires: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    is_checkpointing: bool = False


@attrs.frozen
class PoolJob:
    """A job for the targets of one pool, answered when its last task has ended.

    ``priority`` 0 is the highest. The latency objective of the job is ``stretch`` times
    its critical path plus ``target_latency_ms``.
    """

    job_id: str
    pool: str
    payload: str
    steps: tuple[Step, ...]
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0

    def critical_path_ms(self) -> int:
        """Return the estimated time of the critical path, the longest chain of steps.

        >>> slow, quick = Step(2, Resources(), 30), Step(1, Resources(), 5, (0,))
        >>> PoolJob("j", "p", "", (slow, quick)).critical_path_ms()
        35
        """
        ends: list[int] = []
        for step in self.steps:
            start = max((ends[i] for i in step.after), default=0)
            ends.append(start + step.estimate_ms)
        return max(ends, default=0)

    def work_milli_ms(self) -> int:
        """Return the estimated work of all tasks, in thousandths of a core times ms.

        >>> PoolJob("j", "p", "", (Step(3, Resources(500), 40),)).work_milli_ms()
        60000
        """
        return sum(
            step.count * step.needs.cpu_milli * step.estimate_ms for step in self.steps
        )

    def objective_ms(self) -> float:
        """Return the latency objective: the time within which to answer the job."""
        return self.stretch * self.critical_path_ms() + self.target_latency_ms
