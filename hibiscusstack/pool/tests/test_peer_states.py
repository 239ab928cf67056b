"""What is known of peers from their heartbeats."""

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.messages import PoolHeartbeat
from hibiscusstack.pool.peer_states import PeerStates

A, B, C = (HostName("x", "a", 1), HostName("x", "b", 1), HostName("y", "c", 1))
TERM = Term(4, A)


def beat(hears=True, term=4, **states):
    return PoolHeartbeat(term, A, hears, states.pop("is_draining", False), **states)


def heard(**beats):
    peers = PeerStates()
    for peer in (A, B, C):
        if peer.name in beats:
            peers.record_heartbeat(peer, beats[peer.name])
    return peers


def test_a_deputy_is_news_once():
    peers = PeerStates()
    assert peers.record_heartbeat(B, beat()) and not peers.record_heartbeat(B, beat())
    assert peers.record_heartbeat(B, beat(is_deputy=True)) and peers.deputies() == [B]
    assert peers.is_deputy(B) and not peers.is_deputy(A)
    assert not peers.record_heartbeat(B, beat(is_deputy=True))
    assert peers.record_heartbeat(B, beat()) and peers.deputies() == []


def test_a_host_that_begins_or_ceases_to_order_is_news():
    peers = heard(a=beat(token=9))
    assert not peers.has_stopped_coordinating(
        TERM
    ) and not PeerStates().has_stopped_coordinating(TERM)
    assert peers.record_heartbeat(A, beat(token=0)) and peers.has_stopped_coordinating(
        TERM
    )
    assert not peers.has_stopped_coordinating(Term(3, A))


def test_general_deputies_are_told_of_by_any_peer():
    peers = PeerStates()
    assert peers.record_heartbeat(B, beat(general_token=8)) and peers.general_token == 8
    assert peers.record_heartbeat(B, beat(general_token=9))
    assert not peers.record_heartbeat(B, beat(general_token=8))
    assert peers.record_general_token(10) and not peers.record_general_token(9)
    assert peers.general_token == 10


def test_deputies_count_here_while_no_general_one_has_followed():
    narrow, general = beat(is_deputy=True, token=7), beat(is_deputy=True, token=8)
    peers = heard(b=narrow, c=attrs.evolve(general, is_general=True))
    assert peers.deputies_for("x") == {B: 7, C: 8}
    assert peers.deputies_for("y") == {C: 8}
    assert peers.has_general_deputy() is False
    peers.record_general_token(8)
    assert peers.deputies_for("x") == {C: 8} and peers.has_general_deputy()
    peers.record_general_token(9)
    assert peers.deputies_for("x") == {} and not peers.has_general_deputy()


def test_what_peers_say_of_the_log_and_of_the_holder():
    peers = heard(a=beat(False), b=beat(False, lacks_log=True))
    assert not peers.hears_any_holder()
    assert peers.lacks_log(B) and not peers.lacks_log(A) and not peers.lacks_log(C)
    peers.record_heartbeat(C, beat(is_draining=True))
    assert peers.hears_any_holder()


def test_only_peers_that_stay_and_know_the_term_speak_for_the_holder():
    peers = heard(a=beat(is_draining=True), b=beat(term=3), c=beat())
    assert peers.hearing_holder(4) == {B: False, C: True}
    assert peers.is_draining(A) and not peers.is_draining(B)


def test_a_holder_hands_over_when_it_drains_or_has_resigned():
    assert not PeerStates().is_handing_over(TERM)
    assert not heard(a=beat()).is_handing_over(TERM)
    assert not heard(a=beat(False, term=3)).is_handing_over(TERM)
    assert heard(a=beat(False)).is_handing_over(TERM)
    assert heard(a=beat(is_draining=True)).is_handing_over(TERM)


def test_deputies_and_the_deaf_have_not_returned():
    peers = heard(a=beat(False), b=beat(is_deputy=True), c=beat())
    assert peers.data_centres_following_holder() == {"y"}


def test_a_peer_is_away_until_it_is_back_or_lost():
    peers = heard(a=beat(), b=beat())
    peers.disconnected(A, 100)
    peers.disconnected(B, 150)
    peers.disconnected(A, 200)
    assert peers.host_ids() == set() and peers.disconnected_peers() == [A, B]
    assert peers.disconnected_longer_than(50, 151) == [A]
    peers.connected(A)
    peers.lost(B)
    assert peers.disconnected_peers() == []
