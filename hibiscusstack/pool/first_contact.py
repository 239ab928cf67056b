"""Whether a host that has started has yet to reach the holder of the term."""

__all__ = ["FirstContact"]

from collections.abc import Callable

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host import PeerAddress
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_registry import HostRegistry

MAX_CONNECT_ATTEMPTS = 2


class FirstContact:
    """Tells whether the host ``own`` can't know yet that the holder is lost.

    A host that starts learns the term from the log, before its connections are open.
    It takes nothing over from a holder that it has never been connected with, until
    ``MAX_CONNECT_ATTEMPTS`` attempts to connect to it have ended. ``ended_attempts``
    returns their number for an address.
    """

    def __init__(
        self,
        own: HostName,
        registry: HostRegistry,
        ended_attempts: Callable[[PeerAddress], int],
    ) -> None:
        self._own = own
        self._registry = registry
        self._ended_attempts = ended_attempts
        self._connected: set[HostName] = set()

    def record_connected(self, peer: HostName) -> None:
        """Record that a connection to the peer has been open."""
        self._connected.add(peer)

    def is_pending(self, term: Term | None) -> bool:
        """Return whether the holder of ``term`` may still prove to be reachable.

        It has ended if it is no longer registered, as after a restart of its host.
        """
        if term is None or term.holder == self._own or term.holder in self._connected:
            return False
        address = self._registry.address_of(term.holder)
        if address is None:
            return False
        return self._ended_attempts(address) < MAX_CONNECT_ATTEMPTS
