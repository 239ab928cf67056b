"""The state of a host's peers: newest heartbeats, and disconnected peers.

A peer hears the holder if the field ``hears_holder`` of its newest heartbeat says so.
That field is also False while the holder hands over its term (see
``CoordinatorDiscovery.hears_holder_keeping_term``).
"""

__all__ = ["PeerStates", "needs_frequent_heartbeats"]

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_registry import host_id
from hibiscusstack.pool.messages import PoolHeartbeat


class PeerStates:
    """Newest heartbeat of each connected peer, and when other peers disconnected.

    ``highest_general_token`` is the highest fencing token of any general deputy that
    this host knows of, 0 for none. A general deputy coordinates all data centres while
    the log is unavailable.
    """

    def __init__(self) -> None:
        self.highest_general_token = 0
        self._heartbeats: dict[HostName, PoolHeartbeat] = {}
        self._disconnected_since_ms: dict[HostName, float] = {}

    def record_heartbeat(self, peer: HostName, heartbeat: PoolHeartbeat) -> bool:
        """Store a heartbeat; return whether the coordinator may have changed."""
        before = self._heartbeats.get(peer)
        self._heartbeats[peer] = heartbeat
        has_new_token = self.record_general_token(heartbeat.general_token)
        return (
            has_new_token
            or before is None
            or _coordination_state(heartbeat) != _coordination_state(before)
        )

    def record_general_token(self, token: int) -> bool:
        """Record a general deputy's token; return whether it is the highest so far."""
        is_higher = token > self.highest_general_token
        self.highest_general_token = max(token, self.highest_general_token)
        return is_higher

    def connected(self, peer: HostName) -> None:
        """Record that a connection to the peer is open."""
        self._disconnected_since_ms.pop(peer, None)

    def disconnected(self, peer: HostName, now_ms: float) -> None:
        """Record that the connection to the peer ended; drop its heartbeat."""
        self._heartbeats.pop(peer, None)
        self._disconnected_since_ms.setdefault(peer, now_ms)

    def lost(self, peer: HostName) -> None:
        """Stop waiting for a disconnected peer to return."""
        self._disconnected_since_ms.pop(peer, None)

    def disconnected_peers(self) -> list[HostName]:
        """Return the disconnected peers that may still return."""
        return list(self._disconnected_since_ms)

    def disconnected_longer_than(
        self, longest_ms: float, now_ms: float
    ) -> list[HostName]:
        """Return the peers that have been disconnected for more than ``longest_ms``."""
        return [
            peer
            for peer, since_ms in self._disconnected_since_ms.items()
            if now_ms - since_ms > longest_ms
        ]

    def host_ids(self) -> set[tuple[str, str]]:
        """Return the data centre and name of each peer with a heartbeat."""
        return {host_id(peer) for peer in self._heartbeats}

    def is_draining(self, peer: HostName) -> bool:
        """Return whether the peer reports that it is draining."""
        heartbeat = self._heartbeats.get(peer)
        return heartbeat is not None and heartbeat.is_draining

    def lacks_log(self, peer: HostName) -> bool:
        """Return whether the peer reports that it cannot read the log.

        False also if no heartbeat of the peer is known.
        """
        heartbeat = self._heartbeats.get(peer)
        return heartbeat is not None and heartbeat.lacks_log

    def hosts_with_log_end(self, end: int) -> set[tuple[str, str]]:
        """Return the data centre and name of each peer that has read up to ``end``."""
        return {
            host_id(peer)
            for peer, heartbeat in self._heartbeats.items()
            if heartbeat.log_end >= end
        }

    def needs_frequent_heartbeats(self, peer: HostName) -> bool:
        """Return whether the peer needs to hear its peers often, and they the peer.

        True also if no heartbeat of the peer is known.
        """
        heartbeat = self._heartbeats.get(peer)
        return heartbeat is None or needs_frequent_heartbeats(heartbeat)

    def any_peer_hears_holder(self) -> bool:
        """Return whether any peer hears the holder of the newest term it knows."""
        return any(heartbeat.hears_holder for heartbeat in self._heartbeats.values())

    def has_stopped_coordinating(self, term: Term) -> bool:
        """Return whether the holder of ``term`` reports that it does not coordinate."""
        heartbeat = self._heartbeats.get(term.holder)
        return (
            heartbeat is not None
            and heartbeat.term == term.offset
            and not heartbeat.token
        )

    def is_handing_over(self, term: Term) -> bool:
        """Return whether the holder of ``term`` reports that it wants a successor.

        It does so by draining, or by reporting for this term that it hears no holder,
        as a host does that hands over or has resigned.
        """
        heartbeat = self._heartbeats.get(term.holder)
        if heartbeat is None:
            return False
        has_resigned = heartbeat.term == term.offset and not heartbeat.hears_holder
        return heartbeat.is_draining or has_resigned

    def hearing_holder(self, term_offset: int) -> dict[HostName, bool]:
        """Return for each peer that is not draining whether it hears the holder.

        The value is False for a peer that knows only a term before ``term_offset``.
        """
        return {
            peer: heartbeat.hears_holder and heartbeat.term >= term_offset
            for peer, heartbeat in self._heartbeats.items()
            if not heartbeat.is_draining
        }

    def offered_cpu_milli(self) -> dict[HostName, int]:
        """Return the CPU that each peer has for coordinating, in thousandths of a core.

        It is 0 for a peer that can't claim a term.
        """
        return {
            peer: heartbeat.offered_cpu_milli
            for peer, heartbeat in self._heartbeats.items()
        }

    def followers(self, term: Term) -> set[tuple[str, str]]:
        """Return data centre and name of the peers that follow ``term``'s holder."""
        return {
            host_id(peer)
            for peer, heartbeat in self._heartbeats.items()
            if heartbeat.term == term.offset
            and heartbeat.hears_holder
            and not heartbeat.is_deputy
        }

    def is_deputy(self, peer: HostName) -> bool:
        """Return whether the peer is a deputy, of its data centre or general."""
        heartbeat = self._heartbeats.get(peer)
        return heartbeat is not None and heartbeat.is_deputy

    def deputies(self) -> list[HostName]:
        """Return the peers that are deputies, of a data centre or general."""
        return [
            peer for peer, heartbeat in self._heartbeats.items() if heartbeat.is_deputy
        ]

    def is_general_deputy_connected(self) -> bool:
        """Return whether the general deputy with the highest token is connected."""
        return any(
            heartbeat.is_general and heartbeat.token == self.highest_general_token
            for heartbeat in self._heartbeats.values()
        )

    def deputies_for(self, data_centre: str) -> dict[HostName, int]:
        """Return the deputies that control targets of ``data_centre``, with tokens.

        A deputy whose token is below ``highest_general_token`` has been superseded by a
        general deputy and is left out.
        """
        return {
            peer: heartbeat.token
            for peer, heartbeat in self._heartbeats.items()
            if heartbeat.is_deputy
            and heartbeat.token >= self.highest_general_token
            and (heartbeat.is_general or peer.data_centre == data_centre)
        }

    def data_centres_following_holder(self) -> set[str]:
        """Return the data centres of peers that hear the holder and are no deputies."""
        return {
            peer.data_centre
            for peer, heartbeat in self._heartbeats.items()
            if not heartbeat.is_deputy and heartbeat.hears_holder
        }


def needs_frequent_heartbeats(heartbeat: PoolHeartbeat) -> bool:
    """Return whether the sender coordinates or does not hear the holder.

    Such a host depends on its peers: it must soon notice when one is lost, and they
    must notice when it is.
    """
    return bool(heartbeat.token) or not heartbeat.hears_holder


def _coordination_state(heartbeat: PoolHeartbeat) -> tuple[bool, bool]:
    """Return whether the sender is a deputy, and whether it coordinates."""
    return heartbeat.is_deputy, bool(heartbeat.token)
