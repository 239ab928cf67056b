"""Hosts and terms as the log lists them."""

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host import PeerAddress
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_listing import HostListing
from hibiscusstack.pool.host_records import (
    TERM_KEY,
    HostRecord,
    encode_host,
    encode_term,
    host_key,
)
from hibiscusstack.pool.interfaces import KeyedRecord

A, B = HostName("x", "a", 1), HostName("y", "b", 1)


def listing_of(offset, host, port):
    value = encode_host(HostRecord(host, "10.0.0.1", port))
    return KeyedRecord(offset, host_key(host), value)


TERM = KeyedRecord(7, TERM_KEY, encode_term(B))
BOTH = [listing_of(4, A, 1), listing_of(5, B, 2)]


def test_terms_are_returned_and_hosts_kept():
    listing = HostListing(A)
    assert listing.take([*BOTH, TERM], True) == [Term(7, B)]
    assert listing.names() == {("x", "a"), ("y", "b")}
    assert listing.offsets() == {A: 4, B: 5}
    assert listing.peer_addresses() == [PeerAddress("10.0.0.1", 2)]


def test_an_earlier_run_of_this_host_counts_as_a_peer():
    listing = HostListing(HostName("x", "a", 2))
    listing.take(BOTH, True)
    assert len(listing.peer_addresses()) == 2


def test_later_records_replace_drop_and_clear():
    listing = HostListing(A)
    listing.take(BOTH, True)
    listing.take([listing_of(6, B, 9)], False)
    assert listing.peer_addresses() == [PeerAddress("10.0.0.1", 9)]
    assert listing.offsets() == {A: 4, B: 6}
    listing.take([KeyedRecord(8, host_key(B), None)], False)
    assert listing.names() == {("x", "a")}
    listing.take([], True)
    assert listing.names() == set()


def test_a_broken_record_hides_no_other():
    listing = HostListing(A)
    broken = [KeyedRecord(2, TERM_KEY, b"["), KeyedRecord(3, host_key(A), b"{}")]
    assert listing.take([*broken, *BOTH, TERM], True) == [Term(7, B)]
    assert listing.names() == {("x", "a"), ("y", "b")}
