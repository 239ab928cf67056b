"""Exact counts of the slots in use on the targets of one home host."""

__all__ = ["SlotTable"]

from collections.abc import Iterable

from hibiscusstack.dispatch.targets import TargetInfo

BUSY_PAUSE_MS = 20
UNREACHABLE_PAUSE_MS = 500
LEAVING_PAUSE_MS = 10_000


class SlotTable:
    """The targets of this data centre, their running tasks, and those in a pause.

    A target that refused or could not be reached gets no new task during a pause.
    """

    def __init__(self) -> None:
        self._targets: dict[str, TargetInfo] = {}
        self._running: dict[str, int] = {}
        self._paused_until_ms: dict[str, int] = {}

    def replace_targets(self, targets: Iterable[TargetInfo]) -> None:
        """Take over a new list of targets; counts of running tasks stay."""
        self._targets = {target.name: target for target in targets}

    def target(self, name: str) -> TargetInfo | None:
        """Return what the list says of one target, if it names it."""
        return self._targets.get(name)

    def names(self) -> list[str]:
        """Return the names of all listed targets."""
        return list(self._targets)

    def acquire(self, name: str) -> None:
        """Count one more task on a target."""
        self._running[name] = self._running.get(name, 0) + 1

    def release(self, name: str) -> None:
        """Count one task less on a target."""
        remaining = self._running[name] - 1
        if remaining:
            self._running[name] = remaining
        else:
            del self._running[name]

    def running_count(self, name: str) -> int:
        """Return the number of tasks counted on a target."""
        return self._running.get(name, 0)

    def pause(self, name: str, until_ms: int) -> None:
        """Start nothing on a target before ``until_ms``."""
        self._paused_until_ms[name] = until_ms

    def free_slots(self, name: str, now_ms: int) -> int:
        """Return how many tasks a target can take now."""
        target = self._targets.get(name)
        if target is None or target.is_leaving:
            return 0
        if self._paused_until_ms.get(name, now_ms) > now_ms:
            return 0
        limit = min(target.slots, target.connections)
        return max(0, limit - self._running.get(name, 0))

    def rank_by_free_slots(self, names: Iterable[str], now_ms: int) -> list[str]:
        """Return those of ``names`` that can take a task, the freest first."""
        free = [(self.free_slots(name, now_ms), name) for name in names]
        able = sorted((-count, name) for count, name in free if count)
        return [name for _, name in able]
