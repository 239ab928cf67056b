"""Tracks whether a host can read the log, and for long enough to claim a term."""

__all__ = ["LogAvailability"]

UNAVAILABLE_AFTER_MS = 1_300
STABILIZATION_MS = 700


class LogAvailability:
    """The time of the last read of the log, and of the end of the last outage."""

    def __init__(self) -> None:
        self._last_read_ms: float | None = None
        self._recovered_ms: float | None = None

    def note_read(self, now_ms: float) -> None:
        """Record a successful read of the log."""
        if (
            self._last_read_ms is not None
            and now_ms - self._last_read_ms > UNAVAILABLE_AFTER_MS
        ):
            self._recovered_ms = now_ms
        self._last_read_ms = now_ms

    def is_unavailable(self, now_ms: float) -> bool:
        """Return whether the log has not been read recently, or not at all."""
        return (
            self._last_read_ms is None
            or now_ms - self._last_read_ms > UNAVAILABLE_AFTER_MS
        )

    def is_stable(self, now_ms: float) -> bool:
        """Return whether the log is available and any outage ended long enough ago.

        After an outage, this host waits ``STABILIZATION_MS`` for heartbeats of its
        peers. Otherwise it would claim a term as soon as it can read the log.
        """
        if self.is_unavailable(now_ms):
            return False
        return (
            self._recovered_ms is None
            or now_ms - self._recovered_ms >= STABILIZATION_MS
        )
