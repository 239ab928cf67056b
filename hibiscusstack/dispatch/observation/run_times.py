"""Expected run times of tasks, estimated from earlier runs of the same kind."""

__all__ = ["RunTimes"]

import attrs

from hibiscusstack.dispatch.jobs import Task

MAX_KINDS = 4_096
MIN_AVERAGE_WEIGHT = 0.02
MIN_RUNS_TO_PREDICT = 8
MIN_RUN_TIME_MS = 1.0
MAX_SCALED_ERROR_RATIO = 0.95


@attrs.define
class _KindStatistics:
    """Moving averages over the runs of one kind of task.

    There are two predictions: the mean run time, and the declared time multiplied by
    the ratio of the mean run time to the mean declared time. The scaled one is used if
    its mean error is smaller than ``MAX_SCALED_ERROR_RATIO`` times the other's.
    """

    mean_ms: float
    mean_declared_ms: float
    mean_error_ms: float = 0.0
    scaled_error_ms: float = 0.0
    runs: int = 0

    def scaled_ms(self, declared_ms: float) -> float:
        return declared_ms * self.mean_ms / self.mean_declared_ms

    def record(self, declared_ms: float, run_time_ms: float) -> None:
        self.runs += 1
        weight = max(MIN_AVERAGE_WEIGHT, 1.0 / self.runs)
        mean_error_ms = abs(run_time_ms - self.mean_ms)
        scaled_error_ms = abs(run_time_ms - self.scaled_ms(declared_ms))
        self.mean_error_ms += weight * (mean_error_ms - self.mean_error_ms)
        self.scaled_error_ms += weight * (scaled_error_ms - self.scaled_error_ms)
        self.mean_ms += weight * (run_time_ms - self.mean_ms)
        self.mean_declared_ms += weight * (declared_ms - self.mean_declared_ms)

    def expected_ms(self, declared_ms: float) -> float:
        if self.runs < MIN_RUNS_TO_PREDICT:
            return declared_ms
        if self.scaled_error_ms < MAX_SCALED_ERROR_RATIO * self.mean_error_ms:
            return self.scaled_ms(declared_ms)
        return self.mean_ms


class RunTimes:
    """Estimates the run time of a task from earlier runs of its kind.

    The declared time is used until enough runs have been recorded. At most
    ``MAX_KINDS`` kinds are kept; the least recently recorded one is dropped first.

    >>> times = RunTimes()
    >>> task = Task(0, "check", run_time_ms=1_000)
    >>> times.expected_ms(task)
    1000.0
    >>> for _ in range(20):
    ...     times.record(task, 100)
    >>> round(times.expected_ms(task))
    100
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _KindStatistics] = {}

    def record(self, task: Task, run_time_ms: float) -> None:
        """Record the run time of a task that ended on its target."""
        declared_ms = max(float(task.run_time_ms), MIN_RUN_TIME_MS)
        run_time_ms = max(run_time_ms, MIN_RUN_TIME_MS)
        kind = self._kinds.pop(task.kind, None)
        if kind is None:
            kind = _KindStatistics(run_time_ms, declared_ms)
        kind.record(declared_ms, run_time_ms)
        self._kinds[task.kind] = kind
        if len(self._kinds) > MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]

    def expected_ms(self, task: Task) -> float:
        """Return the expected run time of ``task`` in ms, at constant cost."""
        declared_ms = max(float(task.run_time_ms), MIN_RUN_TIME_MS)
        kind = self._kinds.get(task.kind)
        if kind is None:
            return declared_ms
        return max(kind.expected_ms(declared_ms), MIN_RUN_TIME_MS)
