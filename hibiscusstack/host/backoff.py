"""Delays between attempts that fail."""

__all__ = ["Backoff"]

import random


class Backoff:
    """Delays that double up to a limit, each drawn between half and the whole.

    The jitter keeps hosts that lost a peer together from dialling it together.

    >>> backoff = Backoff(random.Random(1), first_ms=100, limit_ms=1_000)
    >>> 50 <= backoff.next_ms() <= 100 <= backoff.next_ms() <= 200
    True
    """

    def __init__(self, rng: random.Random, first_ms: int, limit_ms: int) -> None:
        self._rng = rng
        self._first_ms = first_ms
        self._limit_ms = limit_ms
        self._whole_ms = first_ms

    def next_ms(self) -> int:
        """Return the delay before the next attempt."""
        whole_ms = self._whole_ms
        self._whole_ms = min(2 * whole_ms, self._limit_ms)
        return self._rng.randint(whole_ms // 2, whole_ms)

    def reset(self) -> None:
        """Start again at the shortest delay, after a success."""
        self._whole_ms = self._first_ms
