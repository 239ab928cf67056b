"""What the clients of a process may hold of its memory and of its descriptors."""

__all__ = ["ClientBudget", "Holder", "OnShed"]

from collections.abc import Callable
from typing import Protocol

# What an accepted connection takes without any bytes of a request.
CONNECTION_BYTES = 12_000
# Parsing copies what was received.
BYTES_PER_BYTE = 2

OnShed = Callable[[str, int, int], None]
"""Called with the cause, the connections that are left and the bytes that they hold."""


class Holder(Protocol):
    """A connection of a client, which may be ended to make room for others."""

    def shed(self, cause: str) -> None:
        """Refuse the request that isn't complete yet, if there is one, and close."""


class ClientBudget:
    """Bounds the connections of clients and the bytes of their incomplete requests.

    All servers of a process share it. A connection whose request is at the handler is
    never ended. Over the bound of connections, the one of the others that has sent
    nothing for longest is ended. Over the bound of bytes, it is one of those that hold
    most, and of these again the slowest. So a client that sends a small request at once
    is served beside a crowd. ``on_shed`` is called for each that is ended.
    """

    def __init__(
        self,
        max_bytes: int,
        max_connections: int,
        on_shed: OnShed = lambda *_: None,
    ) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._max_connections = max_connections
        self._on_shed = on_shed
        self._held: dict[Holder, int] = {}
        # The holders that may be ended, by their last progress, and also by the
        # logarithm of what they hold.
        self._by_progress: dict[Holder, int] = {}
        self._by_size: dict[int, dict[Holder, None]] = {}

    def __len__(self) -> int:
        return len(self._held)

    def opened(self, holder: Holder) -> None:
        """Count a new connection."""
        self._held[holder] = CONNECTION_BYTES
        self.held_bytes += CONNECTION_BYTES
        self._note_progress(holder)
        if len(self._held) > self._max_connections:
            self._shed(next(iter(self._by_progress), None), "connections")
        self._shed_largest()

    def closed(self, holder: Holder) -> None:
        """Forget a connection."""
        self.held_bytes -= self._held.pop(holder, 0)
        self._forget_progress(holder)

    def received(self, holder: Holder, request_bytes: int) -> None:
        """Note how many bytes of incomplete requests a connection holds now."""
        known = self._held.get(holder)
        if known is None:
            return
        held = CONNECTION_BYTES + BYTES_PER_BYTE * request_bytes
        self.held_bytes += held - known
        self._held[holder] = held
        self._note_progress(holder)
        self._shed_largest()

    def handling(self, holder: Holder) -> None:
        """Keep a connection whose request is whole until it has been answered."""
        self._forget_progress(holder)

    def answered(self, holder: Holder) -> None:
        """Count a connection that awaits its next request as before."""
        if holder in self._held:
            self.received(holder, 0)

    def _note_progress(self, holder: Holder) -> None:
        self._forget_progress(holder)
        size = (self._held[holder] // CONNECTION_BYTES).bit_length()
        self._by_progress[holder] = size
        self._by_size.setdefault(size, {})[holder] = None

    def _forget_progress(self, holder: Holder) -> None:
        size = self._by_progress.pop(holder, None)
        if size is not None:
            holders = self._by_size[size]
            del holders[holder]
            if not holders:
                del self._by_size[size]

    def _shed_largest(self) -> None:
        while self.held_bytes > self._max_bytes and self._by_size:
            self._shed(next(iter(self._by_size[max(self._by_size)])), "memory")

    def _shed(self, victim: Holder | None, cause: str) -> None:
        if victim is None:
            return
        self.closed(victim)
        victim.shed(cause)
        self._on_shed(cause, len(self._held), self.held_bytes)
