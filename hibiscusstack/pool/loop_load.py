"""Whether a process has more to do than its processor allows."""

__all__ = ["LoopLoad"]

import attrs

LATE_MS = 40.0
_LONGEST_COUNTED_MS = 160.0
_WEIGHT = 0.25


@attrs.define
class LoopLoad:
    """Tells from how late the ticks of an event loop come whether it is overloaded.

    A tick is due every ``interval_ms``. The lateness is smoothed, so that one long
    pause does not count as load.

    >>> load = LoopLoad(10)
    >>> load.note_tick(500)
    >>> load.is_overloaded
    False
    """

    interval_ms: float
    _late_ms: float = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Tell whether ticks have been coming too late."""
        return self._late_ms > LATE_MS

    def note_tick(self, passed_ms: float) -> None:
        """Take over the time that passed between two ticks."""
        late_ms = min(max(0.0, passed_ms - self.interval_ms), _LONGEST_COUNTED_MS)
        self._late_ms += _WEIGHT * (late_ms - self._late_ms)
