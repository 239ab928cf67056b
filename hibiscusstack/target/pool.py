"""Bounded pool of connections to one target."""

__all__ = ["CONNECT_TIMEOUT_MS", "ConnectionPool", "NoConnection"]

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from hibiscusstack.target.connection import HttpConnection

CONNECT_TIMEOUT_MS = 1_000
_MAX_IDLE_MS = 1_000


@attrs.frozen
class NoConnection:
    """No connection was available or could be opened. Nothing was written."""

    cause: str


class ConnectionPool:
    """Pool of at most ``limit`` connections to one target, reused last in, first out.

    A connection that was idle for more than a second is not reused. It may be dead,
    and a new connection costs less than a task whose outcome is unknown.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        address: str,
        port: int,
        limit: int,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self.address = address
        self.port = port
        self._reactor = reactor
        self._limit = limit
        self._connect_timeout_ms = connect_timeout_ms
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._connecting = 0

    def count(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self._open) + self._connecting

    def take_idle(self) -> HttpConnection | None:
        """Return the connection that was used last, or None if none can be reused."""
        self.close_stale()
        return self._idle.pop() if self._idle else None

    def open(
        self, timeout_ms: float, reserved: int = 0
    ) -> Deferred[HttpConnection | NoConnection]:
        """Open a connection, keeping ``reserved`` of the limit for other callers."""
        if self.count() >= self._limit - reserved:
            return succeed(
                NoConnection(f"no free connection: the target's limit is {self._limit}")
            )
        self._connecting += 1
        timeout_s = min(timeout_ms, self._connect_timeout_ms) / 1000
        endpoint = TCP4ClientEndpoint(
            self._reactor, self.address, self.port, timeout=timeout_s
        )
        factory = Factory.forProtocol(self._new_connection)
        factory.noisy = False
        return endpoint.connect(factory).addCallbacks(
            self._connection_opened, self._connection_failed
        )

    def release(self, connection: HttpConnection) -> None:
        """Keep an open connection for the next exchange."""
        connection.idle_since_s = self._reactor.seconds()
        self._idle.append(connection)

    def close_stale(self) -> None:
        """Close the connections that were idle for more than a second."""
        oldest_s = self._reactor.seconds() - _MAX_IDLE_MS / 1000
        while self._idle and self._idle[0].idle_since_s < oldest_s:
            self._idle.pop(0).close()

    def close_idle(self) -> None:
        """Close every idle connection."""
        for connection in self._idle[:]:
            connection.close()
        self._idle.clear()

    def close_all(self) -> None:
        """Close every connection; exchanges in progress end as ``ExchangeFailed``."""
        for connection in list(self._open):
            connection.close()
        self._idle.clear()

    def _new_connection(self) -> HttpConnection:
        return HttpConnection(self._reactor, self._connection_closed)

    def _connection_opened(self, connection: HttpConnection) -> HttpConnection:
        self._connecting -= 1
        self._open.add(connection)
        return connection

    def _connection_failed(self, failure: Failure) -> NoConnection:
        self._connecting -= 1
        return NoConnection(failure.getErrorMessage() or failure.type.__name__)

    def _connection_closed(self, connection: HttpConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
