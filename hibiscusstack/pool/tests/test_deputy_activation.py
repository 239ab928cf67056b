"""Tests of when a host becomes a deputy."""

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

A, B, REMOTE = HostName("x", "a", 1), HostName("x", "b", 1), HostName("y", "c", 1)


def make_activation(own):
    registry, peers = HostRegistry(own), PeerStates()
    records = [
        KeyedRecord(n, host_key(host), encode_host(HostRecord(host, "", n)))
        for n, host in enumerate((A, B, REMOTE))
    ]
    registry.apply_records(records, True)
    return DeputyActivation(own, registry, peers), peers


def heartbeat(hears=False, **states):
    return PoolHeartbeat(4, REMOTE, hears, states.pop("is_draining", False), **states)


def test_chosen_host_waits_for_the_deputy_delay():
    first, _ = make_activation(A)
    second, _ = make_activation(B)
    assert not first.should_become_deputy(True, [B], 0)
    assert not first.should_become_deputy(True, [B], DEPUTY_DELAY_MS - 1)
    assert first.should_become_deputy(True, [B], DEPUTY_DELAY_MS)
    assert not second.should_become_deputy(
        True, [A], 0
    ) and not second.should_become_deputy(True, [A], 1_000)


def test_the_delay_restarts_after_an_interruption():
    first, peers = make_activation(A)
    first.should_become_deputy(True, [B], 0)
    assert not first.should_become_deputy(False, [B], 200)
    assert not first.should_become_deputy(True, [B], 210)
    assert not first.should_become_deputy(True, [B, REMOTE], 400)
    assert not first.should_become_deputy(True, [B], 410)
    peers.record_heartbeat(B, heartbeat(is_deputy=True))
    assert not first.should_become_deputy(True, [B], 600)


def test_draining_host_does_not_count_for_the_majority():
    second, peers = make_activation(B)
    peers.record_heartbeat(A, heartbeat(is_draining=True))
    assert not second.should_become_deputy(True, [A], 0)
    # Without the draining host, the other one is no majority of the data centre.
    assert not second.should_become_deputy(True, [A], 1_000)


TERM = Term(4, REMOTE)
WITHOUT_LOG = heartbeat(lacks_log=True)


def becomes_general_deputy(own=A, **heartbeats):
    """Return whether ``own`` becomes the general deputy, given peers' heartbeats."""
    activation, peers = make_activation(own)
    for peer in (A, B):
        if peer.name in heartbeats:
            peers.record_heartbeat(peer, heartbeats[peer.name])
    connected = [peer for peer in (A, B) if peer != own]
    activation.should_become_general_deputy(True, TERM, connected, 0)
    return activation.should_become_general_deputy(
        True, TERM, connected, DEPUTY_DELAY_MS
    )


def test_general_deputy_is_the_first_registered_host_of_a_majority():
    assert becomes_general_deputy(A, b=WITHOUT_LOG) and not becomes_general_deputy(
        B, a=WITHOUT_LOG
    )


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
def test_no_general_deputy_if_a_peer_reads_the_log_or_knows_another_coordinator(states):
    assert not becomes_general_deputy(A, b=heartbeat(**({"lacks_log": True} | states)))


def test_next_host_succeeds_a_known_general_deputy():
    assert becomes_general_deputy(
        B, a=heartbeat(lacks_log=True, general_token=deputy_token(4, 0))
    )


def test_general_deputy_needs_a_term_heartbeats_and_the_delay():
    activation, peers = make_activation(A)
    assert not activation.should_become_general_deputy(True, TERM, [B], 0)
    assert not activation.should_become_general_deputy(True, TERM, [B], 1_000)
    peers.record_heartbeat(B, WITHOUT_LOG)
    assert not activation.should_become_general_deputy(True, None, [B], 1_000)
    assert not activation.should_become_general_deputy(True, TERM, [B], 1_100)
    assert not activation.should_become_general_deputy(
        True, TERM, [B], 1_099 + DEPUTY_DELAY_MS
    )
    assert not activation.should_become_general_deputy(False, TERM, [B], 1_150)
    assert not activation.should_become_general_deputy(True, TERM, [B], 1_200)
    assert activation.should_become_general_deputy(
        True, TERM, [B], 1_200 + DEPUTY_DELAY_MS
    )
