"""Settings and callbacks of a mesh."""

__all__ = ["HeartbeatPacing", "MeshEvents", "MeshTiming", "SentHeartbeat"]

from typing import Protocol

import attrs

from hibiscusstack.dispatch.messages import Heartbeat, HostName, Message


@attrs.frozen
class MeshTiming:
    """Intervals and timeouts of the connections between hosts.

    A connection is closed when no message was received on it for ``silence_ms``. A peer
    that then has no connection for a further ``lost_after_ms`` is lost. The delay
    before dialling it again is at most ``longest_dial_delay_ms``. There are many peers
    in other data centres, so they get heartbeats less often (``far_heartbeat_ms``) and
    have a longer silence timeout (``far_silence_ms``).
    """

    heartbeat_ms: int = 500
    silence_ms: int = 2_000
    far_heartbeat_ms: int = 2_000
    far_silence_ms: int = 8_000
    lost_after_ms: int = 3_000
    longest_dial_delay_ms: int = 5_000


class MeshEvents(Protocol):
    """Callbacks of a mesh for peers and their messages."""

    def build_heartbeat(self) -> Heartbeat:
        """Return the heartbeat to send to every peer now."""

    def peer_connected(self, peer: HostName) -> None:
        """Handle a new connection to ``peer``, which may replace another."""

    def peer_disconnected(self, peer: HostName) -> None:
        """Handle the end of the connection to ``peer``; another may follow."""

    def peer_lost(self, peer: HostName) -> None:
        """Handle the loss of ``peer``: disconnected for too long, or restarted."""

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Handle one message; messages of one connection arrive in order."""


@attrs.frozen
class SentHeartbeat:
    """The last heartbeat that was sent on a connection, and when."""

    heartbeat: Heartbeat
    sent_ms: int


class HeartbeatPacing(Protocol):
    """Decides how often each peer gets a heartbeat, and how long it may be silent."""

    def begin_round(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Prepare for the calls of one interval; ``heartbeat`` is the current one."""

    def is_due(self, peer: HostName, last: SentHeartbeat, now_ms: int) -> bool:
        """Return whether ``peer`` gets a heartbeat in this round."""

    def silent_since_ms(self, last_received_ms: int) -> int:
        """Return since when a connection counts as silent."""

    def silence_timeout_ms(self, peer: HostName | None) -> int:
        """Return how long a connection may be silent; ``peer`` is None at first."""
