"""Which addresses a host dials, and when."""

__all__ = ["AddressBook", "PeerAddress"]

import random
from collections.abc import Iterable

import attrs

from hibiscusstack.host.backoff import Backoff

FIRST_DELAY_MS = 100
LONGEST_DELAY_MS = 5_000


@attrs.frozen(order=True)
class PeerAddress:
    """Where a dispatcher host accepts connections of its peers."""

    address: str
    port: int


@attrs.define
class _Attempt:
    backoff: Backoff
    due_ms: int
    is_dialling: bool = False


class AddressBook:
    """The addresses of peers, each with the time of its next attempt.

    Seeds stay for good. Listed addresses are replaced by each new list, so an
    address that leaves the list is no longer dialled.
    """

    def __init__(
        self,
        seeds: Iterable[PeerAddress],
        rng: random.Random,
        longest_delay_ms: int = LONGEST_DELAY_MS,
    ) -> None:
        self._seeds = frozenset(seeds)
        self._listed: frozenset[PeerAddress] = frozenset()
        self._own: set[PeerAddress] = set()
        self._rng = rng
        self._longest_delay_ms = longest_delay_ms
        self._attempts: dict[PeerAddress, _Attempt] = {}

    def replace_listed(self, addresses: Iterable[PeerAddress]) -> None:
        """Take over the addresses of a newer live list."""
        self._listed = frozenset(addresses)

    def mark_own(self, address: PeerAddress) -> None:
        """Never dial this address, as it is this host's own."""
        self._own.add(address)

    def take_due(
        self, met: Iterable[PeerAddress], connected: set[PeerAddress], now_ms: int
    ) -> list[PeerAddress]:
        """Return the addresses to dial now, and count them as being dialled.

        ``met`` are the addresses that peers gave of themselves, ``connected`` those
        that a connection already leads to.
        """
        wanted = (self._seeds | self._listed | set(met)) - self._own
        for gone in [known for known in self._attempts if known not in wanted]:
            del self._attempts[gone]
        return [
            address
            for address in sorted(wanted - connected)
            if self._is_due(address, now_ms)
        ]

    def note_closed(self, address: PeerAddress, now_ms: int) -> None:
        """Plan the next attempt, after one that failed or ended."""
        attempt = self._attempts.get(address)
        if attempt is not None:
            attempt.is_dialling = False
            attempt.due_ms = now_ms + attempt.backoff.next_ms()

    def note_connected(self, address: PeerAddress) -> None:
        """Start again at the shortest delay after the next loss."""
        attempt = self._attempts.get(address)
        if attempt is not None:
            attempt.backoff.reset()

    def _is_due(self, address: PeerAddress, now_ms: int) -> bool:
        attempt = self._attempts.get(address)
        if attempt is None:
            attempt = self._new_attempt(now_ms)
            self._attempts[address] = attempt
        if attempt.is_dialling or now_ms < attempt.due_ms:
            return False
        attempt.is_dialling = True
        return True

    def _new_attempt(self, now_ms: int) -> _Attempt:
        backoff = Backoff(self._rng, FIRST_DELAY_MS, self._longest_delay_ms)
        return _Attempt(backoff, now_ms)
