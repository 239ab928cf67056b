"""Tests of which host coordinates, as seen by one host."""

import attrs
import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator_discovery import CoordinatorDiscovery
from hibiscusstack.pool.deputies import term_token
from hibiscusstack.pool.election import Election, Term
from hibiscusstack.pool.messages import PoolHeartbeat
from hibiscusstack.pool.peer_states import PeerStates

OWN, A, B = (HostName("x", name, 1) for name in "cab")
REMOTE = HostName("y", "a", 1)
TOKEN = term_token(4)


@attrs.define
class Role:
    """The role of this host, as plain values."""

    is_holding: bool = False
    is_deputy: bool = False
    is_general: bool = False
    token: int = 0


@attrs.define
class HostView:
    """A host that knows a term of ``holder`` and is connected to ``connected``."""

    holder: HostName | None = A
    connected: set[HostName] = attrs.Factory(set)
    role: Role = attrs.Factory(Role)
    peers: PeerStates = attrs.Factory(PeerStates)

    def discovery(self):
        """Return the discovery of the coordinator by this host."""
        election = Election(OWN, 200)
        if self.holder is not None:
            election.note_term(Term(4, self.holder))
        hears = self.connected.__contains__
        return CoordinatorDiscovery(OWN, election, self.peers, self.role, hears)


def test_no_coordinator_before_the_first_term():
    discovery = HostView(None, {A}).discovery()
    assert not discovery.hears_holder() and not discovery.hears_holder_keeping_term(
        False
    )
    assert discovery.find_coordinator() is None and discovery.find_holder() is None


@pytest.mark.parametrize("is_connected", [False, True])
def test_holder_coordinates_while_it_is_connected(is_connected):
    discovery = HostView(A, {A} if is_connected else set()).discovery()
    assert discovery.hears_holder() == is_connected
    assert discovery.hears_holder_keeping_term(True) == is_connected
    holder = A if is_connected else None
    assert discovery.find_coordinator() == discovery.find_holder() == holder


def test_own_term_counts_while_this_host_coordinates():
    assert not HostView(OWN).discovery().hears_holder()
    discovery = HostView(OWN, role=Role(is_holding=True)).discovery()
    assert discovery.find_coordinator() == OWN
    assert discovery.hears_holder_keeping_term(
        False
    ) and not discovery.hears_holder_keeping_term(True)


def test_holder_that_hands_over_still_coordinates():
    host = HostView(A, {A})
    host.peers.record_heartbeat(A, PoolHeartbeat(4, A, False, False, token=TOKEN))
    assert not host.discovery().hears_holder_keeping_term(False)
    assert host.discovery().find_coordinator() == A


def test_holder_that_stopped_coordinating_is_not_heard():
    host = HostView(A, {A})
    host.peers.record_heartbeat(A, PoolHeartbeat(4, A, False, False))
    assert not host.discovery().hears_holder()
    assert host.discovery().find_coordinator() is None


def deputy(token, is_general=False):
    return PoolHeartbeat(
        4, A, False, False, is_deputy=True, token=token, is_general=is_general
    )


def test_local_deputy_with_the_highest_token_coordinates():
    host = HostView(A)
    for token, peer in enumerate((B, A, REMOTE), TOKEN + 1):
        host.peers.record_heartbeat(peer, deputy(token))
    assert host.discovery().find_coordinator() == A
    assert host.discovery().find_holder() is None
    host.role.is_deputy, host.role.token = True, TOKEN + 9
    assert host.discovery().find_coordinator() == OWN


def test_general_deputy_supersedes_the_holder():
    host = HostView(A, {A})
    host.peers.record_heartbeat(REMOTE, deputy(TOKEN + 2, is_general=True))
    assert host.discovery().find_coordinator() == A
    host.peers.record_general_token(TOKEN + 2)
    assert host.discovery().is_superseded() and not host.discovery().hears_holder()
    assert host.discovery().find_coordinator() == REMOTE
    host.peers.record_general_token(TOKEN + 3)
    assert host.discovery().find_coordinator() is None
    host.peers.record_general_token(term_token(3) + 1)
    assert host.discovery().is_superseded()


def test_later_term_is_not_superseded_by_an_earlier_general_deputy():
    host = HostView(A, {A})
    host.peers.record_general_token(term_token(3) + 7)
    assert (
        not host.discovery().is_superseded()
        and host.discovery().find_coordinator() == A
    )


@pytest.mark.parametrize(
    ("role", "general_token", "expected"),
    [
        (Role(is_holding=True, token=TOKEN), TOKEN + 1, True),
        (Role(is_holding=True, token=TOKEN), TOKEN - 1, False),
        (Role(is_deputy=True, token=TOKEN + 1), 0, False),
        (Role(is_deputy=True, token=TOKEN + 1), TOKEN + 2, True),
        (Role(is_deputy=True, is_general=True, token=TOKEN + 2), TOKEN + 2, False),
        (Role(is_deputy=True, is_general=True, token=TOKEN + 2), TOKEN + 3, True),
    ],
)
def test_steps_down_for_a_general_deputy_with_a_higher_token(
    role, general_token, expected
):
    host = HostView(A, role=role)
    host.peers.record_general_token(general_token)
    assert host.discovery().must_step_down() == expected


def test_deputy_steps_down_for_the_holder_and_a_higher_local_deputy():
    role = Role(is_deputy=True, token=TOKEN + 2)
    assert HostView(A, {A}, role).discovery().must_step_down()
    host = HostView(A, role=role)
    host.peers.record_heartbeat(REMOTE, deputy(TOKEN + 3))
    host.peers.record_heartbeat(A, deputy(TOKEN + 1))
    assert not host.discovery().must_step_down()
    host.peers.record_heartbeat(B, deputy(TOKEN + 3))
    assert host.discovery().must_step_down()
