"""Limits that keep callers from costing more than their share."""

__all__ = ["ApiLimits", "ByteBudget", "WaitingRoom"]

from collections import Counter

import attrs

MEBIBYTE = 1024 * 1024


@attrs.frozen
class ApiLimits:
    """What the HTTP API accepts.

    ``receive_timeout_ms`` bounds the time from the first byte of a request to its
    last one. ``max_receiving_bytes`` bounds the bodies that are being received, all
    connections together.
    """

    max_body_bytes: int = MEBIBYTE
    max_header_bytes: int = 16_384
    max_headers: int = 100
    receive_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    linger_ms: int = 2_000
    max_connections: int = 4_096
    max_receiving_bytes: int = 64 * MEBIBYTE
    max_waiting: int = 4_096
    max_waiting_per_caller: int = 1_024
    max_ids_per_request: int = 1_000


@attrs.define
class ByteBudget:
    """A bounded number of bytes that several holders share.

    >>> budget = ByteBudget(limit_bytes=10)
    >>> budget.take(8), budget.take(8)
    (True, False)
    """

    limit_bytes: int
    taken_bytes: int = 0

    def take(self, count: int) -> bool:
        """Take ``count`` bytes, or none and return ``False`` if too few are left."""
        if self.taken_bytes + count > self.limit_bytes:
            return False
        self.taken_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Return bytes that were taken."""
        self.taken_bytes -= count


@attrs.define
class WaitingRoom:
    """Who waits, bounded in all and for each caller.

    >>> room = WaitingRoom(max_waiting=3, max_waiting_per_caller=2)
    >>> room.enter("a"), room.enter("a"), room.enter("a"), room.enter("b")
    (True, True, False, True)
    >>> room.leave("a")
    >>> len(room), room.enter("a"), room.enter("c")
    (2, True, False)
    """

    max_waiting: int
    max_waiting_per_caller: int
    _waiting: int = 0
    _by_caller: Counter[str] = attrs.field(factory=Counter)

    def __len__(self) -> int:
        return self._waiting

    def enter(self, caller: str) -> bool:
        """Let one more wait, or return ``False`` if there is no room."""
        if self._waiting >= self.max_waiting:
            return False
        if self._by_caller[caller] >= self.max_waiting_per_caller:
            return False
        self._waiting += 1
        self._by_caller[caller] += 1
        return True

    def leave(self, caller: str) -> None:
        """Let one of those who wait go."""
        self._waiting -= 1
        self._by_caller[caller] -= 1
        if not self._by_caller[caller]:
            del self._by_caller[caller]
