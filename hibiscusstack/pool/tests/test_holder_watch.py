"""Who coordinates, as one host sees it."""

import attrs
import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import term_token
from hibiscusstack.pool.election import Election, Term
from hibiscusstack.pool.heard_peers import HeardPeers
from hibiscusstack.pool.holder_watch import HolderWatch
from hibiscusstack.pool.messages import PoolHeartbeat

OWN, A, B = (HostName("x", name, 1) for name in "cab")
FAR = HostName("y", "a", 1)
TOKEN = term_token(4)


@attrs.define
class Office:
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
    office: Office = attrs.Factory(Office)
    peers: HeardPeers = attrs.Factory(HeardPeers)

    def watch(self):
        """Return what the host knows of the holder."""
        election = Election(OWN, 200)
        if self.holder is not None:
            election.note_term(Term(4, self.holder))
        hears = self.connected.__contains__
        return HolderWatch(OWN, election, self.peers, self.office, hears)


def test_nobody_coordinates_before_the_first_term():
    watch = Site(None, {A}).watch()
    assert not watch.hears_holder() and not watch.hears_staying_holder(False)
    assert watch.find_coordinator() is None and watch.heard_holder() is None


@pytest.mark.parametrize("is_connected", [False, True])
def test_a_peer_that_holds_the_term_coordinates_while_it_is_connected(is_connected):
    watch = Site(A, {A} if is_connected else set()).watch()
    assert watch.hears_holder() == is_connected
    assert watch.hears_staying_holder(True) == is_connected
    holder = A if is_connected else None
    assert watch.find_coordinator() == watch.heard_holder() == holder


def test_this_host_counts_as_heard_while_it_coordinates():
    assert not Site(OWN).watch().hears_holder()
    watch = Site(OWN, office=Office(is_holding=True)).watch()
    assert watch.find_coordinator() == OWN
    assert watch.hears_staying_holder(False) and not watch.hears_staying_holder(True)


def test_a_holder_that_hands_over_still_coordinates():
    site = Site(A, {A})
    site.peers.take(A, PoolHeartbeat(4, A, False, False, token=TOKEN))
    assert not site.watch().hears_staying_holder(False)
    assert site.watch().find_coordinator() == A


def test_a_holder_that_has_given_up_is_not_heard():
    site = Site(A, {A})
    site.peers.take(A, PoolHeartbeat(4, A, False, False))
    assert not site.watch().hears_holder()
    assert site.watch().find_coordinator() is None


def deputy(token, is_general=False):
    return PoolHeartbeat(
        4, A, False, False, is_deputy=True, token=token, is_general=is_general
    )


def test_deputies_of_this_data_centre_stand_in_the_highest_token_first():
    site = Site(A)
    for token, peer in enumerate((B, A, FAR), TOKEN + 1):
        site.peers.take(peer, deputy(token))
    assert site.watch().find_coordinator() == A
    assert site.watch().heard_holder() is None
    site.office.is_deputy, site.office.token = True, TOKEN + 9
    assert site.watch().find_coordinator() == OWN


def test_a_general_deputy_follows_the_holder_for_good():
    site = Site(A, {A})
    site.peers.take(FAR, deputy(TOKEN + 2, is_general=True))
    assert site.watch().find_coordinator() == A
    site.peers.note_general(TOKEN + 2)
    assert site.watch().is_superseded() and not site.watch().hears_holder()
    assert site.watch().find_coordinator() == FAR
    site.peers.note_general(TOKEN + 3)
    assert site.watch().find_coordinator() is None
    site.peers.note_general(term_token(3) + 1)
    assert site.watch().is_superseded()


def test_an_earlier_general_deputy_supersedes_no_later_term():
    site = Site(A, {A})
    site.peers.note_general(term_token(3) + 7)
    assert not site.watch().is_superseded() and site.watch().find_coordinator() == A


@pytest.mark.parametrize(
    ("office", "general_token", "yields"),
    [
        (Office(is_holding=True, token=TOKEN), TOKEN + 1, True),
        (Office(is_holding=True, token=TOKEN), TOKEN - 1, False),
        (Office(is_deputy=True, token=TOKEN + 1), 0, False),
        (Office(is_deputy=True, token=TOKEN + 1), TOKEN + 2, True),
        (Office(is_deputy=True, is_general=True, token=TOKEN + 2), TOKEN + 2, False),
        (Office(is_deputy=True, is_general=True, token=TOKEN + 2), TOKEN + 3, True),
    ],
)
def test_a_host_yields_to_a_general_deputy_with_a_higher_token(
    office, general_token, yields
):
    site = Site(A, office=office)
    site.peers.note_general(general_token)
    assert site.watch().must_yield() == yields


def test_a_deputy_yields_to_the_holder_and_to_a_higher_one_here():
    office = Office(is_deputy=True, token=TOKEN + 2)
    assert Site(A, {A}, office).watch().must_yield()
    site = Site(A, office=office)
    site.peers.take(FAR, deputy(TOKEN + 3))
    site.peers.take(A, deputy(TOKEN + 1))
    assert not site.watch().must_yield()
    site.peers.take(B, deputy(TOKEN + 3))
    assert site.watch().must_yield()
