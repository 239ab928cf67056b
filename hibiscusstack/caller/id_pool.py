"""Ids that a client holds ahead of its submissions."""

__all__ = ["HeldId", "IdPool"]

from collections import deque
from collections.abc import Callable, Iterable

import attrs

from hibiscusstack.clock import Clock

EXPIRY_MARGIN_MS = 5_000


@attrs.frozen
class HeldId:
    """A fresh id and the entry host that issued it, by its address."""

    job_id: str
    source: str
    expires_ms: int


@attrs.define
class IdPool:
    """Fresh ids, each given out once and never shortly before its expiry.

    ``max_ids`` bounds what is held; ids beyond it are dropped, which costs nothing.

    >>> from hibiscusstack.clock import ManualClock
    >>> pool = IdPool(ManualClock(), max_ids=10)
    >>> pool.add(["a", "b"], "http://h1", valid_ms=60_000, requested_ms=0)
    >>> pool.add(["c"], "http://h2", valid_ms=60_000, requested_ms=0)
    >>> pool.take(lambda source: source == "http://h1").job_id
    'c'
    >>> pool.take().job_id, pool.take().job_id, pool.take()
    ('a', 'b', None)
    """

    clock: Clock
    max_ids: int
    _ids: deque[HeldId] = attrs.field(factory=deque)

    def __len__(self) -> int:
        return len(self._ids)

    def add(
        self, ids: Iterable[str], source: str, valid_ms: int, requested_ms: int
    ) -> None:
        """Add ids that are valid for ``valid_ms`` from the request for them."""
        expires_ms = requested_ms + valid_ms - EXPIRY_MARGIN_MS
        room = self.max_ids - len(self._ids)
        for job_id, _ in zip(ids, range(room), strict=False):
            self._ids.append(HeldId(job_id, source, expires_ms))

    def take(self, is_avoided: Callable[[str], bool] | None = None) -> HeldId | None:
        """Return the oldest id whose source isn't avoided, if there is one."""
        self._drop_expired()
        for position, held in enumerate(self._ids):
            if is_avoided is None or not is_avoided(held.source):
                del self._ids[position]
                return held
        return None

    def discard_from(self, source: str) -> None:
        """Forget the ids of one source, as their owner may be gone or draining."""
        kept = [held for held in self._ids if held.source != source]
        self._ids = deque(kept)

    def _drop_expired(self) -> None:
        now_ms = self.clock.now_ms()
        while self._ids and self._ids[0].expires_ms <= now_ms:
            self._ids.popleft()
