"""Who coordinates, as one host sees it."""

import attrs
import pytest

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import Election, Term
from hibiscusstack.pool.heard_peers import HeardPeers
from hibiscusstack.pool.holder_watch import HolderWatch
from hibiscusstack.pool.messages import PoolHeartbeat

OWN, A, B = (HostName("x", name, 1) for name in "cab")
FAR = HostName("y", "a", 1)


@attrs.define
class Office:
    """Says what this host is."""

    is_holding: bool = False
    is_deputy: bool = False


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
    site.peers.take(A, PoolHeartbeat(4, A, False, False))
    assert not site.watch().hears_staying_holder(False)
    assert site.watch().find_coordinator() == A


def test_deputies_of_this_data_centre_stand_in_the_first_of_them_first():
    site = Site(A)
    for peer in (FAR, B, A):
        site.peers.take(peer, PoolHeartbeat(4, A, False, False, is_deputy=True))
    assert site.watch().find_coordinator() == A
    assert site.watch().heard_holder() is None
    site.office.is_deputy = True
    assert site.watch().find_coordinator() == OWN
