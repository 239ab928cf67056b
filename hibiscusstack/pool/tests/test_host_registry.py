"""Tests of the registry of hosts and the terms from the log."""

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host import PeerAddress
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_records import (
    TERM_KEY,
    HostRecord,
    encode_host,
    encode_term,
    host_key,
)
from hibiscusstack.pool.host_registry import HostRegistry
from hibiscusstack.pool.interfaces import KeyedRecord

A, B = HostName("x", "a", 1), HostName("y", "b", 1)


def registration(offset, host, port):
    value = encode_host(HostRecord(host, "10.0.0.1", port))
    return KeyedRecord(offset, host_key(host), value)


TERM = KeyedRecord(7, TERM_KEY, encode_term(B))
REGISTRATIONS = [registration(4, A, 1), registration(5, B, 2)]


def test_terms_are_returned_and_registrations_stored():
    registry = HostRegistry(A)
    assert registry.apply_records([*REGISTRATIONS, TERM], True) == [Term(7, B)]
    assert registry.host_ids() == {("x", "a"), ("y", "b")}
    assert registry.registration_offsets() == {A: 4, B: 5}
    assert registry.peer_addresses() == [PeerAddress("10.0.0.1", 2)]


def test_earlier_run_of_this_host_is_a_peer():
    registry = HostRegistry(HostName("x", "a", 2))
    registry.apply_records(REGISTRATIONS, True)
    assert len(registry.peer_addresses()) == 2


def test_later_records_replace_and_remove_registrations():
    registry = HostRegistry(A)
    registry.apply_records(REGISTRATIONS, True)
    registry.apply_records([registration(6, B, 9)], False)
    assert registry.peer_addresses() == [PeerAddress("10.0.0.1", 9)]
    assert registry.registration_offsets() == {A: 4, B: 6}
    registry.apply_records([KeyedRecord(8, host_key(B), None)], False)
    assert registry.host_ids() == {("x", "a")}
    registry.apply_records([], True)
    assert registry.host_ids() == set()


def test_malformed_records_are_skipped():
    registry = HostRegistry(A)
    malformed = [KeyedRecord(2, TERM_KEY, b"["), KeyedRecord(3, host_key(A), b"{}")]
    assert registry.apply_records([*malformed, *REGISTRATIONS, TERM], True) == [
        Term(7, B)
    ]
    assert registry.host_ids() == {("x", "a"), ("y", "b")}
