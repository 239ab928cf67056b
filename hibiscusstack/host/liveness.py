"""When to send heartbeats, and how long a connection may be silent."""

__all__ = ["Liveness"]

from hibiscusstack.dispatch.messages import HostName
from hibiscusstack.host.mesh_interfaces import MeshTiming


class Liveness:
    """The rhythm of heartbeats to the own data centre and to the others.

    >>> liveness = Liveness(MeshTiming(), "dc1", now_ms=0)
    >>> liveness.was_paused(now_ms=500), liveness.was_paused(now_ms=60_000)
    (False, True)
    """

    def __init__(self, timing: MeshTiming, data_centre: str, now_ms: int) -> None:
        self._timing = timing
        self._data_centre = data_centre
        self._beat_ms = now_ms
        self._far_beat_ms = now_ms - timing.far_heartbeat_ms

    def was_paused(self, now_ms: int) -> bool:
        """Note a beat; return whether this process did not run for too long."""
        since_ms = now_ms - self._beat_ms
        self._beat_ms = now_ms
        return since_ms > self._timing.silence_ms

    def take_far_beat(self, now_ms: int) -> bool:
        """Return whether other data centres are due, and count that as a beat."""
        if now_ms - self._far_beat_ms < self._timing.far_heartbeat_ms:
            return False
        self._far_beat_ms = now_ms
        return True

    def is_far(self, peer: HostName) -> bool:
        """Tell whether a peer is in another data centre."""
        return peer.data_centre != self._data_centre

    def longest_silence_ms(self, peer: HostName | None) -> int:
        """Return how long a connection may be silent, to a known peer or not."""
        if peer is not None and self.is_far(peer):
            return self._timing.far_silence_ms
        return self._timing.silence_ms

    def lost_after_ms(self, peer: HostName) -> int:
        """Return how long a peer may be without a connection before it is lost.

        By then the peer has noticed the silence as well, and given up the work that
        it held for this host.
        """
        noticed_ms = self.longest_silence_ms(peer) + self._timing.heartbeat_ms
        return max(self._timing.lost_after_ms, noticed_ms)
