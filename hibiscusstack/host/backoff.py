"""Delays between attempts that fail."""

__all__ = ["Backoff"]

import random


class Backoff:
    """Delays that double up to a limit, each drawn between half and the whole.

    The jitter keeps hosts that lost a peer together from dialling it together.

    >>> backoff = Backoff(random.Random(1), base_ms=100, max_ms=1_000)
    >>> 50 <= backoff.next_delay_ms() <= 100 <= backoff.next_delay_ms() <= 200
    True
    """

    def __init__(self, rng: random.Random, base_ms: int, max_ms: int) -> None:
        self._rng = rng
        self._base_ms = base_ms
        self._max_ms = max_ms
        self._delay_ms = base_ms

    def next_delay_ms(self) -> int:
        """Return the delay before the next attempt."""
        delay_ms = self._delay_ms
        self._delay_ms = min(2 * delay_ms, self._max_ms)
        return self._rng.randint(delay_ms // 2, delay_ms)

    def reset(self) -> None:
        """Start again at the shortest delay, after a success."""
        self._delay_ms = self._base_ms
