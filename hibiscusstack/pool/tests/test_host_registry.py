"""Hosts and terms as the log lists them."""

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


def listing_of(offset, host, port):
    value = encode_host(HostRecord(host, "10.0.0.1", port))
    return KeyedRecord(offset, host_key(host), value)


TERM = KeyedRecord(7, TERM_KEY, encode_term(B))
BOTH = [listing_of(4, A, 1), listing_of(5, B, 2)]


def test_terms_are_returned_and_hosts_kept():
    listing = HostRegistry(A)
    assert listing.apply_records([*BOTH, TERM], True) == [Term(7, B)]
    assert listing.host_ids() == {("x", "a"), ("y", "b")}
    assert listing.registration_offsets() == {A: 4, B: 5}
    assert listing.peer_addresses() == [PeerAddress("10.0.0.1", 2)]


def test_an_earlier_run_of_this_host_counts_as_a_peer():
    listing = HostRegistry(HostName("x", "a", 2))
    listing.apply_records(BOTH, True)
    assert len(listing.peer_addresses()) == 2


def test_later_records_replace_drop_and_clear():
    listing = HostRegistry(A)
    listing.apply_records(BOTH, True)
    listing.apply_records([listing_of(6, B, 9)], False)
    assert listing.peer_addresses() == [PeerAddress("10.0.0.1", 9)]
    assert listing.registration_offsets() == {A: 4, B: 6}
    listing.apply_records([KeyedRecord(8, host_key(B), None)], False)
    assert listing.host_ids() == {("x", "a")}
    listing.apply_records([], True)
    assert listing.host_ids() == set()


def test_a_broken_record_hides_no_other():
    listing = HostRegistry(A)
    broken = [KeyedRecord(2, TERM_KEY, b"["), KeyedRecord(3, host_key(A), b"{}")]
    assert listing.apply_records([*broken, *BOTH, TERM], True) == [Term(7, B)]
    assert listing.host_ids() == {("x", "a"), ("y", "b")}
