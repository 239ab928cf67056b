"""Whether a host is in touch with the log, for long enough to claim a term."""

__all__ = ["LogAvailability"]

UNAVAILABLE_AFTER_MS = 1_300
STABILIZATION_MS = 700


class LogAvailability:
    """When the log was read, and since when it has been read without a gap."""

    def __init__(self) -> None:
        self._last_read_ms: float | None = None
        self._recovered_ms: float | None = None

    def note_read(self, now_ms: float) -> None:
        """Note that the log was read."""
        if (
            self._last_read_ms is not None
            and now_ms - self._last_read_ms > UNAVAILABLE_AFTER_MS
        ):
            self._recovered_ms = now_ms
        self._last_read_ms = now_ms

    def is_unavailable(self, now_ms: float) -> bool:
        """Tell whether the log could not be read lately, or not at all yet."""
        return (
            self._last_read_ms is None
            or now_ms - self._last_read_ms > UNAVAILABLE_AFTER_MS
        )

    def is_stable(self, now_ms: float) -> bool:
        """Tell whether the log is read.

        For a host that was out of touch, it says so only once peers had time to be
        heard again. Otherwise such a host would claim a term as soon as it is back.
        """
        if self.is_unavailable(now_ms):
            return False
        return (
            self._recovered_ms is None
            or now_ms - self._recovered_ms >= STABILIZATION_MS
        )
