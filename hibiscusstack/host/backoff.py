"""Exponential backoff with jitter."""

__all__ = ["Backoff"]

import random


class Backoff:
    """Exponential backoff: the upper bound doubles from ``base_ms`` to ``max_ms``.

    Each delay is drawn uniformly between half of the bound and the bound. The jitter
    prevents hosts that lost a peer at the same time from all dialling it at once.

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
        """Return the delay before the next attempt, and double the bound."""
        delay_ms = self._delay_ms
        self._delay_ms = min(2 * delay_ms, self._max_ms)
        return self._rng.randint(delay_ms // 2, delay_ms)

    def reset(self) -> None:
        """Return to the initial delay, after a success."""
        self._delay_ms = self._base_ms
