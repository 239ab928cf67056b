"""What is known of peers from their heartbeats."""

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.heard_peers import HeardPeers
from hibiscusstack.pool.messages import PoolHeartbeat

A, B, C = (HostName("x", "a", 1), HostName("x", "b", 1), HostName("y", "c", 1))
TERM = Term(4, A)


def beat(hears=True, term=4, **states):
    return PoolHeartbeat(term, A, hears, states.pop("is_draining", False), **states)


def heard(**beats):
    peers = HeardPeers()
    for peer in (A, B, C):
        if peer.name in beats:
            peers.take(peer, beats[peer.name])
    return peers


def test_a_deputy_is_news_once():
    peers = HeardPeers()
    assert not peers.take(B, beat())
    assert peers.take(B, beat(is_deputy=True)) and peers.deputies() == [B]
    assert not peers.take(B, beat(is_deputy=True))
    assert peers.take(B, beat()) and peers.deputies() == []


def test_only_peers_that_stay_and_know_the_term_speak_for_the_holder():
    peers = heard(a=beat(is_draining=True), b=beat(term=3), c=beat())
    assert peers.hearing_holder(4) == {B: False, C: True}
    assert peers.is_draining(A) and not peers.is_draining(B)


def test_a_holder_hands_over_when_it_drains_or_has_resigned():
    assert not HeardPeers().hands_over(TERM)
    assert not heard(a=beat()).hands_over(TERM)
    assert not heard(a=beat(False, term=3)).hands_over(TERM)
    assert heard(a=beat(False)).hands_over(TERM)
    assert heard(a=beat(is_draining=True)).hands_over(TERM)


def test_deputies_and_the_deaf_have_not_returned():
    peers = heard(a=beat(False), b=beat(is_deputy=True), c=beat())
    assert peers.returned_data_centres() == {"y"}


def test_a_peer_is_away_until_it_is_back_or_lost():
    peers = heard(a=beat(), b=beat())
    peers.disconnected(A, 100)
    peers.disconnected(B, 150)
    peers.disconnected(A, 200)
    assert peers.names() == set() and peers.away() == [A, B]
    assert peers.away_for(50, 151) == [A]
    peers.connected(A)
    peers.lost(B)
    assert peers.away() == []
