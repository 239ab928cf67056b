"""Tests of peer states from heartbeats and connections."""

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.messages import PoolHeartbeat
from hibiscusstack.pool.peer_states import PeerStates

A, B, C = (HostName("x", "a", 1), HostName("x", "b", 1), HostName("y", "c", 1))
TERM = Term(4, A)


def heartbeat(hears=True, term=4, **states):
    return PoolHeartbeat(term, A, hears, states.pop("is_draining", False), **states)


def make_peer_states(**heartbeats):
    peers = PeerStates()
    for peer in (A, B, C):
        if peer.name in heartbeats:
            peers.record_heartbeat(peer, heartbeats[peer.name])
    return peers


def test_change_of_a_deputy_is_reported_once():
    peers = PeerStates()
    assert peers.record_heartbeat(B, heartbeat()) and not peers.record_heartbeat(
        B, heartbeat()
    )
    assert peers.record_heartbeat(
        B, heartbeat(is_deputy=True)
    ) and peers.deputies() == [B]
    assert peers.is_deputy(B) and not peers.is_deputy(A)
    assert not peers.record_heartbeat(B, heartbeat(is_deputy=True))
    assert peers.record_heartbeat(B, heartbeat()) and peers.deputies() == []


def test_start_and_end_of_coordination_are_reported():
    peers = make_peer_states(a=heartbeat(token=9))
    assert not peers.has_stopped_coordinating(
        TERM
    ) and not PeerStates().has_stopped_coordinating(TERM)
    assert peers.record_heartbeat(
        A, heartbeat(token=0)
    ) and peers.has_stopped_coordinating(TERM)
    assert not peers.has_stopped_coordinating(Term(3, A))


def test_highest_general_token_is_taken_from_all_peers():
    peers = PeerStates()
    assert (
        peers.record_heartbeat(B, heartbeat(general_token=8))
        and peers.highest_general_token == 8
    )
    assert peers.record_heartbeat(B, heartbeat(general_token=9))
    assert not peers.record_heartbeat(B, heartbeat(general_token=8))
    assert peers.record_general_token(10) and not peers.record_general_token(9)
    assert peers.highest_general_token == 10


def test_deputies_count_until_a_general_deputy_supersedes_them():
    local, general = (
        heartbeat(is_deputy=True, token=7),
        heartbeat(is_deputy=True, token=8),
    )
    peers = make_peer_states(b=local, c=attrs.evolve(general, is_general=True))
    assert peers.deputies_for("x") == {B: 7, C: 8}
    assert peers.deputies_for("y") == {C: 8}
    assert peers.is_general_deputy_connected() is False
    peers.record_general_token(8)
    assert peers.deputies_for("x") == {C: 8} and peers.is_general_deputy_connected()
    peers.record_general_token(9)
    assert peers.deputies_for("x") == {} and not peers.is_general_deputy_connected()


def test_peers_report_on_the_log_and_the_holder():
    peers = make_peer_states(a=heartbeat(False), b=heartbeat(False, lacks_log=True))
    assert not peers.any_peer_hears_holder()
    assert peers.lacks_log(B) and not peers.lacks_log(A) and not peers.lacks_log(C)
    peers.record_heartbeat(C, heartbeat(is_draining=True))
    assert peers.any_peer_hears_holder()


def test_draining_peers_and_older_terms_do_not_count_as_hearing_the_holder():
    peers = make_peer_states(
        a=heartbeat(is_draining=True), b=heartbeat(term=3), c=heartbeat()
    )
    assert peers.hearing_holder(4) == {B: False, C: True}
    assert peers.is_draining(A) and not peers.is_draining(B)


def test_holder_hands_over_when_it_drains_or_has_resigned():
    assert not PeerStates().is_handing_over(TERM)
    assert not make_peer_states(a=heartbeat()).is_handing_over(TERM)
    assert not make_peer_states(a=heartbeat(False, term=3)).is_handing_over(TERM)
    assert make_peer_states(a=heartbeat(False)).is_handing_over(TERM)
    assert make_peer_states(a=heartbeat(is_draining=True)).is_handing_over(TERM)


def test_deputies_and_peers_without_the_holder_are_not_following():
    peers = make_peer_states(
        a=heartbeat(False), b=heartbeat(is_deputy=True), c=heartbeat()
    )
    assert peers.data_centres_following_holder() == {"y"}


def test_peer_is_disconnected_until_it_returns_or_is_lost():
    peers = make_peer_states(a=heartbeat(), b=heartbeat())
    peers.disconnected(A, 100)
    peers.disconnected(B, 150)
    peers.disconnected(A, 200)
    assert peers.host_ids() == set() and peers.disconnected_peers() == [A, B]
    assert peers.disconnected_longer_than(50, 151) == [A]
    peers.connected(A)
    peers.lost(B)
    assert peers.disconnected_peers() == []
