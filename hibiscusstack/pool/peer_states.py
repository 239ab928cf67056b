"""What the peers of a host say of themselves, and which of them are away."""

__all__ = ["PeerStates"]

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.pool.election import Term
from hibiscusstack.pool.host_registry import host_id
from hibiscusstack.pool.messages import PoolHeartbeat


class PeerStates:
    """The newest heartbeat of each connected peer, and since when others are away.

    ``general_token`` is the highest one of a general deputy that was heard of.
    """

    def __init__(self) -> None:
        self.general_token = 0
        self._heartbeats: dict[HostName, PoolHeartbeat] = {}
        self._disconnected_since_ms: dict[HostName, float] = {}

    def record_heartbeat(self, peer: HostName, heartbeat: PoolHeartbeat) -> bool:
        """Take over a heartbeat; return whether another host may coordinate now."""
        before = self._heartbeats.get(peer)
        self._heartbeats[peer] = heartbeat
        is_news = self.record_general_token(heartbeat.general_token)
        return (
            is_news
            or before is None
            or _coordination_state(heartbeat) != _coordination_state(before)
        )

    def record_general_token(self, token: int) -> bool:
        """Note the token of a general deputy; return whether it is the highest yet."""
        is_higher = token > self.general_token
        self.general_token = max(token, self.general_token)
        return is_higher

    def connected(self, peer: HostName) -> None:
        """Note that a connection to the peer is open."""
        self._disconnected_since_ms.pop(peer, None)

    def disconnected(self, peer: HostName, now_ms: float) -> None:
        """Note that the connection to the peer ended."""
        self._heartbeats.pop(peer, None)
        self._disconnected_since_ms.setdefault(peer, now_ms)

    def lost(self, peer: HostName) -> None:
        """Wait no more for a peer that is away."""
        self._disconnected_since_ms.pop(peer, None)

    def disconnected_peers(self) -> list[HostName]:
        """Return the peers whose connection ended and that are waited for."""
        return list(self._disconnected_since_ms)

    def disconnected_longer_than(
        self, longest_ms: float, now_ms: float
    ) -> list[HostName]:
        """Return the peers that have been away for longer than ``longest_ms``."""
        return [
            peer
            for peer, since_ms in self._disconnected_since_ms.items()
            if now_ms - since_ms > longest_ms
        ]

    def host_ids(self) -> set[tuple[str, str]]:
        """Return the data centre and the name of each peer that is heard."""
        return {host_id(peer) for peer in self._heartbeats}

    def is_draining(self, peer: HostName) -> bool:
        """Tell whether the peer said that it leaves."""
        beat = self._heartbeats.get(peer)
        return beat is not None and beat.is_draining

    def lacks_log(self, peer: HostName) -> bool:
        """Tell whether the peer said that it cannot read the log."""
        beat = self._heartbeats.get(peer)
        return beat is not None and beat.lacks_log

    def hears_any_holder(self) -> bool:
        """Tell whether any peer hears the holder of the term that it knows."""
        return any(beat.hears_holder for beat in self._heartbeats.values())

    def has_stopped_coordinating(self, term: Term) -> bool:
        """Tell whether the holder of ``term`` said that it orders nothing any more."""
        beat = self._heartbeats.get(term.holder)
        return beat is not None and beat.term == term.offset and not beat.token

    def is_handing_over(self, term: Term) -> bool:
        """Tell whether the holder of ``term`` said that it wants another to follow."""
        beat = self._heartbeats.get(term.holder)
        if beat is None:
            return False
        has_resigned = beat.term == term.offset and not beat.hears_holder
        return beat.is_draining or has_resigned

    def hearing_holder(self, term_offset: int) -> dict[HostName, bool]:
        """Return of each peer that stays whether it hears the holder.

        That of a term before ``term_offset`` does not count.
        """
        return {
            peer: beat.hears_holder and beat.term >= term_offset
            for peer, beat in self._heartbeats.items()
            if not beat.is_draining
        }

    def offered_cpu_milli(self) -> dict[HostName, int]:
        """Return how much processor each peer has for a coordinator."""
        return {peer: beat.offered_cpu_milli for peer, beat in self._heartbeats.items()}

    def followers(self, term: Term) -> set[tuple[str, str]]:
        """Return the peers that follow the holder of ``term``, as in a listing."""
        return {
            host_id(peer)
            for peer, beat in self._heartbeats.items()
            if beat.term == term.offset and beat.hears_holder and not beat.is_deputy
        }

    def is_deputy(self, peer: HostName) -> bool:
        """Tell whether the peer stands in for the coordinator."""
        beat = self._heartbeats.get(peer)
        return beat is not None and beat.is_deputy

    def deputies(self) -> list[HostName]:
        """Return the peers that stand in for the coordinator."""
        return [peer for peer, beat in self._heartbeats.items() if beat.is_deputy]

    def has_general_deputy(self) -> bool:
        """Tell whether the general deputy with the highest token is heard."""
        return any(
            beat.is_general and beat.token == self.general_token
            for beat in self._heartbeats.values()
        )

    def deputies_for(self, data_centre: str) -> dict[HostName, int]:
        """Return the tokens of the peers that order targets there as deputies.

        None counts that a general deputy with a higher token has followed.
        """
        return {
            peer: beat.token
            for peer, beat in self._heartbeats.items()
            if beat.is_deputy
            and beat.token >= self.general_token
            and (beat.is_general or peer.data_centre == data_centre)
        }

    def data_centres_following_holder(self) -> set[str]:
        """Return where peers hear the holder and order nothing themselves."""
        return {
            peer.data_centre
            for peer, beat in self._heartbeats.items()
            if not beat.is_deputy and beat.hears_holder
        }


def _coordination_state(heartbeat: PoolHeartbeat) -> tuple[bool, bool]:
    """Return whether the sender is a deputy, and whether it orders targets."""
    return heartbeat.is_deputy, bool(heartbeat.token)
