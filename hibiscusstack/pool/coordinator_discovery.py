"""Finds which host coordinates, and whether this host must step down.

The module ``election`` says when a host hears the holder of a term, and ``deputies``
what a general deputy is.
"""

__all__ = ["CoordinatorDiscovery"]

from collections.abc import Callable

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.coordinator_role import CoordinatorRole
from hibiscusstack.pool.deputies import term_token
from hibiscusstack.pool.election import Election
from hibiscusstack.pool.peer_states import PeerStates


class CoordinatorDiscovery:
    """Finds the coordinator from what the host ``own`` knows of terms and peers.

    ``is_connected`` returns whether a connection to a peer is open.
    """

    def __init__(
        self,
        own: HostName,
        election: Election,
        peers: PeerStates,
        role: CoordinatorRole,
        is_connected: Callable[[HostName], bool],
    ) -> None:
        self._own = own
        self._election = election
        self._peers = peers
        self._role = role
        self._is_connected = is_connected

    def hears_holder(self) -> bool:
        """Return whether this host hears the holder of the newest term.

        That is so while a connection to the holder is open, the holder has not reported
        that it stopped coordinating, and the term is not superseded. How recent the
        last heartbeat is doesn't matter. If this host is the holder, it hears itself
        while it coordinates.
        """
        term = self._election.term
        if term is None or self.is_superseded():
            return False
        if term.holder == self._own:
            return self._role.is_holding
        if self._peers.has_stopped_coordinating(term):
            return False
        return self._is_connected(term.holder)

    def is_superseded(self) -> bool:
        """Return whether a general deputy's token exceeds that of the newest term."""
        term = self._election.term
        return term is not None and self._peers.highest_general_token > term_token(
            term.offset
        )

    def hears_holder_keeping_term(self, is_handing_over: bool) -> bool:
        """Return whether this host hears the holder and the holder keeps its term.

        A holder that drains or hands over still coordinates, but wants another host to
        claim the next term. ``is_handing_over`` applies if this host is the holder.
        """
        if not self.hears_holder():
            return False
        term = self._election.term
        if term.holder == self._own:
            return not is_handing_over
        return not self._peers.is_handing_over(term)

    def find_holder(self) -> HostName | None:
        """Return the holder of the newest term if this host hears it, or None."""
        return self._election.term.holder if self.hears_holder() else None

    def find_coordinator(self) -> HostName | None:
        """Return the host that coordinates for this data centre, or None.

        It is the holder if this host hears it, else the deputy with the highest token.
        """
        if self.hears_holder():
            return self._election.term.holder
        deputies = self._peers.deputies_for(self._own.data_centre)
        if self._role.is_deputy:
            deputies[self._own] = self._role.token
        return max(deputies, key=deputies.get, default=None)

    def must_step_down(self) -> bool:
        """Return whether this host must stop coordinating in favour of another.

        Call this only while this host coordinates. Any coordinator steps down if it
        knows of a general deputy with a higher token. The deputy of a data centre also
        steps down if it hears the holder again, or if it knows of a deputy with a
        higher token that controls targets there.
        """
        token = self._role.token
        if self._peers.highest_general_token > token:
            return True
        # A general deputy has superseded the holder of its term. It steps down for a
        # later term, or once all targets refuse its token; the caller checks both.
        if not self._role.is_deputy or self._role.is_general:
            return False
        local_deputies = self._peers.deputies_for(self._own.data_centre)
        return self.hears_holder() or any(t > token for t in local_deputies.values())
