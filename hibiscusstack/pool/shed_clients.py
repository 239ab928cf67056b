"""Counts and logs the connections that are ended since clients hold too much."""

__all__ = ["ShedClients"]

from collections import Counter

from eliot import log_message

from hibiscusstack.clock import Clock

LOG_INTERVAL_MS = 1_000


class ShedClients:
    """Counts every connection by cause, and logs at most one line a second.

    >>> from hibiscusstack.clock import ManualClock
    >>> counts = Counter()
    >>> shed = ShedClients(ManualClock(0), counts)
    >>> for _ in range(3):
    ...     shed.note("memory", 7, 90_000)
    >>> counts
    Counter({'memory': 3})
    """

    def __init__(self, clock: Clock, counts: Counter[str]) -> None:
        self._clock = clock
        self._counts = counts
        self._next_log_ms = clock.now_ms()

    def note(self, cause: str, connections: int, held_bytes: int) -> None:
        """Note one connection; the others hold ``held_bytes``."""
        self._counts[cause] += 1
        now_ms = self._clock.now_ms()
        if now_ms < self._next_log_ms:
            return
        self._next_log_ms = now_ms + LOG_INTERVAL_MS
        log_message(
            "pool:clients_shed",
            level="warning",
            cause=cause,
            connections=connections,
            held_kb=held_bytes // 1_000,
            total=self._counts.total(),
        )
