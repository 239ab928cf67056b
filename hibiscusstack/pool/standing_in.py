"""When a host begins to stand in for the coordinator in its data centre."""

__all__ = ["StandingIn"]

from collections.abc import Iterable

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.deputies import choose_deputy
from hibiscusstack.pool.heard_peers import HeardPeers
from hibiscusstack.pool.host_listing import HostListing

DEPUTY_PATIENCE_MS = 100


class StandingIn:
    """Since when the host ``own`` would be the deputy of its data centre."""

    def __init__(self, own: HostName, listing: HostListing, peers: HeardPeers) -> None:
        self._own = own
        self._listing = listing
        self._peers = peers
        self._since_ms: float | None = None

    def is_due(
        self, is_free: bool, connected: Iterable[HostName], now_ms: float
    ) -> bool:
        """Return whether to begin now.

        ``is_free`` says that this host may order targets and knows of nobody who
        does; ``connected`` are the peers to which a connection is open.
        """
        if not is_free or not self._is_chosen(connected):
            self._since_ms = None
        elif self._since_ms is None:
            self._since_ms = now_ms
        else:
            return now_ms - self._since_ms >= DEPUTY_PATIENCE_MS
        return False

    def _is_chosen(self, connected: Iterable[HostName]) -> bool:
        if self._peers.deputies():
            return False
        staying = [peer for peer in connected if not self._peers.is_draining(peer)]
        return choose_deputy(self._own, self._listing.names(), staying) == self._own
