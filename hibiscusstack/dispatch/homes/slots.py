"""Counts of the slots that this host uses on targets."""

__all__ = ["SlotTable"]

from collections.abc import Iterable

from hibiscusstack.dispatch.targets import TargetInfo

BUSY_BACKOFF_MS = 20
UNREACHABLE_BACKOFF_MS = 500
LEAVING_BACKOFF_MS = 10_000


class SlotTable:
    """The targets of this data centre, their running tasks and their back-off times.

    A target that was busy, is leaving or could not be reached is backed off: it gets
    no new task until its back-off time ends.
    """

    def __init__(self) -> None:
        self._targets: dict[str, TargetInfo] = {}
        self._running: dict[str, int] = {}
        self._backoff_until_ms: dict[str, int] = {}

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Replace the list of targets; the counts of running tasks are kept."""
        self._targets = {target.name: target for target in targets}

    def target(self, name: str) -> TargetInfo | None:
        """Return the target called ``name``, if it is listed."""
        return self._targets.get(name)

    def names(self) -> list[str]:
        """Return the names of all listed targets."""
        return list(self._targets)

    def acquire(self, name: str) -> None:
        """Count one more task on a target."""
        self._running[name] = self._running.get(name, 0) + 1

    def release(self, name: str) -> None:
        """Count one task fewer on a target."""
        remaining = self._running[name] - 1
        if remaining:
            self._running[name] = remaining
        else:
            del self._running[name]

    def running_count(self, name: str) -> int:
        """Return the number of tasks counted on a target."""
        return self._running.get(name, 0)

    def back_off(self, name: str, until_ms: int) -> None:
        """Start nothing on a target before ``until_ms``."""
        self._backoff_until_ms[name] = until_ms

    def free_slots(self, name: str, now_ms: int) -> int:
        """Return how many more tasks a target can run now."""
        target = self._targets.get(name)
        if target is None or target.is_leaving:
            return 0
        if self._backoff_until_ms.get(name, now_ms) > now_ms:
            return 0
        limit = min(target.slots, target.connections)
        return max(0, limit - self._running.get(name, 0))

    def rank_by_free_slots(self, names: Iterable[str], now_ms: int) -> list[str]:
        """Return those of ``names`` with free slots, the most free slots first."""
        free = [(self.free_slots(name, now_ms), name) for name in names]
        ranked = sorted((-count, name) for count, name in free if count)
        return [name for _, name in ranked]
