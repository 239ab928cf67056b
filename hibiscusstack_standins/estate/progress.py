"""The progress of a run, or of a gang whose members work together."""

__all__ = ["Gangs", "Progress"]

import math
from collections.abc import Hashable

import attrs


@attrs.define(eq=False)
class Progress:
    """Work that is done at the speed of the slowest member, once all are present.

    >>> progress = Progress(total_ms=100)
    >>> progress.join(0, "t", speed=0.5)
    >>> progress.finish_ms()
    200
    >>> progress.set_speed(100, "t", 1.0)
    >>> (progress.work_ms, progress.finish_ms())
    (50.0, 150)
    """

    total_ms: float
    work_ms: float = 0.0
    size: int = 1
    broken_ms: int | None = None
    started_ms: int | None = None
    speeds: dict[str, float] = attrs.field(factory=dict)
    racks: set[str] = attrs.field(factory=set)
    _settled_ms: int = 0

    def join(self, now_ms: int, member: str, speed: float, ready_ms: int = 0) -> None:
        """Add a member that can work from ``ready_ms`` on."""
        self.settle(now_ms)
        self.speeds[member] = speed
        self._settled_ms = max(self._settled_ms, ready_ms, now_ms)
        if len(self.speeds) == self.size:
            self.started_ms = now_ms

    def set_speed(self, now_ms: int, member: str, speed: float) -> None:
        """Let a member work at another speed from now on."""
        self.settle(now_ms)
        if member in self.speeds:
            self.speeds[member] = speed

    def settle(self, now_ms: int) -> None:
        """Count the work that was done until now."""
        passed_ms = now_ms - self._settled_ms
        if passed_ms <= 0:
            return
        if self.started_ms is not None and self.broken_ms is None:
            done_ms = self.work_ms + passed_ms * min(self.speeds.values())
            self.work_ms = min(self.total_ms, done_ms)
        self._settled_ms = now_ms

    def reach_ms(self, work_ms: float) -> int | None:
        """Return when this much work will be done at the speeds of now."""
        if self.started_ms is None or not min(self.speeds.values()):
            return None
        remaining_ms = (work_ms - self.work_ms) / min(self.speeds.values())
        if math.isinf(remaining_ms):
            return None
        return self._settled_ms + math.ceil(max(0.0, remaining_ms) - 1e-6)

    def finish_ms(self) -> int | None:
        """Return when all work will be done."""
        return self.reach_ms(self.total_ms)

    def percent(self) -> int:
        """Return the part of the work that is done."""
        if math.isinf(self.total_ms):
            return 0
        return int(100 * self.work_ms / self.total_ms) if self.total_ms else 100

    def break_up(self, now_ms: int) -> None:
        """End the work of all members, since one of them ended."""
        self.settle(now_ms)
        if self.broken_ms is None:
            self.broken_ms = now_ms


class Gangs:
    """The gangs of all workers; workers of one estate share one object."""

    def __init__(self) -> None:
        self._gangs: dict[Hashable, Progress] = {}

    def gang(
        self, key: Hashable, total_ms: float, work_ms: float, size: int
    ) -> Progress:
        """Return the progress of a gang, begun where it is the first member."""
        return self._gangs.setdefault(key, Progress(total_ms, work_ms, size))
