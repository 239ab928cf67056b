"""How much work each target should get, from its own failures and run times."""

__all__ = ["HealthTable"]

import math
from collections.abc import Iterable

import attrs

from hibiscusstack.dispatch.policy.policy import PolicyInForce
from hibiscusstack.dispatch.targets import TargetInfo

LEARNING_PART = 0.05
LEAST_ENDED = 3
SURE_FAILURES = 4
LEAST_TIMED = 20
BETTER_PART = 0.5
EJECT_MS = 2_000
MAX_EJECT_MS = 60_000
TRICKLE_SUCCESSES = 3
TRICKLE_LIMIT = 8
SLOW_FACTOR = 2.2
SLOW_PROBE_INTERVAL_MS = 2_000
TIMED_MEMORY_RUNS = 40
LEAST_SLOWNESS = 0.001


@attrs.define
class _Record:
    """What is known of one target.

    ``allowed`` bounds its running tasks while it is readmitted; ``None`` means that
    it is trusted. ``log_slowness`` is the moving mean of the logarithm of its slowness,
    which one very long task hardly moves.
    """

    ended: int = 0
    failure_part: float = 0.0
    consecutive_failures: int = 0
    timed: int = 0
    log_slowness: float = 0.0
    allowed: int | None = None
    successes: int = 0
    ejected_until_ms: int = 0
    eject_ms: int = EJECT_MS
    is_slow: bool = False
    last_ended_ms: int = 0

    def failing_part(self) -> float:
        if self.consecutive_failures >= SURE_FAILURES:
            return 1.0
        return self.failure_part

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
        self._records: dict[str, _Record] = {}

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
        if record.allowed is None:
            return target.slots
        return min(record.allowed, target.slots)

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
        record.ended += 1
        record.last_ended_ms = now_ms
        part = max(LEARNING_PART, 1.0 / record.ended)
        record.failure_part += part * ((not is_success) - record.failure_part)
        if is_success:
            self._record_success(record, slowness)
            record.is_slow = self._is_slow(target, record)
            return
        record.consecutive_failures += 1
        is_readmitted = record.allowed is not None
        is_judged_bad = self._is_bad(target, record) and self._may_eject(now_ms)
        if is_readmitted or is_judged_bad:
            self._eject(record, now_ms)

    def count_ejected(self, now_ms: int) -> int:
        """Return how many targets are ejected now."""
        return sum(record.is_ejected(now_ms) for record in self._records.values())

    def _record_of(self, target: str) -> _Record:
        record = self._records.get(target)
        if record is None:
            record = self._records[target] = _Record()
        return record

    def _record_success(self, record: _Record, slowness: float) -> None:
        record.consecutive_failures = 0
        record.timed = min(record.timed + 1, TIMED_MEMORY_RUNS)
        log_slowness = math.log(max(slowness, LEAST_SLOWNESS))
        record.log_slowness += (log_slowness - record.log_slowness) / record.timed
        if record.allowed is None:
            return
        record.successes += 1
        if record.successes >= TRICKLE_SUCCESSES:
            record.successes = 0
            record.allowed *= 2
            if record.allowed > TRICKLE_LIMIT:
                self._trust(record)

    def _trust(self, record: _Record) -> None:
        record.allowed = None
        record.eject_ms = EJECT_MS
        record.failure_part = 0.0
        record.ended = 0

    def _eject(self, record: _Record, now_ms: int) -> None:
        record.ejected_until_ms = now_ms + record.eject_ms
        record.eject_ms = min(2 * record.eject_ms, MAX_EJECT_MS)
        record.allowed = 1
        record.successes = 0
        record.consecutive_failures = 0

    def _is_bad(self, target: str, record: _Record) -> bool:
        limit = self._in_force.policy.limits.eject_failure_part
        failing_part = record.failing_part()
        if record.ended < LEAST_ENDED or failing_part < limit:
            return False
        others = [
            other.failing_part()
            for name, other in self._records.items()
            if name != target and other.ended >= LEAST_ENDED
        ]
        return bool(others) and min(others) < BETTER_PART * failing_part

    def _may_eject(self, now_ms: int) -> bool:
        fleet = max(self._fleet_targets, len(self._records))
        most = max(1, int(self._in_force.policy.limits.max_ejected_part * fleet))
        return self.count_ejected(now_ms) + self._ejected_elsewhere < most

    def _is_slow(self, target: str, record: _Record) -> bool:
        if record.timed < LEAST_TIMED:
            return False
        others = [
            other.log_slowness
            for name, other in self._records.items()
            if name != target and other.timed >= LEAST_TIMED
        ]
        if not others:
            return False
        return record.log_slowness - min(others) > math.log(SLOW_FACTOR)
