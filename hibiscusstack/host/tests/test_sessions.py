"""Which connection of a peer is used."""

import attrs
import pytest

from hibiscusstack.dispatch.messages import Hello, HostName
from hibiscusstack.host.sessions import (
    HelloAccepted,
    HelloRefused,
    Refusal,
    SessionTable,
)

OWN = HostName("dc1", "m", 5)
EARLIER = HostName("dc1", "a", 5)
LATER = HostName("dc1", "z", 5)


def table_with(peer, is_dialer):
    table = SessionTable(OWN, lost_after_ms=lambda peer: 1_000)
    assert table.greet("first", hello_of(peer), is_dialer) == HelloAccepted()
    return table


def hello_of(peer):
    return Hello(peer, "127.0.0.1", 7400)


@pytest.mark.parametrize(
    ("hello", "refusal"),
    [
        (attrs.evolve(hello_of(LATER), version=2), Refusal.VERSION),
        (hello_of(OWN), Refusal.ITSELF),
        (hello_of(attrs.evolve(OWN, incarnation=6)), Refusal.ITSELF),
    ],
)
def test_a_hello_that_is_never_accepted(hello, refusal):
    table = SessionTable(OWN, lost_after_ms=lambda peer: 1_000)
    assert table.greet("c", hello, is_dialer=True) == HelloRefused(refusal)
    assert table.connections() == []


@pytest.mark.parametrize(
    ("peer", "first_is_own", "second_is_own", "is_replaced"),
    [
        (LATER, True, False, False),
        (LATER, False, True, True),
        (EARLIER, True, False, True),
        (EARLIER, False, True, False),
        (LATER, True, True, True),
        (LATER, False, False, True),
        (EARLIER, False, False, True),
    ],
)
def test_the_host_that_sorts_first_dialled_what_stays(
    peer, first_is_own, second_is_own, is_replaced
):
    table = table_with(peer, is_dialer=first_is_own)
    greeting = table.greet("second", hello_of(peer), second_is_own)
    if is_replaced:
        assert greeting == HelloAccepted(replaced="first")
    else:
        assert greeting == HelloRefused(Refusal.DUPLICATE)
    expected = "second" if is_replaced else "first"
    assert table.connection_to(peer) == expected


def test_a_newer_incarnation_wins_whoever_dialled():
    table = table_with(LATER, is_dialer=True)
    newer = attrs.evolve(LATER, incarnation=6)
    greeting = table.greet("second", hello_of(newer), is_dialer=False)
    assert greeting == HelloAccepted(replaced="first", lost=LATER)
    assert table.connection_to(LATER) is None
    older = table.greet("third", hello_of(LATER), is_dialer=True)
    assert older == HelloRefused(Refusal.OLDER_INCARNATION)


def test_a_closed_session_expires_once():
    table = table_with(LATER, is_dialer=True)
    assert table.close("first", now_ms=100) == LATER
    assert table.close("first", now_ms=100) is None
    assert table.expire(now_ms=1_099) == []
    assert table.expire(now_ms=1_100) == [LATER]
    assert table.expire(now_ms=1_100) == []


def test_a_connection_that_was_replaced_closes_nothing():
    table = table_with(LATER, is_dialer=True)
    table.greet("second", hello_of(LATER), is_dialer=True)
    assert table.close("first", now_ms=100) is None
    assert table.connection_to(LATER) == "second"
