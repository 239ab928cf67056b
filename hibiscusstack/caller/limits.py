"""Limits that keep callers from costing more than their share."""

__all__ = ["ApiLimits", "ByteBudget"]

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
