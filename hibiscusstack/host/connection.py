"""WebSocket connection between two hosts, on Twisted.

The sans-I/O layer of the websockets library implements the protocol. This module
moves bytes between that layer and a Twisted transport.
"""

__all__ = [
    "Connection",
    "ConnectionEvents",
    "NotConnected",
    "SendBufferFull",
    "SendFailure",
    "accept_connection",
    "dial_connection",
]

from typing import Protocol as Interface

import attrs
from expression import Error, Ok, Result
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from websockets.client import ClientProtocol
from websockets.frames import CloseCode, Frame, Opcode
from websockets.http11 import Request, Response
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri
from zope.interface import implementer

from hibiscusstack.dispatch.messages import Message
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.host.codec import MAX_FRAME_BYTES, decode_message, encode_message

PEER_PATH = "/v1/peers"


@attrs.frozen
class NotConnected:
    """Send failure: no connection to the peer is open. Nothing was written."""


@attrs.frozen
class SendBufferFull:
    """Send failure: the peer reads too slowly. Nothing was written."""

    unsent_bytes: int


SendFailure = NotConnected | SendBufferFull


class ConnectionEvents(Interface):
    """Callbacks of a connection to its owner."""

    def connection_opened(self, connection: "Connection") -> None:
        """Handle a completed handshake, after which messages can be sent."""

    def message_received(self, connection: "Connection", message: Message) -> None:
        """Handle one message; they arrive in the order in which the peer sent them."""

    def connection_closed(self, connection: "Connection", cause: str) -> None:
        """Handle the end of the connection; called once, even if it never opened."""


@implementer(IPushProducer)
class Connection(Protocol):
    """A connection that delivers messages in order until it closes.

    ``max_unsent_bytes`` bounds the data buffered for a peer that reads slowly. After
    :meth:`abort` no further message is delivered, not even from bytes that were
    already received.
    """

    def __init__(
        self,
        events: ConnectionEvents,
        websocket: ClientProtocol | ServerProtocol,
        max_unsent_bytes: int,
    ) -> None:
        self.is_dialer = isinstance(websocket, ClientProtocol)
        self._events = events
        self._websocket = websocket
        self._max_unsent_bytes = max_unsent_bytes
        self._unsent_bytes = 0
        self._is_write_buffer_full = False
        self._is_closed = False

    def send(self, message: Message) -> Result[None, SendFailure]:
        """Write one message, or return the reason why nothing was written."""
        if self._is_closed or self._websocket.state is not State.OPEN:
            return Error(NotConnected())
        if self._unsent_bytes > self._max_unsent_bytes:
            return Error(SendBufferFull(self._unsent_bytes))
        self._websocket.send_binary(encode_message(message))
        self._flush()
        return Ok(None)

    def close(self, reason: str) -> None:
        """Close the connection after all written data has been sent."""
        if self._websocket.state is State.OPEN:
            self._websocket.send_close(CloseCode.NORMAL_CLOSURE, reason)
            self._flush()
        if self.transport is not None:
            self.transport.loseConnection()
        self._report_closed(reason)

    def abort(self, cause: str) -> None:
        """Close the connection at once and discard unsent data."""
        if self.transport is not None:
            self.transport.abortConnection()
        self._report_closed(cause)

    def connectionMade(self) -> None:  # noqa: N802
        """Configure the transport; the dialer also starts the handshake."""
        self.transport.registerProducer(self, True)
        if hasattr(self.transport, "setTcpNoDelay"):
            self.transport.setTcpNoDelay(True)
        if self.is_dialer:
            self._websocket.send_request(self._websocket.connect())
            self._flush()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass received bytes to the WebSocket layer and handle its events."""
        if self._is_closed:
            return
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            if self._is_closed:
                return
            self._handle_event(event)
        if not self._is_closed:
            self._flush()
            self._close_if_ended()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report to the owner that the connection has ended."""
        self._report_closed(reason.getErrorMessage())

    def pauseProducing(self) -> None:  # noqa: N802
        """Start to count unsent bytes, since the transport's buffer is full."""
        self._is_write_buffer_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Reset the count of unsent bytes, since the transport has sent them."""
        self._is_write_buffer_full = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; connectionLost reports the end of the connection."""

    def _handle_event(self, event: Request | Response | Frame) -> None:
        if isinstance(event, Request):
            self._websocket.send_response(self._websocket.accept(event))
            self._flush()
            self._report_if_open()
        elif isinstance(event, Response):
            self._report_if_open()
        elif event.opcode is Opcode.BINARY and event.fin:
            self._deliver_message(event.data)
        elif event.opcode in (Opcode.BINARY, Opcode.TEXT, Opcode.CONT):
            self.abort(
                f"received a {event.opcode.name} frame; expected a whole binary message"
            )

    def _report_if_open(self) -> None:
        if self._websocket.state is State.OPEN:
            self._events.connection_opened(self)

    def _deliver_message(self, data: bytes) -> None:
        try:
            message = decode_message(bytes(data))
        except DecodeError as error:
            self.abort(str(error))
            return
        self._events.message_received(self, message)

    def _close_if_ended(self) -> None:
        if self._websocket.handshake_exc is not None:
            self.abort(str(self._websocket.handshake_exc))
        elif self._websocket.close_expected():
            self.transport.loseConnection()

    def _flush(self) -> None:
        for data in self._websocket.data_to_send():
            if not data:
                self.transport.loseConnection()
                return
            if self._is_write_buffer_full:
                self._unsent_bytes += len(data)
            self.transport.write(data)

    def _report_closed(self, cause: str) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self.transport is not None:
            self.transport.unregisterProducer()
        self._events.connection_closed(self, cause)


def dial_connection(
    events: ConnectionEvents, address: str, port: int, max_unsent_bytes: int
) -> Connection:
    """Return a protocol for the dialing side of a connection.

    The accepting side is :func:`accept_connection`.
    """
    host = f"[{address}]" if ":" in address else address
    uri = parse_uri(f"ws://{host}:{port}{PEER_PATH}")
    websocket = ClientProtocol(uri, max_size=MAX_FRAME_BYTES)
    return Connection(events, websocket, max_unsent_bytes)


def accept_connection(events: ConnectionEvents, max_unsent_bytes: int) -> Connection:
    """Return a protocol for the accepting side of a connection.

    The dialing side is :func:`dial_connection`.
    """
    websocket = ServerProtocol(max_size=MAX_FRAME_BYTES)
    return Connection(events, websocket, max_unsent_bytes)
