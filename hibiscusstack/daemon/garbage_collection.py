"""When this process looks for cyclic garbage, so that no caller waits for it."""

__all__ = ["GarbageCollector"]

import gc

from hibiscusstack.clock import Clock

GENERATION_0_THRESHOLD = 10_000
GENERATION_1_THRESHOLD = 20
DISABLED_THRESHOLD = 1_000_000_000
IDLE_INTERVAL_MS = 30_000
MAX_INTERVAL_MS = 1_800_000


class GarbageCollector:
    """Leaves young objects to Python and does the full collections itself.

    A full collection visits every object that is kept, answers and spans among them,
    and stops the loop meanwhile. It is done when the host is idle, and at the latest
    after half an hour.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_collection_ms = clock.now_ms()

    def start(self) -> None:
        """Take over; what exists by now is kept for good and never visited."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(
            GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, DISABLED_THRESHOLD
        )
        self._last_collection_ms = self._clock.now_ms()

    def collect_when_due(self, is_idle: bool) -> int | None:
        """Return how long a full collection took in ms, or ``None`` for none."""
        now_ms = self._clock.now_ms()
        interval_ms = IDLE_INTERVAL_MS if is_idle else MAX_INTERVAL_MS
        if now_ms - self._last_collection_ms < interval_ms:
            return None
        gc.collect()
        self._last_collection_ms = self._clock.now_ms()
        return self._last_collection_ms - now_ms
