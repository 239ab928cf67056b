"""Heartbeat intervals and the timeouts that detect lost peers."""

__all__ = ["DataCentrePacing", "Liveness"]

from hibiscusstack.dispatch.messages import Heartbeat, HostName
from hibiscusstack.host.mesh_interfaces import MeshTiming, SentHeartbeat


class Liveness:
    """Times heartbeats and silence timeouts, by whether a peer's data centre differs.

    Peers in other data centres have a longer heartbeat interval and silence timeout
    (``far_heartbeat_ms`` and ``far_silence_ms``).

    >>> liveness = Liveness(MeshTiming(), "dc1", now_ms=0)
    >>> liveness.detect_pause(now_ms=500), liveness.detect_pause(now_ms=60_000)
    (False, True)
    """

    def __init__(self, timing: MeshTiming, data_centre: str, now_ms: int) -> None:
        self._timing = timing
        self._data_centre = data_centre
        self._last_heartbeat_ms = now_ms
        self._last_other_data_centres_heartbeat_ms = now_ms - timing.far_heartbeat_ms

    def detect_pause(self, now_ms: int) -> bool:
        """Record a heartbeat; return whether this process was paused before it."""
        elapsed_ms = now_ms - self._last_heartbeat_ms
        self._last_heartbeat_ms = now_ms
        return elapsed_ms > self._timing.silence_ms

    def record_other_data_centres_due(self, now_ms: int) -> bool:
        """Return whether heartbeats to other data centres are due, and record them."""
        if (
            now_ms - self._last_other_data_centres_heartbeat_ms
            < self._timing.far_heartbeat_ms
        ):
            return False
        self._last_other_data_centres_heartbeat_ms = now_ms
        return True

    def is_in_other_data_centre(self, peer: HostName) -> bool:
        """Return whether a peer is in another data centre."""
        return peer.data_centre != self._data_centre

    def silence_timeout_ms(self, peer: HostName | None) -> int:
        """Return how long a connection may go without a received message.

        ``peer`` is None before the hello of a connection.
        """
        if peer is not None and self.is_in_other_data_centre(peer):
            return self._timing.far_silence_ms
        return self._timing.silence_ms

    def loss_timeout_ms(self, peer: HostName) -> int:
        """Return how long a peer may be without a connection before it is lost.

        The timeout is long enough for the peer to detect the silence as well and to
        give up the work that it held for this host.
        """
        detected_after_ms = self.silence_timeout_ms(peer) + self._timing.heartbeat_ms
        return max(self._timing.lost_after_ms, detected_after_ms)


class DataCentrePacing:
    """Paces heartbeats by whether a peer is in another data centre, as ``Liveness``."""

    def __init__(self, liveness: Liveness) -> None:
        self._liveness = liveness
        self._are_other_data_centres_due = False

    def begin_round(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Find out whether the peers in other data centres get a heartbeat."""
        self._are_other_data_centres_due = self._liveness.record_other_data_centres_due(
            now_ms
        )

    def is_due(self, peer: HostName, last: SentHeartbeat, now_ms: int) -> bool:
        """Return whether ``peer`` gets a heartbeat in this round."""
        is_other = self._liveness.is_in_other_data_centre(peer)
        return self._are_other_data_centres_due or not is_other

    def silent_since_ms(self, last_received_ms: int) -> int:
        """Return the time of the last message."""
        return last_received_ms

    def silence_timeout_ms(self, peer: HostName | None) -> int:
        """Return how long a connection may be silent."""
        return self._liveness.silence_timeout_ms(peer)
