"""The mesh of a host as each of its shards sees it, and how it paces heartbeats."""

__all__ = ["ShardMesh", "ShardPacing"]

from collections.abc import Callable, Iterable, Sequence

from expression import Error, Result
from twisted.internet.defer import Deferred, succeed

from hibiscusstack.dispatch.messages import HostName, Message
from hibiscusstack.host import Mesh, PeerAddress
from hibiscusstack.host.mesh_interfaces import SentHeartbeat
from hibiscusstack.pool.heartbeat_pacing import RolePacing
from hibiscusstack.pool.messages import ShardHeartbeats


class ShardMesh:
    """One shard's use of the mesh of its host, which all shards share.

    The first shard starts and stops the mesh and tells it the addresses of peers.
    """

    def __init__(self, find_mesh: Callable[[], Mesh], is_first: bool) -> None:
        self._find_mesh = find_mesh
        self._is_first = is_first

    def listen(self) -> Deferred[object]:
        """Start accepting connections, for the first shard."""
        return self._find_mesh().listen() if self._is_first else succeed(None)

    def start(self) -> None:
        """Start dialling peers and sending heartbeats, for the first shard."""
        if self._is_first:
            self._find_mesh().start()

    def stop(self) -> None:
        """Stop the timers and close the connections, for the first shard."""
        if self._is_first:
            self._find_mesh().stop()

    def replace_listed(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the listed addresses, for the first shard."""
        if self._is_first:
            self._find_mesh().replace_listed(addresses)

    def ended_attempts(self, address: PeerAddress) -> int:
        """Return how many attempts to connect to a listed address have ended."""
        return self._find_mesh().ended_attempts(address)

    def send(self, peer: HostName, message: Message) -> Result[None, object]:
        """Send to exactly this incarnation, or return why nothing was written."""
        mesh = self._find_mesh()
        return mesh.send(peer, message) if mesh is not None else Error("not started")

    def send_heartbeats(self) -> None:
        """Send a heartbeat of all shards to every peer now."""
        self._find_mesh().send_heartbeats()

    def peers(self) -> list[HostName]:
        """Return the peers with an open connection."""
        return self._find_mesh().peers()

    def silent_ms(self, peer: HostName) -> int | None:
        """Return the time since the last message of ``peer``, None if disconnected."""
        return self._find_mesh().silent_ms(peer)


class ShardPacing:
    """Paces the heartbeats of a host with shards.

    A pair exchanges frequent heartbeats if it does so for any shard.
    """

    def __init__(self) -> None:
        self._pacings: list[RolePacing] = []

    def add(self, pacing: RolePacing) -> None:
        """Add the pacing of the next shard."""
        self._pacings.append(pacing)

    def begin_round(self, heartbeat: ShardHeartbeats, now_ms: int) -> None:
        """Record the current heartbeat of this host."""
        for pacing, own in zip(self._pacings, heartbeat.shards, strict=False):
            pacing.begin_round(own, now_ms)

    def is_due(self, peer: HostName, last: SentHeartbeat, now_ms: int) -> bool:
        """Return whether ``peer`` gets a heartbeat in this round."""
        sent: Sequence = last.heartbeat.shards
        if len(sent) != len(self._pacings):
            return True
        return any(
            pacing.is_due(peer, SentHeartbeat(heartbeat, last.sent_ms), now_ms)
            for pacing, heartbeat in zip(self._pacings, sent, strict=True)
        )

    def silent_since_ms(self, last_received_ms: int) -> int:
        """Return since when a connection counts as silent.

        That is the earliest time at which a shard began to need frequent heartbeats, if
        one does.
        """
        later = [
            since_ms
            for pacing in self._pacings
            if (since_ms := pacing.silent_since_ms(last_received_ms)) > last_received_ms
        ]
        needing = sum(pacing.needs_frequent for pacing in self._pacings)
        return min(later) if later and len(later) == needing else last_received_ms

    def silence_timeout_ms(self, peer: HostName | None) -> int:
        """Return how long a connection may be silent, before the hello as well."""
        return min(pacing.silence_timeout_ms(peer) for pacing in self._pacings)
