"""When a host begins to stand in."""

import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import deputy_token
from hibiscusstack.pool.deputy_activation import DEPUTY_DELAY_MS, DeputyActivation
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_records import HostRecord, encode_host, host_key
from hibiscusstack.pool.host_registry import HostRegistry
from hibiscusstack.pool.interfaces import KeyedRecord
from hibiscusstack.pool.messages import PoolHeartbeat
from hibiscusstack.pool.peer_states import PeerStates

A, B, FAR = HostName("x", "a", 1), HostName("x", "b", 1), HostName("y", "c", 1)


def make_activation(own):
    listing, peers = HostRegistry(own), PeerStates()
    records = [
        KeyedRecord(n, host_key(host), encode_host(HostRecord(host, "", n)))
        for n, host in enumerate((A, B, FAR))
    ]
    listing.apply_records(records, True)
    return DeputyActivation(own, listing, peers), peers


def beat(hears=False, **states):
    return PoolHeartbeat(4, FAR, hears, states.pop("is_draining", False), **states)


def test_the_chosen_host_waits_a_little():
    first, _ = make_activation(A)
    second, _ = make_activation(B)
    assert not first.is_due(True, [B], 0)
    assert not first.is_due(True, [B], DEPUTY_DELAY_MS - 1)
    assert first.is_due(True, [B], DEPUTY_DELAY_MS)
    assert not second.is_due(True, [A], 0) and not second.is_due(True, [A], 1_000)


def test_the_wait_begins_anew_after_any_hindrance():
    first, peers = make_activation(A)
    first.is_due(True, [B], 0)
    assert not first.is_due(False, [B], 200)
    assert not first.is_due(True, [B], 210)
    assert not first.is_due(True, [B, FAR], 400)
    assert not first.is_due(True, [B], 410)
    peers.record_heartbeat(B, beat(is_deputy=True))
    assert not first.is_due(True, [B], 600)


def test_a_host_that_drains_is_no_deputy():
    second, peers = make_activation(B)
    peers.record_heartbeat(A, beat(is_draining=True))
    assert not second.is_due(True, [A], 0)
    # Without it the rest is no more than half of the data centre.
    assert not second.is_due(True, [A], 1_000)


TERM = Term(4, FAR)
LACKS = beat(lacks_log=True)


def general(own=A, **beats):
    """Return whether a host becomes the general deputy, by what its peers say."""
    activation, peers = make_activation(own)
    for peer in (A, B):
        if peer.name in beats:
            peers.record_heartbeat(peer, beats[peer.name])
    connected = [peer for peer in (A, B) if peer != own]
    activation.is_general_due(True, TERM, connected, 0)
    return activation.is_general_due(True, TERM, connected, DEPUTY_DELAY_MS)


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
    activation, peers = make_activation(A)
    assert not activation.is_general_due(True, TERM, [B], 0)
    assert not activation.is_general_due(True, TERM, [B], 1_000)
    peers.record_heartbeat(B, LACKS)
    assert not activation.is_general_due(True, None, [B], 1_000)
    assert not activation.is_general_due(True, TERM, [B], 1_100)
    assert not activation.is_general_due(True, TERM, [B], 1_099 + DEPUTY_DELAY_MS)
    assert not activation.is_general_due(False, TERM, [B], 1_150)
    assert not activation.is_general_due(True, TERM, [B], 1_200)
    assert activation.is_general_due(True, TERM, [B], 1_200 + DEPUTY_DELAY_MS)
