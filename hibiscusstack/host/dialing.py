"""Peer addresses and the schedule for dialling them."""

__all__ = ["AddressBook", "PeerAddress"]

import random
from collections.abc import Iterable

import attrs

from hibiscusstack.host.backoff import Backoff

BASE_BACKOFF_MS = 100
MAX_BACKOFF_MS = 5_000


@attrs.frozen(order=True)
class PeerAddress:
    """Address at which a host accepts connections from its peers."""

    address: str
    port: int


@attrs.define
class _DialState:
    backoff: Backoff
    next_attempt_ms: int
    is_dialling: bool = False
    ended_attempts: int = 0


class AddressBook:
    """Addresses of peers, each with the time of its next connection attempt.

    Seed addresses are permanent. Each new list of live hosts of the platform replaces
    the listed addresses, so an address that is no longer listed is no longer dialled.
    """

    def __init__(
        self,
        seeds: Iterable[PeerAddress],
        rng: random.Random,
        max_backoff_ms: int = MAX_BACKOFF_MS,
    ) -> None:
        self._seeds = frozenset(seeds)
        self._listed: frozenset[PeerAddress] = frozenset()
        self._own_addresses: set[PeerAddress] = set()
        self._rng = rng
        self._max_backoff_ms = max_backoff_ms
        self._dial_states: dict[PeerAddress, _DialState] = {}

    def replace_listed(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the listed addresses by those of a newer list of live hosts."""
        self._listed = frozenset(addresses)

    def mark_own(self, address: PeerAddress) -> None:
        """Exclude this host's own address from dialling."""
        self._own_addresses.add(address)

    def take_due_addresses(
        self, announced: Iterable[PeerAddress], connected: set[PeerAddress], now_ms: int
    ) -> list[PeerAddress]:
        """Return the addresses to dial now, and mark them as being dialled.

        ``announced`` holds the addresses that peers announced for themselves.
        ``connected`` holds the addresses that already have a connection.
        """
        candidates = (self._seeds | self._listed | set(announced)) - self._own_addresses
        for removed in [
            known for known in self._dial_states if known not in candidates
        ]:
            del self._dial_states[removed]
        return [
            address
            for address in sorted(candidates - connected)
            if self._is_due(address, now_ms)
        ]

    def schedule_redial(self, address: PeerAddress, now_ms: int) -> None:
        """Schedule the next attempt after a dial failed or a connection ended."""
        dial_state = self._dial_states.get(address)
        if dial_state is not None:
            dial_state.is_dialling = False
            dial_state.ended_attempts += 1
            dial_state.next_attempt_ms = now_ms + dial_state.backoff.next_delay_ms()

    def ended_attempts(self, address: PeerAddress) -> int:
        """Return how many attempts to connect to an address have failed or ended.

        Attempts from before the address was last removed don't count.
        """
        dial_state = self._dial_states.get(address)
        return 0 if dial_state is None else dial_state.ended_attempts

    def reset_backoff(self, address: PeerAddress) -> None:
        """Reset the backoff of an address after a successful connection."""
        dial_state = self._dial_states.get(address)
        if dial_state is not None:
            dial_state.backoff.reset()

    def _is_due(self, address: PeerAddress, now_ms: int) -> bool:
        dial_state = self._dial_states.get(address)
        if dial_state is None:
            dial_state = self._new_dial_state(now_ms)
            self._dial_states[address] = dial_state
        if dial_state.is_dialling or now_ms < dial_state.next_attempt_ms:
            return False
        dial_state.is_dialling = True
        return True

    def _new_dial_state(self, now_ms: int) -> _DialState:
        backoff = Backoff(self._rng, BASE_BACKOFF_MS, self._max_backoff_ms)
        return _DialState(backoff, now_ms)
