"""When a host begins to stand in."""

import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import deputy_token
from hibiscusstack.pool.election import Term
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


def beat(hears=False, **states):
    return PoolHeartbeat(4, FAR, hears, states.pop("is_draining", False), **states)


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


TERM = Term(4, FAR)
LACKS = beat(lacks_log=True)


def general(own=A, **beats):
    """Return whether a host becomes the general deputy, by what its peers say."""
    site, peers = standing_in(own)
    for peer in (A, B):
        if peer.name in beats:
            peers.take(peer, beats[peer.name])
    connected = [peer for peer in (A, B) if peer != own]
    site.is_general_due(True, TERM, connected, 0)
    return site.is_general_due(True, TERM, connected, DEPUTY_PATIENCE_MS)


def test_the_first_listed_is_the_general_deputy_of_more_than_half():
    assert general(A, b=LACKS) and not general(B, a=LACKS)


@pytest.mark.parametrize(
    "states",
    [
        {"lacks_log": False},
        {"hears": True},
        {"is_draining": True},
        {"is_deputy": True, "is_general": True, "token": 9, "general_token": 9},
        {"general_token": deputy_token(4, 0)},
    ],
)
def test_there_is_none_where_a_peer_reaches_the_log_or_speaks_for_another(states):
    assert not general(A, b=beat(**({"lacks_log": True} | states)))


def test_the_next_follows_one_that_was_heard_of():
    assert general(B, a=beat(lacks_log=True, general_token=deputy_token(4, 0)))


def test_a_general_deputy_waits_and_needs_a_term_and_peers_that_were_heard():
    site, peers = standing_in(A)
    assert not site.is_general_due(True, TERM, [B], 0)
    assert not site.is_general_due(True, TERM, [B], 1_000)
    peers.take(B, LACKS)
    assert not site.is_general_due(True, None, [B], 1_000)
    assert not site.is_general_due(True, TERM, [B], 1_100)
    assert not site.is_general_due(True, TERM, [B], 1_099 + DEPUTY_PATIENCE_MS)
    assert not site.is_general_due(False, TERM, [B], 1_150)
    assert not site.is_general_due(True, TERM, [B], 1_200)
    assert site.is_general_due(True, TERM, [B], 1_200 + DEPUTY_PATIENCE_MS)
