"""When a host begins to stand in."""

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.heard_peers import HeardPeers
from hibiscusstack.pool.host_listing import HostListing
from hibiscusstack.pool.host_records import HostRecord, encode_host, host_key
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.messages import PoolHeartbeat
from hibiscusstack.pool.standing_in import DEPUTY_PATIENCE_MS, StandingIn

A, B, FAR = HostName("x", "a", 1), HostName("x", "b", 1), HostName("y", "c", 1)


def standing_in(own):
    listing, peers = HostListing(own), HeardPeers()
    records = [
        KeyedRecord(n, host_key(host), encode_host(HostRecord(host, "", n)))
        for n, host in enumerate((A, B, FAR))
    ]
    listing.take(records, True)
    return StandingIn(own, listing, peers), peers


def beat(**states):
    return PoolHeartbeat(4, FAR, False, states.pop("is_draining", False), **states)


def test_the_chosen_host_waits_a_little():
    first, _ = standing_in(A)
    second, _ = standing_in(B)
    assert not first.is_due(True, [B], 0)
    assert not first.is_due(True, [B], DEPUTY_PATIENCE_MS - 1)
    assert first.is_due(True, [B], DEPUTY_PATIENCE_MS)
    assert not second.is_due(True, [A], 0) and not second.is_due(True, [A], 1_000)


def test_the_wait_begins_anew_after_any_hindrance():
    first, peers = standing_in(A)
    first.is_due(True, [B], 0)
    assert not first.is_due(False, [B], 200)
    assert not first.is_due(True, [B], 210)
    assert not first.is_due(True, [B, FAR], 400)
    assert not first.is_due(True, [B], 410)
    peers.take(B, beat(is_deputy=True))
    assert not first.is_due(True, [B], 600)


def test_a_host_that_drains_is_no_deputy():
    second, peers = standing_in(B)
    peers.take(A, beat(is_draining=True))
    assert not second.is_due(True, [A], 0)
    # Without it the rest is no more than half of the data centre.
    assert not second.is_due(True, [A], 1_000)
