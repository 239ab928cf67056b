"""Whether a host hears the holder of the term, and who coordinates for it."""

__all__ = ["HolderWatch"]

from collections.abc import Callable

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import term_token
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.heard_peers import HeardPeers
from hibiscusstack.pool.office import Office


class HolderWatch:
    """What the host ``own`` knows of the holder of the newest term.

    ``is_connected`` tells whether a connection to a peer is open.
    """

    def __init__(
        self,
        own: HostName,
        election: Election,
        peers: HeardPeers,
        office: Office,
        is_connected: Callable[[HostName], bool],
    ) -> None:
        self._own = own
        self._election = election
        self._peers = peers
        self._office = office
        self._is_connected = is_connected

    def hears_holder(self) -> bool:
        """Tell whether the holder is heard, or is this host and coordinates."""
        term = self._election.term
        if term is None or self.is_superseded():
            return False
        if term.holder == self._own:
            return self._office.is_holding
        if self._peers.has_given_up(term):
            return False
        return self._is_connected(term.holder)

    def is_superseded(self) -> bool:
        """Tell whether a general deputy has followed the holder of the newest term."""
        term = self._election.term
        return term is not None and self._peers.general_token > term_token(term.offset)

    def hears_staying_holder(self, hands_over: bool) -> bool:
        """Tell whether the holder is heard and does not want to hand over.

        ``hands_over`` says whether this host would, as the holder.
        """
        if not self.hears_holder():
            return False
        term = self._election.term
        if term.holder == self._own:
            return not hands_over
        return not self._peers.hands_over(term)

    def heard_holder(self) -> HostName | None:
        """Return the holder of the term if it is heard."""
        return self._election.term.holder if self.hears_holder() else None

    def find_coordinator(self) -> HostName | None:
        """Return the holder, or else the deputy that stands in for it here."""
        if self.hears_holder():
            return self._election.term.holder
        deputies = self._peers.deputies_for(self._own.data_centre)
        if self._office.is_deputy:
            deputies[self._own] = self._office.token
        return max(deputies, key=deputies.get, default=None)

    def must_yield(self) -> bool:
        """Tell whether another host has followed this one, which orders targets."""
        token = self._office.token
        if self._peers.general_token > token:
            return True
        if not self._office.is_deputy or self._office.is_general:
            return False
        followers = self._peers.deputies_for(self._own.data_centre)
        return self.hears_holder() or any(t > token for t in followers.values())
