"""Tests of the selection of addresses to dial and of the backoff."""

import random

from hibiscusstack.host.backoff import Backoff
from hibiscusstack.host.dialing import MAX_BACKOFF_MS, AddressBook, PeerAddress

SEED = PeerAddress("127.0.0.1", 7400)
LISTED = PeerAddress("127.0.0.1", 7401)


def attempt_times(book, duration_ms, connected=frozenset()):
    """Return the times of all attempts, each of which fails immediately."""
    times = []
    for now_ms in range(0, duration_ms, 10):
        for address in book.take_due_addresses((), set(connected), now_ms):
            times.append(now_ms)
            book.schedule_redial(address, now_ms)
    return times


def test_delays_grow_to_the_limit_with_jitter():
    backoff = Backoff(random.Random(3), base_ms=100, max_ms=1_000)
    delays = [backoff.next_delay_ms() for _ in range(200)]
    assert max(delays) <= 1_000
    assert min(delays[5:]) >= 500
    assert len(set(delays)) > 100
    backoff.reset()
    assert backoff.next_delay_ms() <= 100


def test_an_address_that_fails_is_dialled_with_backoff():
    times = attempt_times(AddressBook([SEED], random.Random(1)), 60_000)
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert gaps[0] <= 110
    assert max(gaps) <= MAX_BACKOFF_MS + 10
    assert len(times) < 30


def test_a_success_resets_the_backoff():
    book = AddressBook([SEED], random.Random(1))
    attempt_times(book, 20_000)
    book.reset_backoff(SEED)
    book.schedule_redial(SEED, 20_000)
    assert book.take_due_addresses((), set(), 20_100) == [SEED]


def test_an_attempt_in_progress_is_not_repeated():
    book = AddressBook([SEED], random.Random(1))
    assert book.take_due_addresses((), set(), 0) == [SEED]
    assert book.take_due_addresses((), set(), 60_000) == []


def test_connected_and_own_addresses_are_not_dialled():
    book = AddressBook([SEED], random.Random(1))
    book.replace_listed([LISTED])
    assert book.take_due_addresses((), {SEED}, 0) == [LISTED]
    book.mark_own(SEED)
    assert book.take_due_addresses((SEED,), set(), 100) == []


def test_addresses_that_peers_announced_are_dialled():
    book = AddressBook([], random.Random(1))
    assert book.take_due_addresses((LISTED,), set(), 0) == [LISTED]


def test_attempts_that_ended_are_counted_for_each_address():
    book = AddressBook([SEED], random.Random(1))
    assert book.ended_attempts(SEED) == 0
    book.take_due_addresses([], set(), 0)
    assert book.ended_attempts(SEED) == 0
    book.schedule_redial(SEED, 10)
    assert book.ended_attempts(SEED) == 1
