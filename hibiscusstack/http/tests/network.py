"""Transports that write to memory, with what the HTTP connections need of TCP."""

__all__ = ["Reactor", "Transport"]

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

DONE = Failure(ConnectionDone())
RESET = Failure(ConnectionLost())


class Transport(StringTransport):
    """A transport that remembers how it was closed."""

    def __init__(self, protocol: Protocol) -> None:
        super().__init__()
        self.is_write_closed = False
        self.no_delay = False
        self.protocol = protocol
        protocol.makeConnection(self)

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Remember the option."""
        self.no_delay = enabled

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Remember that nothing more is written."""
        self.is_write_closed = True

    def take(self) -> bytes:
        """Return what was written since the last call."""
        text = self.value()
        self.clear()
        return text

    def receive(self, text: bytes) -> None:
        """Deliver bytes of the peer."""
        self.protocol.dataReceived(text)

    def lose(self, reason: Failure = DONE) -> None:
        """End the connection."""
        self.connected = False
        self.protocol.connectionLost(reason)


class Reactor(MemoryReactorClock):
    """A reactor whose connections are made and refused by the test."""

    def accept(self, attempt: int = -1) -> Transport:
        """Let a try to connect succeed."""
        factory = self.tcpClients[attempt][2]
        return Transport(factory.buildProtocol(None))

    def refuse(self, attempt: int = -1, cause: str = "refused") -> None:
        """Let a try to connect fail."""
        factory = self.tcpClients[attempt][2]
        factory.clientConnectionFailed(self.connectors[attempt], _failure(cause))

    def attempts(self) -> int:
        """Return the number of tries to connect so far."""
        return len(self.tcpClients)


def _failure(cause: str) -> Failure:
    return Failure(ConnectionLost(cause))
