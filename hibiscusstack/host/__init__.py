"""Connections between hosts."""

from hibiscusstack.host.codec import MAX_FRAME_BYTES, decode_message, encode_message
from hibiscusstack.host.connection import NotConnected, SendBufferFull, SendFailure
from hibiscusstack.host.dialing import PeerAddress
from hibiscusstack.host.mesh import Mesh
from hibiscusstack.host.mesh_interfaces import MeshEvents, MeshTiming
from hibiscusstack.host.network import Network, TcpNetwork

__all__ = [
    "MAX_FRAME_BYTES",
    "Mesh",
    "MeshEvents",
    "MeshTiming",
    "Network",
    "NotConnected",
    "PeerAddress",
    "SendBufferFull",
    "SendFailure",
    "TcpNetwork",
    "decode_message",
    "encode_message",
]
