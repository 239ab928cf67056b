"""Tests of the choice between connections of a peer."""

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


def make_table(peer, is_dialer):
    table = SessionTable(OWN, loss_timeout_ms=lambda peer: 1_000)
    assert table.handle_hello("first", make_hello(peer), is_dialer) == HelloAccepted()
    return table


def make_hello(peer):
    return Hello(peer, "127.0.0.1", 7400)


@pytest.mark.parametrize(
    ("hello", "refusal"),
    [
        (attrs.evolve(make_hello(LATER), version=2), Refusal.VERSION_MISMATCH),
        (make_hello(OWN), Refusal.OWN_ADDRESS),
        (make_hello(attrs.evolve(OWN, incarnation=6)), Refusal.OWN_ADDRESS),
    ],
)
def test_invalid_hellos_are_refused(hello, refusal):
    table = SessionTable(OWN, loss_timeout_ms=lambda peer: 1_000)
    assert table.handle_hello("c", hello, is_dialer=True) == HelloRefused(refusal)
    assert table.connections() == []


@pytest.mark.parametrize(
    ("peer", "first_is_dialer", "second_is_dialer", "is_replaced"),
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
def test_the_connection_dialled_by_the_host_that_sorts_first_is_kept(
    peer, first_is_dialer, second_is_dialer, is_replaced
):
    table = make_table(peer, is_dialer=first_is_dialer)
    result = table.handle_hello("second", make_hello(peer), second_is_dialer)
    if is_replaced:
        assert result == HelloAccepted(replaced="first")
    else:
        assert result == HelloRefused(Refusal.DUPLICATE)
    expected = "second" if is_replaced else "first"
    assert table.connection_to(peer) == expected


def test_a_newer_incarnation_replaces_the_older_whichever_host_dialled():
    table = make_table(LATER, is_dialer=True)
    newer = attrs.evolve(LATER, incarnation=6)
    result = table.handle_hello("second", make_hello(newer), is_dialer=False)
    assert result == HelloAccepted(replaced="first", ended_incarnation=LATER)
    assert table.connection_to(LATER) is None
    older = table.handle_hello("third", make_hello(LATER), is_dialer=True)
    assert older == HelloRefused(Refusal.OLDER_INCARNATION)


def test_a_closed_session_expires_once():
    table = make_table(LATER, is_dialer=True)
    assert table.record_closed("first", now_ms=100) == LATER
    assert table.record_closed("first", now_ms=100) is None
    assert table.expire(now_ms=1_099) == []
    assert table.expire(now_ms=1_100) == [LATER]
    assert table.expire(now_ms=1_100) == []


def test_closing_a_replaced_connection_keeps_the_current_one():
    table = make_table(LATER, is_dialer=True)
    table.handle_hello("second", make_hello(LATER), is_dialer=True)
    assert table.record_closed("first", now_ms=100) is None
    assert table.connection_to(LATER) == "second"
