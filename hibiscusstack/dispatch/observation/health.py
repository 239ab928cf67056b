"""How much work each target should get, from its own failures and run times."""

__all__ = ["HealthTable"]

import math
from collections.abc import Iterable

import attrs

from hibiscusstack.dispatch.policy.policy import PolicyInForce
from hibiscusstack.dispatch.targets import TargetInfo

MIN_AVERAGE_WEIGHT = 0.05
MIN_ENDED_TASKS = 3
MAX_CONSECUTIVE_FAILURES = 4
MIN_TIMED_TASKS = 20
MAX_BEST_FAILURE_RATIO = 0.5
BASE_EJECTION_MS = 2_000
MAX_EJECTION_MS = 60_000
SUCCESSES_PER_DOUBLING = 3
MAX_READMISSION_TASKS = 8
SLOWNESS_LIMIT_FACTOR = 2.2
SLOW_PROBE_INTERVAL_MS = 2_000
SLOWNESS_WINDOW_TASKS = 40
MIN_SLOWNESS = 0.001


@attrs.define
class _TargetRecord:
    """What is known of one target.

    ``allowed`` bounds its running tasks while it is readmitted; ``None`` means that
    it is trusted. ``log_slowness`` is the moving mean of the logarithm of its slowness,
    which one very long task hardly moves.
    """

    ended_tasks: int = 0
    mean_failure_rate: float = 0.0
    consecutive_failures: int = 0
    timed_tasks: int = 0
    mean_log_slowness: float = 0.0
    readmission_limit: int | None = None
    readmission_successes: int = 0
    ejected_until_ms: int = 0
    next_ejection_ms: int = BASE_EJECTION_MS
    is_slow: bool = False
    last_ended_ms: int = 0

    def effective_failure_rate(self) -> float:
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return 1.0
        return self.mean_failure_rate

    def is_ejected(self, now_ms: int) -> bool:
        return now_ms < self.ejected_until_ms


class HealthTable:
    """The targets of one home, judged against each other.

    A target that fails clearly more than the best of the others is ejected: it gets
    nothing for a while, then one task at a time, then twice as many after each few
    successes, until it has all its slots again. A failure on the way ejects it for
    twice as long. Never more than the published part of the fleet is ejected, and a
    failure that all targets share ejects none, since then the work is at fault.

    A target that takes much longer than the others gets one task every few seconds,
    which shows when it has recovered.

    Recording costs at most one pass over the targets of this home.
    """

    def __init__(self, in_force: PolicyInForce) -> None:
        self._ejected_elsewhere = 0
        self._fleet_targets = 0
        self._in_force = in_force
        self._records: dict[str, _TargetRecord] = {}

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Forget the targets that are no longer homed here."""
        names = {target.name for target in targets}
        for name in self._records.keys() - names:
            del self._records[name]

    def set_fleet_ejections(self, ejected_elsewhere: int, targets: int) -> None:
        """Take over what other homes have ejected, and of how many targets."""
        self._ejected_elsewhere = ejected_elsewhere
        self._fleet_targets = targets

    def concurrency_limit(self, target: TargetInfo, now_ms: int) -> int:
        """Return how many tasks the target may run at once now."""
        record = self._records.get(target.name)
        if record is None:
            return target.slots
        if record.is_ejected(now_ms):
            return 0
        if record.is_slow:
            return int(now_ms >= record.last_ended_ms + SLOW_PROBE_INTERVAL_MS)
        if record.readmission_limit is None:
            return target.slots
        return min(record.readmission_limit, target.slots)

    def record(
        self, target: str, is_success: bool, slowness: float, now_ms: int
    ) -> None:
        """Account for one start that has ended.

        ``slowness`` is the run time over what is expected of such a task, so a
        target that gets the longer kinds of work is not taken for a slow one.

        What ends while its target is ejected was started before, and tells nothing
        new.
        """
        record = self._record_of(target)
        if record.is_ejected(now_ms):
            return
        record.ended_tasks += 1
        record.last_ended_ms = now_ms
        weight = max(MIN_AVERAGE_WEIGHT, 1.0 / record.ended_tasks)
        record.mean_failure_rate += weight * (
            (not is_success) - record.mean_failure_rate
        )
        if is_success:
            self._record_success(record, slowness)
            record.is_slow = self._is_slow(target, record)
            return
        record.consecutive_failures += 1
        is_readmitted = record.readmission_limit is not None
        is_ejectable_outlier = self._is_outlier(target, record) and self._may_eject(
            now_ms
        )
        if is_readmitted or is_ejectable_outlier:
            self._eject(record, now_ms)

    def count_ejected(self, now_ms: int) -> int:
        """Return how many targets are ejected now."""
        return sum(record.is_ejected(now_ms) for record in self._records.values())

    def _record_of(self, target: str) -> _TargetRecord:
        record = self._records.get(target)
        if record is None:
            record = self._records[target] = _TargetRecord()
        return record

    def _record_success(self, record: _TargetRecord, slowness: float) -> None:
        record.consecutive_failures = 0
        record.timed_tasks = min(record.timed_tasks + 1, SLOWNESS_WINDOW_TASKS)
        log_slowness = math.log(max(slowness, MIN_SLOWNESS))
        record.mean_log_slowness += (
            log_slowness - record.mean_log_slowness
        ) / record.timed_tasks
        if record.readmission_limit is None:
            return
        record.readmission_successes += 1
        if record.readmission_successes >= SUCCESSES_PER_DOUBLING:
            record.readmission_successes = 0
            record.readmission_limit *= 2
            if record.readmission_limit > MAX_READMISSION_TASKS:
                self._restore_full_capacity(record)

    def _restore_full_capacity(self, record: _TargetRecord) -> None:
        record.readmission_limit = None
        record.next_ejection_ms = BASE_EJECTION_MS
        record.mean_failure_rate = 0.0
        record.ended_tasks = 0

    def _eject(self, record: _TargetRecord, now_ms: int) -> None:
        record.ejected_until_ms = now_ms + record.next_ejection_ms
        record.next_ejection_ms = min(2 * record.next_ejection_ms, MAX_EJECTION_MS)
        record.readmission_limit = 1
        record.readmission_successes = 0
        record.consecutive_failures = 0

    def _is_outlier(self, target: str, record: _TargetRecord) -> bool:
        limit = self._in_force.policy.limits.eject_failure_part
        failure_rate = record.effective_failure_rate()
        if record.ended_tasks < MIN_ENDED_TASKS or failure_rate < limit:
            return False
        others = [
            other.effective_failure_rate()
            for name, other in self._records.items()
            if name != target and other.ended_tasks >= MIN_ENDED_TASKS
        ]
        return bool(others) and min(others) < MAX_BEST_FAILURE_RATIO * failure_rate

    def _may_eject(self, now_ms: int) -> bool:
        fleet = max(self._fleet_targets, len(self._records))
        max_ejected = max(1, int(self._in_force.policy.limits.max_ejected_part * fleet))
        return self.count_ejected(now_ms) + self._ejected_elsewhere < max_ejected

    def _is_slow(self, target: str, record: _TargetRecord) -> bool:
        if record.timed_tasks < MIN_TIMED_TASKS:
            return False
        others = [
            other.mean_log_slowness
            for name, other in self._records.items()
            if name != target and other.timed_tasks >= MIN_TIMED_TASKS
        ]
        if not others:
            return False
        return record.mean_log_slowness - min(others) > math.log(SLOWNESS_LIMIT_FACTOR)
