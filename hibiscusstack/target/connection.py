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
_MAX_HEADER_BYTES = 16 << 10


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
        self.exchange_count = 0
        self.is_open = False
        self.idle_since_s = 0.0
        self._reactor = reactor
        self._on_closed = on_closed
        self._pending: Deferred[HttpAnswer | AnswerLost] | None = None
        self._timeout_call: IDelayedCall | None = None
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
        assert self.is_open and self._pending is None
        self.exchange_count += 1
        self._received_bytes = 0
        self._collector = _BodyCollector()
        self._parser = HTTPClientParser(_POST, self._finish_response)
        self._parser.makeConnection(_NULL_TRANSPORT)
        self._parser._responseDeferred.addCallback(self._collect_body)
        self._pending = pending = Deferred()
        self._timeout_call = self._reactor.callLater(
            timeout_ms / 1000, self._abort, f"no answer for {timeout_ms:.0f} ms"
        )
        self.transport.write(request)
        return pending

    def close(self) -> None:
        """Close at once, whatever is in progress."""
        if self.is_open:
            self._abort("connection closed")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of the answer that is waited for."""
        if self._pending is None:
            self._abort("bytes that no request asked for")
            return
        self._received_bytes += len(data)
        if self._received_bytes > _MAX_ANSWER_BYTES:
            self._abort("answer too long")
            return
        try:
            self._parser.dataReceived(data)
        except Exception as fault:
            # The parser signals malformed input by exceptions of many types.
            self._abort(f"malformed answer: {type(fault).__name__}")
            return
        if self._is_header_too_long():
            self._abort("head too long")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the loss to whoever waits, and to the pool."""
        self.is_open = False
        self._complete(AnswerLost(reason.getErrorMessage()))
        self._on_closed(self)

    def _is_header_too_long(self) -> bool:
        has_header = bool(self._collector.transport)
        is_waiting = self._pending is not None
        return is_waiting and not has_header and self._received_bytes > _MAX_HEADER_BYTES

    def _collect_body(self, response: object) -> None:
        response.deliverBody(self._collector)

    def _finish_response(self, rest: bytes) -> None:
        parser = self._parser
        response = parser.response
        has_length = parser.connHeaders.hasHeader(b"content-length")
        is_chunked = parser.connHeaders.hasHeader(b"transfer-encoding")
        if has_length == is_chunked:
            self._abort("answer without one definite length")
            return
        is_last = _asks_to_close(parser) or response.version != (b"HTTP", 1, 1)
        keep_alive = not (is_last or rest)
        body = b"".join(self._collector.parts)
        self._complete(HttpAnswer(response.code, body, keep_alive))

    def _abort(self, cause: str) -> None:
        self.is_open = False
        self.transport.abortConnection()
        self._complete(AnswerLost(cause))

    def _complete(self, outcome: HttpAnswer | AnswerLost) -> None:
        pending, self._pending = self._pending, None
        if pending is None:
            return
        if self._timeout_call.active():
            self._timeout_call.cancel()
        pending.callback(outcome)


def _asks_to_close(parser: HTTPClientParser) -> bool:
    values = parser.connHeaders.getRawHeaders(b"connection") or []
    return any(b"close" in value.lower() for value in values)
