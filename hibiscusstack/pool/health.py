"""Which targets fail, hang or are slow, and how much work they get meanwhile."""

__all__ = ["TargetHealth"]

import attrs

FIRST_PAUSE_MS = 150
LONGEST_PAUSE_MS = 1_200
FAILURES_IN_A_ROW = 2


@attrs.define
class TargetHealth:
    """The recent record of one target.

    A target whose last runs failed is on trial: it gets one run at a time, and after
    each failure a pause that doubles.

    >>> health = TargetHealth()
    >>> health.note_failure(0), health.note_failure(0), health.is_on_trial
    (0, 300, True)
    """

    failures: int = 0
    pause_ms: int = FIRST_PAUSE_MS
    is_on_trial: bool = False

    def note_success(self) -> None:
        """Take a target that finished a run as sound."""
        self.failures = 0
        self.pause_ms = FIRST_PAUSE_MS
        self.is_on_trial = False

    def note_failure(self, now_ms: float) -> float:
        """Count a run that failed; return until when to send nothing."""
        self.failures += 1
        if self.failures < FAILURES_IN_A_ROW:
            return now_ms
        return self._pause(now_ms)

    def note_fault(self, now_ms: float) -> float:
        """Count a target that hangs or refuses; return until when to send nothing."""
        self.failures += FAILURES_IN_A_ROW
        return self._pause(now_ms)

    def _pause(self, now_ms: float) -> float:
        self.is_on_trial = True
        self.pause_ms = min(LONGEST_PAUSE_MS, 2 * self.pause_ms)
        return now_ms + self.pause_ms
