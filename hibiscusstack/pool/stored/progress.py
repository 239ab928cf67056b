"""Progress of a stored job: which tasks are done, and which runs failed."""

__all__ = ["JobProgress"]

import attrs

from hibiscusstack.pool.jobs import Step, TaskKey


@attrs.define(eq=False)
class JobProgress:
    """The recorded ends and checkpoints of a job's tasks.

    ``done_bits`` has one integer per step, whose bit ``i`` is set when task ``i`` of
    the step is done. ``failed_runs`` lists the numbers of the failed runs of a task,
    and ``checkpoints`` holds the run number and the checkpoint from which the next run
    of a task can resume. Recording the same end again changes nothing.

    >>> progress = JobProgress.of_steps((Step(3, None),))
    >>> progress.mark_done((0, 2)), progress.mark_done((0, 2)), progress.done_bits
    (True, False, [4])
    """

    done_bits: list[int]
    failed_runs: dict[TaskKey, list[int]] = attrs.field(factory=dict)
    checkpoints: dict[TaskKey, tuple[int, str]] = attrs.field(factory=dict)

    @classmethod
    def of_steps(cls, steps: tuple[Step, ...]) -> "JobProgress":
        """Return the progress of a job that has not started."""
        return cls([0] * len(steps))

    @property
    def has_begun(self) -> bool:
        """Tell whether any end or checkpoint is recorded."""
        return any(self.done_bits) or bool(self.failed_runs or self.checkpoints)

    def is_done(self, key: TaskKey) -> bool:
        """Tell whether a task is done."""
        return bool(self.done_bits[key[0]] >> key[1] & 1)

    def mark_done(self, key: TaskKey) -> bool:
        """Record that a task is done; return whether it was not recorded before."""
        if self.is_done(key):
            return False
        self.done_bits[key[0]] |= 1 << key[1]
        self.checkpoints.pop(key, None)
        return True

    def record_failure(self, key: TaskKey, run: int) -> bool:
        """Record a failed run; return whether it was not recorded before."""
        runs = self.failed_runs.setdefault(key, [])
        if run in runs:
            return False
        runs.append(run)
        return True

    def record_checkpoint(self, key: TaskKey, run: int, checkpoint: str) -> bool:
        """Record a checkpoint of a task; return whether it replaced the recorded one.

        A checkpoint of an earlier run than the recorded one is ignored.
        """
        recorded = self.checkpoints.get(key, (0, ""))
        is_new = run >= recorded[0] and recorded != (run, checkpoint)
        if is_new:
            self.checkpoints[key] = (run, checkpoint)
        return is_new

    def next_run(self, key: TaskKey) -> int:
        """Return a run number above all that are recorded for a task."""
        checkpoint_run = self.checkpoints.get(key, (0, ""))[0]
        return max(*self.failed_runs.get(key, ()), checkpoint_run, 0) + 1
