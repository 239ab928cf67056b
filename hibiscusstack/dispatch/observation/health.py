"""Concurrency limits of targets, derived from their failures and run times."""

__all__ = ["HealthTable"]

import math
from collections.abc import Iterable

import attrs

from hibiscusstack.dispatch.policy.policy import CurrentPolicy
from hibiscusstack.dispatch.targets import TargetInfo

MIN_AVERAGE_WEIGHT = 0.05
MIN_ENDED_TASKS = 3
# So many failures in a row make the failure rate of a target count as 1.0.
CONSECUTIVE_FAILURES_FOR_FULL_RATE = 4
MIN_SLOWNESS_SAMPLES = 20
# A target is an outlier only if the lowest failure rate among the others is below
# this fraction of its own.
MAX_LOWEST_TO_OUTLIER_RATE_RATIO = 0.5
BASE_EJECTION_MS = 2_000
MAX_EJECTION_MS = 60_000
SUCCESSES_PER_DOUBLING = 3
MAX_READMISSION_TASKS = 8
SLOWNESS_LIMIT_FACTOR = 2.2
SLOW_PROBE_INTERVAL_MS = 2_000
# Caps the count of samples, so each sample changes the average by at least 1/40.
MAX_SLOWNESS_SAMPLES = 40
MIN_SLOWNESS = 0.001


@attrs.define
class _TargetStatistics:
    """The health of one target.

    ``readmission_limit`` bounds its running tasks while it is readmitted after an
    ejection; ``None`` means that all its slots may be used. ``mean_log_slowness`` is
    the moving average of the logarithm of its slowness. The logarithm keeps a single
    very long task from changing the average much. ``slowness_samples`` counts the
    successes in that average, up to ``MAX_SLOWNESS_SAMPLES``; failures are left out.
    ``next_ejection_duration_ms`` is how long its next ejection will last.
    """

    ended_tasks: int = 0
    mean_failure_rate: float = 0.0
    consecutive_failures: int = 0
    slowness_samples: int = 0
    mean_log_slowness: float = 0.0
    readmission_limit: int | None = None
    readmission_successes: int = 0
    ejected_until_ms: int = 0
    next_ejection_duration_ms: int = BASE_EJECTION_MS
    is_slow: bool = False
    last_ended_ms: int = 0

    def effective_failure_rate(self) -> float:
        if self.consecutive_failures >= CONSECUTIVE_FAILURES_FOR_FULL_RATE:
            return 1.0
        return self.mean_failure_rate

    def is_ejected(self, now_ms: int) -> bool:
        return now_ms < self.ejected_until_ms


class HealthTable:
    """Outlier detection among the targets of one home.

    The home of a target is the host that queues tasks for it and starts them on it.

    A target with a clearly higher failure rate than the best of the others is ejected:
    it gets no tasks for a while. It is then readmitted with one task at a time, and
    the limit doubles after every few successes until all its slots may be used again.
    A failure during readmission ejects it for twice as long. A failure that all
    targets share ejects none, since the tasks are then the likelier cause.

    An outlier is ejected only while fewer targets of the data centre are ejected than
    the configured share, ``max_ejected_part``, allows; it always allows at least one.
    A failure during readmission ejects the target without these two checks, so the
    share can be exceeded.

    A target that is much slower than the fastest other one gets one task at a time,
    each ``SLOW_PROBE_INTERVAL_MS`` after the last one ended. These tasks show when it
    has recovered.

    Recording a task costs at most one pass over the targets of this home.
    """

    def __init__(self, in_force: CurrentPolicy) -> None:
        self._ejected_by_other_homes = 0
        self._data_centre_targets = 0
        self._in_force = in_force
        self._statistics: dict[str, _TargetStatistics] = {}

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Drop the statistics of targets that are no longer assigned to this home."""
        names = {target.name for target in targets}
        for name in self._statistics.keys() - names:
            del self._statistics[name]

    def set_fleet_ejections(self, ejected_by_other_homes: int, targets: int) -> None:
        """Set how many targets the other homes of this data centre have ejected.

        ``targets`` is the number of all targets of the data centre. The limit on
        ejections holds for all its homes together.
        """
        self._ejected_by_other_homes = ejected_by_other_homes
        self._data_centre_targets = targets

    def concurrency_limit(self, target: TargetInfo, now_ms: int) -> int:
        """Return how many tasks the target may run at once at ``now_ms``."""
        stats = self._statistics.get(target.name)
        if stats is None:
            return target.slots
        if stats.is_ejected(now_ms):
            return 0
        if stats.is_slow:
            return int(now_ms >= stats.last_ended_ms + SLOW_PROBE_INTERVAL_MS)
        if stats.readmission_limit is None:
            return target.slots
        return min(stats.readmission_limit, target.slots)

    def record(
        self, target: str, is_success: bool, slowness: float, now_ms: int
    ) -> None:
        """Record the end of a task and eject the target if it has become an outlier.

        A failure during readmission ejects the target in any case, whether it is an
        outlier or not and however many targets are ejected.

        ``slowness`` is the run time divided by the expected run time of such a task,
        so a target that gets longer kinds of tasks does not count as slow.

        Tasks that end while their target is ejected are ignored: they were started
        before the ejection and tell nothing about the state of the target after it.
        """
        stats = self._statistics_of(target)
        if stats.is_ejected(now_ms):
            return
        stats.ended_tasks += 1
        stats.last_ended_ms = now_ms
        weight = max(MIN_AVERAGE_WEIGHT, 1.0 / stats.ended_tasks)
        stats.mean_failure_rate += weight * ((not is_success) - stats.mean_failure_rate)
        if is_success:
            self._record_success(stats, slowness)
            stats.is_slow = self._is_slow(target, stats)
            return
        stats.consecutive_failures += 1
        is_being_readmitted = stats.readmission_limit is not None
        should_eject = self._is_outlier(target, stats) and self._may_eject(now_ms)
        if is_being_readmitted or should_eject:
            self._eject(stats, now_ms)

    def count_ejected(self, now_ms: int) -> int:
        """Return the number of targets that are ejected at ``now_ms``."""
        return sum(stats.is_ejected(now_ms) for stats in self._statistics.values())

    def _statistics_of(self, target: str) -> _TargetStatistics:
        stats = self._statistics.get(target)
        if stats is None:
            stats = self._statistics[target] = _TargetStatistics()
        return stats

    def _record_success(self, stats: _TargetStatistics, slowness: float) -> None:
        stats.consecutive_failures = 0
        stats.slowness_samples = min(stats.slowness_samples + 1, MAX_SLOWNESS_SAMPLES)
        log_slowness = math.log(max(slowness, MIN_SLOWNESS))
        stats.mean_log_slowness += (
            log_slowness - stats.mean_log_slowness
        ) / stats.slowness_samples
        if stats.readmission_limit is None:
            return
        stats.readmission_successes += 1
        if stats.readmission_successes >= SUCCESSES_PER_DOUBLING:
            stats.readmission_successes = 0
            stats.readmission_limit *= 2
            if stats.readmission_limit > MAX_READMISSION_TASKS:
                self._restore_full_capacity(stats)

    def _restore_full_capacity(self, stats: _TargetStatistics) -> None:
        stats.readmission_limit = None
        stats.next_ejection_duration_ms = BASE_EJECTION_MS
        stats.mean_failure_rate = 0.0
        stats.ended_tasks = 0

    def _eject(self, stats: _TargetStatistics, now_ms: int) -> None:
        stats.ejected_until_ms = now_ms + stats.next_ejection_duration_ms
        stats.next_ejection_duration_ms = min(
            2 * stats.next_ejection_duration_ms, MAX_EJECTION_MS
        )
        stats.readmission_limit = 1
        stats.readmission_successes = 0
        stats.consecutive_failures = 0

    def _is_outlier(self, target: str, stats: _TargetStatistics) -> bool:
        limit = self._in_force.policy.limits.eject_failure_part
        failure_rate = stats.effective_failure_rate()
        if stats.ended_tasks < MIN_ENDED_TASKS or failure_rate < limit:
            return False
        others = [
            other.effective_failure_rate()
            for name, other in self._statistics.items()
            if name != target and other.ended_tasks >= MIN_ENDED_TASKS
        ]
        return (
            bool(others)
            and min(others) < MAX_LOWEST_TO_OUTLIER_RATE_RATIO * failure_rate
        )

    def _may_eject(self, now_ms: int) -> bool:
        target_count = max(self._data_centre_targets, len(self._statistics))
        max_ejected = max(
            1, int(self._in_force.policy.limits.max_ejected_part * target_count)
        )
        return self.count_ejected(now_ms) + self._ejected_by_other_homes < max_ejected

    def _is_slow(self, target: str, stats: _TargetStatistics) -> bool:
        if stats.slowness_samples < MIN_SLOWNESS_SAMPLES:
            return False
        others = [
            other.mean_log_slowness
            for name, other in self._statistics.items()
            if name != target and other.slowness_samples >= MIN_SLOWNESS_SAMPLES
        ]
        if not others:
            return False
        return stats.mean_log_slowness - min(others) > math.log(SLOWNESS_LIMIT_FACTOR)
