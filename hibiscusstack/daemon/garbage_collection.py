"""Schedules full garbage collections so that callers do not wait for them."""

__all__ = ["GarbageCollector"]

import gc

from hibiscusstack.clock import Clock

GENERATION_0_THRESHOLD = 10_000
GENERATION_1_THRESHOLD = 20
DISABLED_THRESHOLD = 1_000_000_000
IDLE_INTERVAL_MS = 30_000
MAX_INTERVAL_MS = 1_800_000


class GarbageCollector:
    """Runs full collections itself and leaves the younger generations to Python.

    A full collection visits every tracked object, kept answers and spans included, and
    blocks the reactor meanwhile. It runs while the host is idle, at most every 30 s,
    and on a busy host after half an hour.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_collection_ms = clock.now_ms()

    def start(self) -> None:
        """Disable automatic full collections and freeze all objects alive now.

        Frozen objects are never visited by a collection.
        """
        gc.collect()
        gc.freeze()
        gc.set_threshold(
            GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, DISABLED_THRESHOLD
        )
        self._last_collection_ms = self._clock.now_ms()

    def collect_when_due(self, is_idle: bool) -> int | None:
        """Run a full collection if one is due.

        Return how long it took in milliseconds, or ``None`` if none was due.
        """
        now_ms = self._clock.now_ms()
        interval_ms = IDLE_INTERVAL_MS if is_idle else MAX_INTERVAL_MS
        if now_ms - self._last_collection_ms < interval_ms:
            return None
        gc.collect()
        self._last_collection_ms = self._clock.now_ms()
        return self._last_collection_ms - now_ms
