"""Ids that a client holds ahead of its submissions."""

__all__ = ["IdPool"]

from collections import deque
from collections.abc import Iterable

import attrs

from hibiscusstack.clock import Clock

EXPIRY_MARGIN_MS = 5_000


@attrs.define
class IdPool:
    """Fresh ids, each given out once and never shortly before its expiry.

    ``max_ids`` bounds what is held; ids beyond it are dropped, which costs nothing.

    >>> from hibiscusstack.clock import ManualClock
    >>> pool = IdPool(ManualClock(), max_ids=10)
    >>> pool.add(["a", "b"], valid_ms=60_000, requested_ms=0)
    >>> pool.take(), pool.take(), pool.take()
    ('a', 'b', None)
    """

    clock: Clock
    max_ids: int
    _ids: deque[tuple[str, int]] = attrs.field(factory=deque)

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, ids: Iterable[str], valid_ms: int, requested_ms: int) -> None:
        """Add ids that are valid for ``valid_ms`` from the request for them."""
        expires_ms = requested_ms + valid_ms - EXPIRY_MARGIN_MS
        room = self.max_ids - len(self._ids)
        for job_id, _ in zip(ids, range(room), strict=False):
            self._ids.append((job_id, expires_ms))

    def take(self) -> str | None:
        """Return an id that nobody else gets, or ``None`` if there is none."""
        now_ms = self.clock.now_ms()
        while self._ids:
            job_id, expires_ms = self._ids.popleft()
            if expires_ms > now_ms:
                return job_id
        return None

    def discard_all(self) -> None:
        """Forget all ids, as their owner may be gone or draining."""
        self._ids.clear()
