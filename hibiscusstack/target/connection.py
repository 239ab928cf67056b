"""HTTP connection to a target that carries one exchange at a time.

Twisted's response parser parses the responses. Each request is written in one call and
is never retried, neither on this connection nor on another.
"""

__all__ = ["ExchangeFailed", "HttpConnection", "HttpResponse"]

from collections.abc import Callable

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTPClientParser

_MAX_RESPONSE_BYTES = 1 << 20
_MAX_HEADER_BYTES = 16 << 10


@attrs.frozen
class HttpResponse:
    """A complete response; ``keep_alive`` tells if the connection can be reused."""

    status: int
    body: bytes
    keep_alive: bool


@attrs.frozen
class ExchangeFailed:
    """A request was written, but no valid response was received.

    The response may be missing, incomplete, malformed or too long, or the client closed
    the connection. The connection is always closed.
    """

    cause: str


class _ParserTransport:
    """Transport that the parser gets in place of the one of the connection.

    Flow control is ignored, since the size of a response is bounded.
    """

    disconnecting = False

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing."""

    def loseConnection(self) -> None:  # noqa: N802
        """Raise an error: the parser calls this for a header line that is too long."""
        raise ValueError("a header line is too long")


class _BodyCollector(Protocol):
    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.parts.append(data)


@attrs.frozen
class _StubRequest:
    """Request as the parser sees it, which uses only the method."""

    method: bytes


_STUB_REQUEST = _StubRequest(b"POST")
_PARSER_TRANSPORT = _ParserTransport()


class HttpConnection(Protocol):
    """Client side of one HTTP/1.1 connection, with one request at a time.

    The connection closes if it receives bytes while no request is pending.
    """

    def __init__(
        self, reactor: IReactorTime, on_closed: Callable[["HttpConnection"], None]
    ) -> None:
        self.exchange_count = 0
        self.is_open = False
        self.idle_since_s = 0.0
        self._reactor = reactor
        self._on_closed = on_closed
        self._pending: Deferred[HttpResponse | ExchangeFailed] | None = None
        self._timeout_call: IDelayedCall | None = None
        self._parser: HTTPClientParser | None = None
        self._collector = _BodyCollector()
        self._received_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Mark as open; disable Nagle's algorithm to send small requests at once."""
        self.is_open = True
        self.transport.setTcpNoDelay(True)

    def exchange(
        self, request: bytes, timeout_ms: float
    ) -> Deferred[HttpResponse | ExchangeFailed]:
        """Write ``request`` and return its response, or ``ExchangeFailed``.

        The connection must be open and idle. It is closed after ``timeout_ms`` without
        a response, so that a late response is never delivered.
        """
        assert self.is_open and self._pending is None
        self.exchange_count += 1
        self._received_bytes = 0
        self._collector = _BodyCollector()
        self._parser = HTTPClientParser(_STUB_REQUEST, self._finish_response)
        self._parser.makeConnection(_PARSER_TRANSPORT)
        self._parser._responseDeferred.addCallback(self._collect_body)
        self._pending = pending = Deferred()
        self._timeout_call = self._reactor.callLater(
            timeout_ms / 1000, self._abort, f"no response within {timeout_ms:.0f} ms"
        )
        self.transport.write(request)
        return pending

    def close(self) -> None:
        """Close at once; an exchange in progress ends as ``ExchangeFailed``."""
        if self.is_open:
            self._abort("connection closed by the client")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a part of the pending response."""
        if self._pending is None:
            self._abort("received bytes while no request was pending")
            return
        self._received_bytes += len(data)
        if self._received_bytes > _MAX_RESPONSE_BYTES:
            self._abort("response is too long")
            return
        try:
            self._parser.dataReceived(data)
        except Exception as error:
            # The parser raises exceptions of many types for malformed input. One of
            # them is the ValueError for a header line that is too long.
            self._abort(f"malformed response: {type(error).__name__}")
            return
        if self._is_header_too_long():
            self._abort("response header is too long")

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Complete the pending exchange with ``ExchangeFailed`` and tell the pool."""
        self.is_open = False
        self._complete(ExchangeFailed(reason.getErrorMessage()))
        self._on_closed(self)

    def _is_header_too_long(self) -> bool:
        # The collector gets a transport when the parser hands over the body, which is
        # after the header.
        is_header_complete = bool(self._collector.transport)
        is_exchange_pending = self._pending is not None
        return (
            is_exchange_pending
            and not is_header_complete
            and self._received_bytes > _MAX_HEADER_BYTES
        )

    def _collect_body(self, response: object) -> None:
        response.deliverBody(self._collector)

    def _finish_response(self, surplus: bytes) -> None:
        parser = self._parser
        response = parser.response
        has_content_length = parser.connHeaders.hasHeader(b"content-length")
        has_transfer_encoding = parser.connHeaders.hasHeader(b"transfer-encoding")
        # Without either header the body ends when the connection closes, so a truncated
        # body would look complete. With both, it is ambiguous where the body ends.
        if has_content_length == has_transfer_encoding:
            self._abort(
                "response needs exactly one of Content-Length and Transfer-Encoding"
            )
            return
        must_close = _asks_to_close(parser) or response.version != (b"HTTP", 1, 1)
        keep_alive = not (must_close or surplus)
        body = b"".join(self._collector.parts)
        self._complete(HttpResponse(response.code, body, keep_alive))

    def _abort(self, cause: str) -> None:
        self.is_open = False
        self.transport.abortConnection()
        self._complete(ExchangeFailed(cause))

    def _complete(self, outcome: HttpResponse | ExchangeFailed) -> None:
        pending, self._pending = self._pending, None
        if pending is None:
            return
        if self._timeout_call.active():
            self._timeout_call.cancel()
        pending.callback(outcome)


def _asks_to_close(parser: HTTPClientParser) -> bool:
    values = parser.connHeaders.getRawHeaders(b"connection") or []
    return any(b"close" in value.lower() for value in values)
