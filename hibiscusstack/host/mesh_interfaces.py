"""What a mesh is told, and whom it tells."""

__all__ = ["MeshEvents", "MeshTiming"]

from typing import Protocol

import attrs

from hibiscusstack.dispatch.messages import Heartbeat, HostName, Message


@attrs.frozen
class MeshTiming:
    """The durations that govern connections.

    A connection on which nothing came for ``silence_ms`` is retired, and a peer
    without a connection for ``lost_after_ms`` more is lost. It is dialled again after
    ``longest_dial_delay_ms`` at the latest. Peers in other data
    centres are many, so they are sent heartbeats less often.
    """

    heartbeat_ms: int = 500
    silence_ms: int = 2_000
    far_heartbeat_ms: int = 2_000
    far_silence_ms: int = 8_000
    lost_after_ms: int = 3_000
    longest_dial_delay_ms: int = 5_000


class MeshEvents(Protocol):
    """Who hears of peers and of their messages."""

    def heartbeat(self) -> Heartbeat:
        """Return what is to be sent to every peer now."""

    def peer_connected(self, peer: HostName) -> None:
        """Hear that a connection to ``peer`` was opened, or replaced another."""

    def peer_disconnected(self, peer: HostName) -> None:
        """Hear that the connection to ``peer`` is gone; another may follow."""

    def peer_lost(self, peer: HostName) -> None:
        """Hear that ``peer`` is gone: away for too long, or restarted."""

    def peer_message(self, sender: HostName, message: Message) -> None:
        """Hear of one message; those of one connection come in order."""
