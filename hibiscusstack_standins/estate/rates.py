"""Limits of calls per second."""

__all__ = ["RateLimit"]

import attrs


@attrs.define
class RateLimit:
    """A token bucket that holds the tokens of one second.

    >>> limit = RateLimit(2)
    >>> [limit.take(0), limit.take(0), limit.take(0), limit.take(500)]
    [True, True, False, True]
    """

    per_s: float
    _tokens: float = attrs.field(init=False)
    _filled_ms: int = 0

    @_tokens.default
    def _full(self) -> float:
        return self.per_s

    def take(self, now_ms: int, amount: float = 1) -> bool:
        """Return whether a call that counts ``amount`` is within the limit."""
        passed_ms = max(0, now_ms - self._filled_ms)
        self._filled_ms = max(now_ms, self._filled_ms)
        self._tokens = min(self.per_s, self._tokens + self.per_s * passed_ms / 1000)
        if self._tokens + 1e-9 < amount:
            return False
        self._tokens -= amount
        return True
