"""The server: gives whole requests to a handler, one after the other.

A connection carries one request at a time. What a caller sends ahead stays in a
bounded buffer, and no request is begun while the caller leaves answers unread.
"""

__all__ = ["HttpLimits", "HttpRequest", "HttpServer"]

import enum
import logging
from collections.abc import Callable, Sequence
from http import HTTPStatus

import attrs
from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.interfaces import (
    IAddress,
    IHalfCloseableProtocol,
    IListeningPort,
    IPushProducer,
    IReactorTCP,
)
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from hibiscusstack.clock import Clock
from hibiscusstack.http.budget import ClientBudget
from hibiscusstack.http.deadline import Deadline
from hibiscusstack.http.encoding import encode_head
from hibiscusstack.http.parsing import (
    Body,
    MalformedMessageError,
    RequestHead,
    has_token,
    parse_request_head,
    request_body,
    take_head,
)
from hibiscusstack.http.sockets import probe_when_idle

_LOG = logging.getLogger(__name__)
_PHRASES = {status.value: status.phrase for status in HTTPStatus}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_JSON = "application/json"
_CLOSE = ("Connection", "close")
_LINGER_MS = 1_000
_SHED_RETRY_S = "2"
# Requests that are begun in one pass of the loop, before what others wait for.
_MAX_REQUESTS_PER_PASS = 500
# With fewer requests than this, passes need not be told apart.
_COUNTED_REQUESTS = 100
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 2


@attrs.frozen
class HttpLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000
    body_timeout_ms: float = 10_000


@attrs.define(eq=False)
class HttpRequest:
    """A whole request; the names of its headers are in lower case.

    ``received_ms`` is when the request was given to the handler. ``on_disconnect`` is
    called once if the connection of the caller ends, or is closed in the caller's
    direction, before the answer.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_ms: int
    _connection: "_Connection"
    on_disconnect: Callable[[], None] | None = None
    is_answered: bool = False

    def answer(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = _JSON,
        headers: Sequence[tuple[str, str]] = (),
    ) -> None:
        """Answer; further answers, and one to a caller that is gone, are dropped."""
        if self.is_answered:
            return
        own_headers = [("Content-Type", content_type)] if body else []
        self._connection.answer(self, status, body, [*own_headers, *headers])
        self.is_answered = True


class HttpServer:
    """Listens, and calls ``handler`` with each whole request.

    ``limits`` is called anew for each request. ``budget`` bounds what all clients
    together may hold.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        handler: Callable[[HttpRequest], None],
        limits: Callable[[], HttpLimits],
        clock: Clock,
        budget: ClientBudget | None = None,
    ) -> None:
        self.open_requests = 0
        self.budget = budget
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.is_draining = False
        self._reactor = reactor
        self._ports: list[IListeningPort] = []
        self._connections: set[_Connection] = set()
        self._closed: Deferred[None] | None = None
        self._begun_count = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress and all answers are written."""
        return not self.open_requests and all(
            connection.is_idle for connection in self._connections
        )

    def listen(self, address: str, port: int) -> IListeningPort:
        """Accept connections on ``address`` and ``port``."""
        factory = _ConnectionFactory(self)
        listening = self._reactor.listenTCP(port, factory, interface=address)
        self._ports.append(listening)
        return listening

    def drain(self) -> None:
        """Close each connection after its current answer, idle ones at once.

        Requests that have arrived are read and answered first.
        """
        self.is_draining = True
        self._reactor.callLater(0, self._close_idle)

    def close(self) -> Deferred[None]:
        """Stop listening and drain; fires when all connections have ended."""
        self._closed = Deferred()
        ports, self._ports = self._ports, []
        for port in ports:
            port.stopListening()
        self.drain()
        return self._closed

    def abandon_requests(self, status: int, body: bytes) -> None:
        """Answer each open request, and tell the handler that its caller is gone."""
        for connection in list(self._connections):
            connection.abandon_request(status, body)

    def stop(self) -> Deferred[None]:
        """Stop listening and abort every connection."""
        ports, self._ports = self._ports, []
        stopping = [maybeDeferred(port.stopListening) for port in ports]
        for connection in list(self._connections):
            connection.abort()
        return DeferredList(stopping, consumeErrors=True).addCallback(lambda _: None)

    def may_begin(self) -> bool:
        """Return whether a connection may begin requests in this pass of the loop.

        Requests that were sent ahead over many connections could otherwise keep the
        loop from everything else for seconds.
        """
        return self._begun_count < _MAX_REQUESTS_PER_PASS

    def count_begun(self) -> None:
        """Count a request that was begun."""
        self._begun_count += 1
        if self._begun_count == _COUNTED_REQUESTS:
            self._reactor.callLater(0, self._begin_pass)

    def _begin_pass(self) -> None:
        self._begun_count = 0

    def new_connection(self) -> "_Connection":
        """Return the protocol of a connection that is being accepted."""
        return _Connection(self._reactor, self)

    def opened(self, connection: "_Connection") -> None:
        """Remember an open connection."""
        self._connections.add(connection)
        if self.budget is not None:
            self.budget.opened(connection)

    def closed(self, connection: "_Connection") -> None:
        """Forget a connection."""
        self._connections.discard(connection)
        if self.budget is not None:
            self.budget.closed(connection)
        self._note_closed()

    def _close_idle(self) -> None:
        for connection in list(self._connections):
            connection.close_if_idle()
        self._note_closed()

    def _note_closed(self) -> None:
        if self._closed is not None and not self._connections:
            closed, self._closed = self._closed, None
            closed.callback(None)


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, server: HttpServer) -> None:
        self._server = server

    def buildProtocol(self, addr: IAddress | None) -> "_Connection":  # noqa: N802
        return self._server.new_connection()


class _Phase(enum.Enum):
    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    HANDLING = enum.auto()
    CLOSING = enum.auto()


@implementer(IHalfCloseableProtocol, IPushProducer)
class _Connection(Protocol):
    """One accepted connection."""

    def __init__(self, reactor: IReactorTCP, server: HttpServer) -> None:
        self._server = server
        self._reactor = reactor
        self._deadline = Deadline(reactor, self._expired)
        self._phase = _Phase.IDLE
        self._limits = server.limits()
        self._buffer = bytearray()
        self._head: RequestHead | None = None
        self._body: Body | None = None
        self._request: HttpRequest | None = None
        self._is_advancing = False
        self._is_output_full = False
        self._is_reading = True

    def connectionMade(self) -> None:  # noqa: N802
        """Await the first request."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        probe_when_idle(self.transport, _PROBE_IDLE_S, _PROBE_INTERVAL_S, _PROBE_COUNT)
        self._deadline.set(self._limits.idle_timeout_ms)
        self._server.opened(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in a part of a request."""
        if self._phase is _Phase.CLOSING:
            return
        self._buffer += data
        self._advance()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close, as the caller will send nothing more and counts as gone."""
        self._buffer.clear()
        self._leave()
        self._close()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the end of what the caller still sends."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell the handler that the caller is gone."""
        self._phase = _Phase.CLOSING
        self._deadline.cancel()
        self._buffer.clear()
        self._server.closed(self)
        self._leave()

    def pauseProducing(self) -> None:  # noqa: N802
        """Begin no further request while the caller leaves answers unread."""
        self._is_output_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on with the requests that were sent ahead."""
        self._is_output_full = False
        self._advance()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, as the loss of the connection is told too."""

    def answer(
        self,
        request: HttpRequest,
        status: int,
        body: bytes,
        headers: Sequence[tuple[str, str]],
    ) -> None:
        """Write the answer to ``request`` unless its caller is gone."""
        if request is not self._request:
            return
        is_last = self._server.is_draining or _is_last(self._head)
        self._write_answer(status, body, headers, is_last)
        self._request = None
        self._server.open_requests -= 1
        if is_last:
            self._close()
            return
        self._await_request()
        self._advance()

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in progress and the connection isn't closing."""
        return self._phase is _Phase.IDLE and not self._buffer

    def close_if_idle(self) -> None:
        """Close unless a request is in progress."""
        if self.is_idle:
            self._close()

    def shed(self, cause: str) -> None:
        """Refuse an incomplete request and close, to make room for others."""
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            retry = ("Retry-After", _SHED_RETRY_S)
            self._refuse(503, f"too much {cause} in use; not run", retry)
        else:
            self.abort()

    def abandon_request(self, status: int, body: bytes) -> None:
        """Answer the open request, if any, as if its caller had disconnected."""
        request = self._request
        if request is None:
            return
        request.answer(status, body)
        if request.on_disconnect is not None:
            request.on_disconnect()

    def abort(self) -> None:
        """Close at once, whatever is in progress."""
        self._phase = _Phase.CLOSING
        self._deadline.cancel()
        self.transport.abortConnection()
        self._leave()

    def _await_request(self) -> None:
        self._phase = _Phase.IDLE
        if self._server.budget is not None:
            self._server.budget.answered(self)
        self._head = self._body = None
        self._deadline.set(self._server.limits().idle_timeout_ms)

    def _advance(self) -> None:
        # A handler may answer at once, which comes back here.
        if self._is_advancing:
            return
        if self._can_begin() and not self._server.may_begin():
            self._reactor.callLater(0, self._advance)
            return
        self._is_advancing = True
        try:
            while self._can_begin() and self._take_request():
                self._handle()
        except MalformedMessageError as fault:
            self._refuse(fault.status, fault.cause)
        finally:
            self._is_advancing = False
        self._bound_buffer()
        self._note_held()

    def _note_held(self) -> None:
        """Tell the budget what this connection holds of an incomplete request."""
        budget = self._server.budget
        if budget is None or self._phase in (_Phase.HANDLING, _Phase.CLOSING):
            return
        body = self._body
        held = len(self._buffer)
        if body is not None:
            # What was received of a body of known size is a part of it.
            held = max(held, body.held_bytes)
        if held or self._phase is not _Phase.IDLE:
            budget.received(self, held)

    def _can_begin(self) -> bool:
        is_taken_up = self._phase in (_Phase.HANDLING, _Phase.CLOSING)
        return bool(self._buffer) and not (is_taken_up or self._is_output_full)

    def _take_request(self) -> bool:
        """Go through the phases as far as the buffer reaches."""
        if self._phase is _Phase.IDLE:
            self._limits = self._server.limits()
        if self._phase is not _Phase.BODY and not self._take_head():
            return False
        body = self._body.take(self._buffer)
        if body is None:
            self._await_body()
            if self._body.has_more:
                self._reactor.callLater(0, self._advance)
            return False
        self._phase = _Phase.HANDLING
        if self._server.budget is not None:
            self._server.budget.handling(self)
        self._deadline.clear()
        self._request = HttpRequest(
            self._head.method,
            self._head.target,
            self._head.headers,
            body,
            self._server.clock.now_ms(),
            self,
        )
        return True

    def _take_head(self) -> bool:
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]
        limits = self._limits
        text = take_head(self._buffer, limits.max_header_bytes)
        if text is None:
            if self._buffer and self._phase is _Phase.IDLE:
                self._phase = _Phase.HEAD
                self._deadline.set(limits.header_timeout_ms)
            return False
        self._head = parse_request_head(text)
        self._body = request_body(
            self._head, limits.max_body_bytes, limits.max_header_bytes
        )
        return True

    def _await_body(self) -> None:
        if self._phase is _Phase.BODY:
            return
        self._phase = _Phase.BODY
        self._deadline.set(self._limits.body_timeout_ms)
        if _expects_continue(self._head) and not self._buffer:
            self.transport.write(_CONTINUE)

    def _handle(self) -> None:
        request = self._request
        self._server.count_begun()
        self._server.open_requests += 1
        try:
            self._server.handler(request)
        except Exception:
            _LOG.exception("the handler failed")
            request.answer(500)

    def _bound_buffer(self) -> None:
        """Stop reading while more is sent ahead than the head of a request.

        That a caller is gone is not noticed until reading goes on.
        """
        if self._phase is _Phase.CLOSING:
            return
        is_stopped = self._phase is _Phase.HANDLING or self._is_output_full
        is_over = len(self._buffer) > self._limits.max_header_bytes
        is_reading = not (is_stopped and is_over)
        if is_reading == self._is_reading:
            return
        self._is_reading = is_reading
        if is_reading:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def _expired(self) -> None:
        if self._phase is _Phase.HEAD:
            self._refuse(408, "the head took too long")
        elif self._phase is _Phase.BODY:
            self._refuse(408, "the body took too long")
        elif self._phase is _Phase.IDLE and not self._is_output_full:
            self._close()
        else:
            self.abort()

    def _refuse(self, status: int, cause: str, *headers: tuple[str, str]) -> None:
        """Answer to a request that is not understood, and close.

        The caller may still be sending. To close with unread bytes would reset the
        connection before the answer is read, so the rest is read and dropped.
        """
        body = f'{{"error": "{cause}"}}'.encode()
        own_headers = [("Content-Type", _JSON), *headers]
        self._write_answer(status, body, own_headers, is_last=True)
        self._begin_closing(_LINGER_MS)
        self.transport.loseWriteConnection()

    def _close(self) -> None:
        """Close once everything is written; drop what was sent ahead."""
        has_more = bool(self._buffer)
        if self._phase is not _Phase.CLOSING:
            self._begin_closing(self._limits.idle_timeout_ms)
        if has_more:
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()

    def _begin_closing(self, timeout_ms: float) -> None:
        self._phase = _Phase.CLOSING
        self._buffer.clear()
        self._body = None
        self._deadline.set(timeout_ms)
        self.transport.unregisterProducer()
        if not self._is_reading:
            self._is_reading = True
            self.transport.resumeProducing()

    def _leave(self) -> None:
        request, self._request = self._request, None
        if request is None:
            return
        self._server.open_requests -= 1
        if request.on_disconnect is not None:
            request.on_disconnect()

    def _write_answer(
        self,
        status: int,
        body: bytes,
        headers: Sequence[tuple[str, str]],
        is_last: bool,
    ) -> None:
        has_body = status not in (204, 304)
        own_headers = [("Content-Length", str(len(body)))] if has_body else []
        if is_last:
            own_headers.append(_CLOSE)
        first_line = f"HTTP/1.1 {status} {_PHRASES.get(status, 'Unknown')}"
        text = encode_head(first_line, own_headers, headers)
        is_head = self._head is not None and self._head.method == "HEAD"
        self.transport.write(text + body if has_body and not is_head else text)


def _is_last(head: RequestHead) -> bool:
    return head.minor_version == 0 or has_token(head.headers, "connection", "close")


def _expects_continue(head: RequestHead) -> bool:
    return head.minor_version == 1 and has_token(head.headers, "expect", "100-continue")
