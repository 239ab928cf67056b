"""How far a stored job is: which tasks are done, and which runs failed."""

__all__ = ["JobProgress"]

import attrs

from hibiscusstack.pool.jobs import Step, TaskKey


@attrs.define(eq=False)
class JobProgress:
    """The ends of a job's tasks that count for good.

    ``done`` has one set of bits for each step, ``failed`` the numbers of the runs
    that failed, ``checkpoints`` the run and the checkpoint from which a task that runs
    again can go on. An end that is noted again changes nothing.

    >>> progress = JobProgress.of_steps((Step(3, None),))
    >>> progress.mark_done((0, 2)), progress.mark_done((0, 2)), progress.done_bits
    (True, False, [4])
    """

    done_bits: list[int]
    failed_runs: dict[TaskKey, list[int]] = attrs.field(factory=dict)
    checkpoints: dict[TaskKey, tuple[int, str]] = attrs.field(factory=dict)

    @classmethod
    def of_steps(cls, steps: tuple[Step, ...]) -> "JobProgress":
        """Return the progress of a job that has not begun."""
        return cls([0] * len(steps))

    @property
    def has_begun(self) -> bool:
        """Tell whether any end is noted."""
        return any(self.done_bits) or bool(self.failed_runs or self.checkpoints)

    def is_done(self, key: TaskKey) -> bool:
        """Tell whether a task has ended ``done``."""
        return bool(self.done_bits[key[0]] >> key[1] & 1)

    def mark_done(self, key: TaskKey) -> bool:
        """Note that a task is done; return whether that is news."""
        if self.is_done(key):
            return False
        self.done_bits[key[0]] |= 1 << key[1]
        self.checkpoints.pop(key, None)
        return True

    def record_failure(self, key: TaskKey, run: int) -> bool:
        """Note that a run failed; return whether that is news."""
        runs = self.failed_runs.setdefault(key, [])
        if run in runs:
            return False
        runs.append(run)
        return True

    def record_checkpoint(self, key: TaskKey, run: int, checkpoint: str) -> bool:
        """Note from where a task can go on; return whether that is news."""
        known = self.checkpoints.get(key, (0, ""))
        is_new = run >= known[0] and known != (run, checkpoint)
        if is_new:
            self.checkpoints[key] = (run, checkpoint)
        return is_new

    def next_run(self, key: TaskKey) -> int:
        """Return a run number above all that are noted for a task."""
        checkpoint_run = self.checkpoints.get(key, (0, ""))[0]
        return max(*self.failed_runs.get(key, ()), checkpoint_run, 0) + 1
