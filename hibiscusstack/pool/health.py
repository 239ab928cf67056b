"""Backoff for targets whose runs fail or are overdue, or that refuse starts."""

__all__ = ["TargetHealth"]

import attrs

BASE_BACKOFF_MS = 150
MAX_BACKOFF_MS = 1_200
FAILURE_THRESHOLD = 2


@attrs.define
class TargetHealth:
    """Recent failures of one target.

    After ``FAILURE_THRESHOLD`` failures in a row a target is on trial. It then gets one
    run at a time, and no runs during a backoff that doubles with each failure. The
    first backoff is twice ``BASE_BACKOFF_MS``. One successful run ends the trial.

    >>> health = TargetHealth()
    >>> health.note_failure(0), health.note_failure(0), health.is_on_trial
    (0, 300, True)
    """

    failures: int = 0
    backoff_ms: int = BASE_BACKOFF_MS
    is_on_trial: bool = False

    def note_success(self) -> None:
        """Reset the failures and end the trial."""
        self.failures = 0
        self.backoff_ms = BASE_BACKOFF_MS
        self.is_on_trial = False

    def note_failure(self, now_ms: float) -> float:
        """Count a failed run; return the time until which to start nothing."""
        self.failures += 1
        if self.failures < FAILURE_THRESHOLD:
            return now_ms
        return self._back_off(now_ms)

    def note_fault(self, now_ms: float) -> float:
        """Count an overdue run or a refusal; return until when to start nothing.

        One such fault is enough to put the target on trial.
        """
        self.failures += FAILURE_THRESHOLD
        return self._back_off(now_ms)

    def _back_off(self, now_ms: float) -> float:
        self.is_on_trial = True
        self.backoff_ms = min(MAX_BACKOFF_MS, 2 * self.backoff_ms)
        return now_ms + self.backoff_ms
