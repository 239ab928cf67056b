"""Which targets fail, hang or are slow, and how much work they get meanwhile."""

__all__ = ["TargetHealth"]

import attrs

BASE_BACKOFF_MS = 150
MAX_BACKOFF_MS = 1_200
FAILURE_THRESHOLD = 2


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
    backoff_ms: int = BASE_BACKOFF_MS
    is_on_trial: bool = False

    def note_success(self) -> None:
        """Take a target that finished a run as sound."""
        self.failures = 0
        self.backoff_ms = BASE_BACKOFF_MS
        self.is_on_trial = False

    def note_failure(self, now_ms: float) -> float:
        """Count a run that failed; return until when to send nothing."""
        self.failures += 1
        if self.failures < FAILURE_THRESHOLD:
            return now_ms
        return self._back_off(now_ms)

    def note_fault(self, now_ms: float) -> float:
        """Count a target that hangs or refuses; return until when to send nothing."""
        self.failures += FAILURE_THRESHOLD
        return self._back_off(now_ms)

    def _back_off(self, now_ms: float) -> float:
        self.is_on_trial = True
        self.backoff_ms = min(MAX_BACKOFF_MS, 2 * self.backoff_ms)
        return now_ms + self.backoff_ms
