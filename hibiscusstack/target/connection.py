"""One connection to a target that carries one exchange after another.

Twisted's own response parser does the parsing. The request leaves in one write and
is never written again, on this connection or another.
"""

__all__ = ["AnswerLost", "HttpAnswer", "HttpConnection"]

from collections.abc import Callable

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTPClientParser

_MAX_ANSWER_BYTES = 1 << 20
_MAX_HEAD_BYTES = 16 << 10


@attrs.frozen
class HttpAnswer:
    """A whole answer; ``keep_alive`` says that the connection can carry another."""

    status: int
    body: bytes
    keep_alive: bool


@attrs.frozen
class AnswerLost:
    """A request was written and no whole answer came."""

    cause: str


class _NullTransport:
    """Takes the flow control of the parser, which a bounded answer does not need."""

    disconnecting = False

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing."""

    def loseConnection(self) -> None:  # noqa: N802
        """Refuse an answer that the parser gives up on."""
        raise ValueError("a line of the head is too long")


class _BodyCollector(Protocol):
    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.parts.append(data)


@attrs.frozen
class _RequestMethod:
    method: bytes


_POST = _RequestMethod(b"POST")
_NULL_TRANSPORT = _NullTransport()


class HttpConnection(Protocol):
    """A connection that closes at the first byte that no request asked for."""

    def __init__(
        self, reactor: IReactorTime, on_closed: Callable[["HttpConnection"], None]
    ) -> None:
        self.exchanges = 0
        self.is_open = False
        self.idle_since_s = 0.0
        self._reactor = reactor
        self._on_closed = on_closed
        self._waiting: Deferred[HttpAnswer | AnswerLost] | None = None
        self._deadline: IDelayedCall | None = None
        self._parser: HTTPClientParser | None = None
        self._collector = _BodyCollector()
        self._received_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests at once."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def exchange(
        self, request: bytes, timeout_ms: float
    ) -> Deferred[HttpAnswer | AnswerLost]:
        """Write ``request`` and return its answer, or that it was lost.

        The connection must be open and idle. Past ``timeout_ms`` it is closed, so
        that a late answer reaches nobody.
        """
        assert self.is_open and self._waiting is None
        self.exchanges += 1
        self._received_bytes = 0
        self._collector = _BodyCollector()
        self._parser = HTTPClientParser(_POST, self._finish)
        self._parser.makeConnection(_NULL_TRANSPORT)
        self._parser._responseDeferred.addCallback(self._collect)
        self._waiting = waiting = Deferred()
        self._deadline = self._reactor.callLater(
            timeout_ms / 1000, self._lose, f"no answer for {timeout_ms:.0f} ms"
        )
        self.transport.write(request)
        return waiting

    def close(self) -> None:
        """Close at once, whatever is in progress."""
        if self.is_open:
            self._lose("connection closed")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of the answer that is waited for."""
        if self._waiting is None:
            self._lose("bytes that no request asked for")
            return
        self._received_bytes += len(data)
        if self._received_bytes > _MAX_ANSWER_BYTES:
            self._lose("answer too long")
            return
        try:
            self._parser.dataReceived(data)
        except Exception as fault:
            # The parser signals malformed input by exceptions of many types.
            self._lose(f"malformed answer: {type(fault).__name__}")
            return
        if self._is_head_too_long():
            self._lose("head too long")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the loss to whoever waits, and to the pool."""
        self.is_open = False
        self._settle(AnswerLost(reason.getErrorMessage()))
        self._on_closed(self)

    def _is_head_too_long(self) -> bool:
        has_head = bool(self._collector.transport)
        is_waiting = self._waiting is not None
        return is_waiting and not has_head and self._received_bytes > _MAX_HEAD_BYTES

    def _collect(self, response: object) -> None:
        response.deliverBody(self._collector)

    def _finish(self, rest: bytes) -> None:
        parser = self._parser
        response = parser.response
        has_length = parser.connHeaders.hasHeader(b"content-length")
        is_chunked = parser.connHeaders.hasHeader(b"transfer-encoding")
        if has_length == is_chunked:
            self._lose("answer without one definite length")
            return
        is_last = _asks_to_close(parser) or response.version != (b"HTTP", 1, 1)
        keep_alive = not (is_last or rest)
        body = b"".join(self._collector.parts)
        self._settle(HttpAnswer(response.code, body, keep_alive))

    def _lose(self, cause: str) -> None:
        self.is_open = False
        self.transport.abortConnection()
        self._settle(AnswerLost(cause))

    def _settle(self, outcome: HttpAnswer | AnswerLost) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is None:
            return
        if self._deadline.active():
            self._deadline.cancel()
        waiting.callback(outcome)


def _asks_to_close(parser: HTTPClientParser) -> bool:
    values = parser.connHeaders.getRawHeaders(b"connection") or []
    return any(b"close" in value.lower() for value in values)
