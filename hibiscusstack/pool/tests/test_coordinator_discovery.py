"""Who coordinates, as one host sees it."""

import attrs
import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator_discovery import CoordinatorDiscovery
from hibiscusstack.pool.deputies import term_token
from hibiscusstack.pool.election import Election, Term
from hibiscusstack.pool.messages import PoolHeartbeat
from hibiscusstack.pool.peer_states import PeerStates

OWN, A, B = (HostName("x", name, 1) for name in "cab")
FAR = HostName("y", "a", 1)
TOKEN = term_token(4)


@attrs.define
class Role:
    """Says what this host is."""

    is_holding: bool = False
    is_deputy: bool = False
    is_general: bool = False
    token: int = 0


@attrs.define
class Site:
    """A host that knows a term of ``holder``, and hears ``connected``."""

    holder: HostName | None = A
    connected: set[HostName] = attrs.Factory(set)
    role: Role = attrs.Factory(Role)
    peers: PeerStates = attrs.Factory(PeerStates)

    def discovery(self):
        """Return what the host knows of the holder."""
        election = Election(OWN, 200)
        if self.holder is not None:
            election.note_term(Term(4, self.holder))
        hears = self.connected.__contains__
        return CoordinatorDiscovery(OWN, election, self.peers, self.role, hears)


def test_nobody_coordinates_before_the_first_term():
    discovery = Site(None, {A}).discovery()
    assert not discovery.hears_holder() and not discovery.hears_holder_keeping_term(
        False
    )
    assert discovery.find_coordinator() is None and discovery.heard_holder() is None


@pytest.mark.parametrize("is_connected", [False, True])
def test_a_peer_that_holds_the_term_coordinates_while_it_is_connected(is_connected):
    discovery = Site(A, {A} if is_connected else set()).discovery()
    assert discovery.hears_holder() == is_connected
    assert discovery.hears_holder_keeping_term(True) == is_connected
    holder = A if is_connected else None
    assert discovery.find_coordinator() == discovery.heard_holder() == holder


def test_this_host_counts_as_heard_while_it_coordinates():
    assert not Site(OWN).discovery().hears_holder()
    discovery = Site(OWN, role=Role(is_holding=True)).discovery()
    assert discovery.find_coordinator() == OWN
    assert discovery.hears_holder_keeping_term(
        False
    ) and not discovery.hears_holder_keeping_term(True)


def test_a_holder_that_hands_over_still_coordinates():
    site = Site(A, {A})
    site.peers.record_heartbeat(A, PoolHeartbeat(4, A, False, False, token=TOKEN))
    assert not site.discovery().hears_holder_keeping_term(False)
    assert site.discovery().find_coordinator() == A


def test_a_holder_that_has_given_up_is_not_heard():
    site = Site(A, {A})
    site.peers.record_heartbeat(A, PoolHeartbeat(4, A, False, False))
    assert not site.discovery().hears_holder()
    assert site.discovery().find_coordinator() is None


def deputy(token, is_general=False):
    return PoolHeartbeat(
        4, A, False, False, is_deputy=True, token=token, is_general=is_general
    )


def test_deputies_of_this_data_centre_stand_in_the_highest_token_first():
    site = Site(A)
    for token, peer in enumerate((B, A, FAR), TOKEN + 1):
        site.peers.record_heartbeat(peer, deputy(token))
    assert site.discovery().find_coordinator() == A
    assert site.discovery().heard_holder() is None
    site.role.is_deputy, site.role.token = True, TOKEN + 9
    assert site.discovery().find_coordinator() == OWN


def test_a_general_deputy_follows_the_holder_for_good():
    site = Site(A, {A})
    site.peers.record_heartbeat(FAR, deputy(TOKEN + 2, is_general=True))
    assert site.discovery().find_coordinator() == A
    site.peers.record_general_token(TOKEN + 2)
    assert site.discovery().is_superseded() and not site.discovery().hears_holder()
    assert site.discovery().find_coordinator() == FAR
    site.peers.record_general_token(TOKEN + 3)
    assert site.discovery().find_coordinator() is None
    site.peers.record_general_token(term_token(3) + 1)
    assert site.discovery().is_superseded()


def test_an_earlier_general_deputy_supersedes_no_later_term():
    site = Site(A, {A})
    site.peers.record_general_token(term_token(3) + 7)
    assert (
        not site.discovery().is_superseded()
        and site.discovery().find_coordinator() == A
    )


@pytest.mark.parametrize(
    ("role", "general_token", "must_step_down"),
    [
        (Role(is_holding=True, token=TOKEN), TOKEN + 1, True),
        (Role(is_holding=True, token=TOKEN), TOKEN - 1, False),
        (Role(is_deputy=True, token=TOKEN + 1), 0, False),
        (Role(is_deputy=True, token=TOKEN + 1), TOKEN + 2, True),
        (Role(is_deputy=True, is_general=True, token=TOKEN + 2), TOKEN + 2, False),
        (Role(is_deputy=True, is_general=True, token=TOKEN + 2), TOKEN + 3, True),
    ],
)
def test_a_host_yields_to_a_general_deputy_with_a_higher_token(
    role, general_token, must_step_down
):
    site = Site(A, role=role)
    site.peers.record_general_token(general_token)
    assert site.discovery().must_step_down() == must_step_down


def test_a_deputy_yields_to_the_holder_and_to_a_higher_one_here():
    role = Role(is_deputy=True, token=TOKEN + 2)
    assert Site(A, {A}, role).discovery().must_step_down()
    site = Site(A, role=role)
    site.peers.record_heartbeat(FAR, deputy(TOKEN + 3))
    site.peers.record_heartbeat(A, deputy(TOKEN + 1))
    assert not site.discovery().must_step_down()
    site.peers.record_heartbeat(B, deputy(TOKEN + 3))
    assert site.discovery().must_step_down()
