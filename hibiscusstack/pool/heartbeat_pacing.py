"""How often the hosts of a pool send heartbeats to each other.

A full mesh of frequent heartbeats costs each host time in proportion to the number of
hosts, and the site to its square. On large sites only pairs that depend on one another
exchange frequent heartbeats: a host that coordinates and any other, and a host that
hears no holder and any other. The others send one at each change of their state, and
rarely otherwise.
"""

__all__ = ["RolePacing"]

from collections.abc import Callable

import attrs

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host.mesh_interfaces import SentHeartbeat
from hibiscusstack.pool.messages import PoolHeartbeat
from hibiscusstack.pool.peer_states import PeerStates, needs_frequent_heartbeats

# Up to so many hosts all heartbeats are frequent.
MAX_FREQUENT_HOSTS = 12
# Hosts may know different numbers of hosts, so a host allows for rare heartbeats before
# any other host sends them.
MIN_RARE_HOSTS = 9
# Each host sends as many of these a second however many hosts there are.
RARE_INTERVAL_MS_PER_HOST = 50


class RolePacing:
    """Paces heartbeats by the roles of the two hosts of a pair.

    ``count_hosts`` returns the number of registered hosts. Frequent heartbeats are sent
    in every round, and a peer that owes them may be silent for ``silence_ms``.

    A host that needs frequent heartbeats says so by its state: its heartbeat has a
    token, or does not hear the holder. Peers that were rarely heard until then get
    ``silence_ms`` from that time on.
    """

    def __init__(
        self, peers: PeerStates, count_hosts: Callable[[], int], silence_ms: int
    ) -> None:
        self._peers = peers
        self._count_hosts = count_hosts
        self._silence_ms = silence_ms
        self._heartbeat: PoolHeartbeat | None = None
        self._needs_frequent_since_ms: int | None = None

    def begin_round(self, heartbeat: PoolHeartbeat, now_ms: int) -> None:
        """Record the current heartbeat of this host."""
        self._heartbeat = heartbeat
        if not needs_frequent_heartbeats(heartbeat):
            self._needs_frequent_since_ms = None
        elif self._needs_frequent_since_ms is None:
            self._needs_frequent_since_ms = now_ms

    def is_due(self, peer: HostName, last: SentHeartbeat, now_ms: int) -> bool:
        """Return whether ``peer`` gets a heartbeat in this round."""
        return (
            self._count_hosts() <= MAX_FREQUENT_HOSTS
            or self._is_frequent(peer)
            or _has_changed(last.heartbeat, self._heartbeat)
            or now_ms - last.sent_ms >= rare_interval_ms(self._count_hosts())
        )

    def silent_since_ms(self, last_received_ms: int) -> int:
        """Return since when a connection counts as silent."""
        if self._needs_frequent_since_ms is None or not self.has_rare_pairs():
            return last_received_ms
        return max(last_received_ms, self._needs_frequent_since_ms)

    @property
    def needs_frequent(self) -> bool:
        """Whether this host needs to hear all its peers often."""
        return self._needs_frequent_since_ms is not None

    def has_rare_pairs(self) -> bool:
        """Return whether some hosts of the site may hear each other rarely."""
        return self._count_hosts() >= MIN_RARE_HOSTS

    def silence_timeout_ms(self, peer: HostName | None) -> int:
        """Return how long a connection may be silent, before the hello as well."""
        if peer is None or not self.has_rare_pairs() or self._is_frequent(peer):
            return self._silence_ms
        # Hosts that know more hosts send less often.
        return 2 * rare_interval_ms(self._count_hosts()) + self._silence_ms

    def _is_frequent(self, peer: HostName) -> bool:
        return (
            self._needs_frequent_since_ms is not None
            or self._peers.needs_frequent_heartbeats(peer)
        )


def rare_interval_ms(host_count: int) -> int:
    """Return the interval between heartbeats without a change.

    >>> rare_interval_ms(20), rare_interval_ms(100)
    (1000, 5000)
    """
    return host_count * RARE_INTERVAL_MS_PER_HOST


def _has_changed(sent: PoolHeartbeat, current: PoolHeartbeat) -> bool:
    """Return whether heartbeats differ in more than how far the log was read."""
    return sent != current and attrs.evolve(sent, log_end=current.log_end) != current
