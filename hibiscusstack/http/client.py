"""The client: one pool of kept connections for each address.

A request is written at most once. What became of it is a value: an answer, or that
nothing was written, or that it was written and no whole answer came.
"""

__all__ = [
    "AnswerLost",
    "HttpAnswer",
    "HttpClient",
    "NotSent",
    "OtherBody",
    "Outcome",
]

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.interfaces import IAddress, IConnector, IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from hibiscusstack.http.address import parse_address
from hibiscusstack.http.deadline import Deadline
from hibiscusstack.http.encoding import encode_head
from hibiscusstack.http.parsing import (
    METHODS_WITH_BODY,
    TARGET,
    TOKEN,
    AnswerHead,
    Body,
    EndlessBody,
    MalformedMessageError,
    answer_body,
    has_token,
    parse_answer_head,
    take_head,
)
from hibiscusstack.http.sockets import limit_unacknowledged

_MAX_HEAD_BYTES = 32 << 10
_MAX_UNACKNOWLEDGED_MS = 2_000
# How often a busy reactor reads before an answer counts as missing.
_LATE_PASSES = 3


@attrs.frozen
class HttpAnswer:
    """A whole answer; the names of its headers are in lower case.

    ``connection`` is the number of the connection on which it came. The connections of
    a client are numbered from 1 in the order in which they were opened.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    connection: int = attrs.field(default=0, eq=False)


@attrs.frozen
class NotSent:
    """Nothing of the request was written.

    With ``is_refused`` the address refused the connection.
    """

    cause: str
    is_refused: bool = False


@attrs.frozen
class AnswerLost:
    """The request was written and no whole answer came."""

    cause: str


Outcome = HttpAnswer | NotSent | AnswerLost


@attrs.frozen
class OtherBody:
    """The body to send over connections numbered above ``newest_connection``.

    A connection ends with the process at its other end. So what is meant for the
    process that has answered on some connection can be sent on this one or an earlier
    one, and something else on later ones.
    """

    newest_connection: int
    body: bytes


@attrs.define(eq=False)
class _Exchange:
    method: str
    request: bytes
    due_s: float
    outcome: Deferred[Outcome]
    timeout_s: float
    latest_s: float
    waiting: Deadline | None = None
    newest_connection: int | None = None
    encode_other: Callable[[], bytes] | None = None

    def take_request(self, connection: int) -> bytes:
        """Return the bytes to write to a connection, which are needed only once."""
        request, self.request = self.request, b""
        is_later = (
            self.newest_connection is not None and connection > self.newest_connection
        )
        return self.encode_other() if is_later else request

    def settle(self, outcome: Outcome) -> None:
        """Tell ``outcome`` to the caller of the request."""
        if self.waiting is not None:
            self.waiting.cancel()
            self.waiting = None
        self.outcome.callback(outcome)


@attrs.frozen
class _Settings:
    max_connections: int
    connect_timeout_ms: float
    max_idle_ms: float
    max_answer_bytes: int


class HttpClient:
    """Sends requests over at most ``max_connections`` connections to each address."""

    def __init__(
        self,
        reactor: IReactorTCP,
        *,
        max_connections: int = 16,
        connect_timeout_ms: float = 500,
        max_idle_ms: float = 10_000,
        max_answer_bytes: int = 8 << 20,
    ) -> None:
        self.connections_opened = 0
        self._reactor = reactor
        self._settings = _Settings(
            max_connections, connect_timeout_ms, max_idle_ms, max_answer_bytes
        )
        self._pools: dict[str, _Pool] = {}
        self._is_closed = False

    def request(  # noqa: PLR0917
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
        timeout_ms: float = 1000,
        max_time_ms: float = 0,
        other_body: OtherBody | None = None,
    ) -> Deferred[Outcome]:
        """Send a request to ``address``, ``IP:PORT``; the Deferred never fails.

        The time for a connection to become free counts into ``timeout_ms``. An answer
        whose parts arrive within ``timeout_ms`` of each other may take longer, up to
        ``max_time_ms`` in all. ``other_body`` replaces ``body`` on later connections.
        """
        if self._is_closed:
            return succeed(NotSent("the client is closed"))
        try:
            request = _encode_request(address, method, target, body, headers)
            pool = self._pools.get(address) or self._new_pool(address)
        except ValueError as fault:
            return succeed(NotSent(str(fault)))
        timeout_ms = max(timeout_ms, 0)
        now_s, timeout_s = self._reactor.seconds(), timeout_ms / 1000
        due_s, latest_s = now_s + timeout_s, now_s + max_time_ms / 1000
        exchange = _Exchange(method, request, due_s, Deferred(), timeout_s, latest_s)
        if other_body is not None:
            exchange.newest_connection = other_body.newest_connection
            exchange.encode_other = partial(
                _encode_request, address, method, target, other_body.body, headers
            )
        pool.start(exchange, timeout_ms)
        return exchange.outcome

    def count(self, address: str) -> int:
        """Return the number of connections to ``address``, opening ones included."""
        pool = self._pools.get(address)
        return 0 if pool is None else pool.count()

    def close_address(self, address: str) -> None:
        """Abort every connection to ``address``; requests that wait are not sent."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Abort every connection and refuse further requests."""
        self._is_closed = True
        for address in list(self._pools):
            self.close_address(address)

    def _new_pool(self, address: str) -> "_Pool":
        pool = _Pool(self._reactor, address, self._settings)
        pool.on_opened = self._count_opened
        pool.on_empty = self._drop
        self._pools[address] = pool
        return pool

    def _count_opened(self) -> int:
        self.connections_opened += 1
        return self.connections_opened

    def _drop(self, pool: "_Pool") -> None:
        if self._pools.get(pool.address) is pool:
            del self._pools[pool.address]


class _Pool:
    """The connections to one address and the requests that wait for one."""

    def __init__(self, reactor: IReactorTCP, address: str, settings: _Settings) -> None:
        self.address = address
        self.on_opened: Callable[[], int] = _no_number
        self.on_empty: Callable[[_Pool], None] = _nothing
        self._host, self._port = parse_address(address)
        self._reactor = reactor
        self._settings = settings
        self._open: set[_Connection] = set()
        self._idle: list[_Connection] = []
        self._attempts: set[_Attempt] = set()
        self._waiting: deque[_Exchange] = deque()

    def count(self) -> int:
        return len(self._open) + len(self._attempts)

    def start(self, exchange: _Exchange, timeout_ms: float) -> None:
        """Send ``exchange`` over the connection used last, or let it wait."""
        if self._idle:
            self._idle.pop().send(exchange)
            return
        exchange.waiting = Deadline(
            self._reactor, partial(self._give_up, exchange), late_passes=_LATE_PASSES
        )
        exchange.waiting.set(timeout_ms)
        self._waiting.append(exchange)
        self._connect_if_needed()

    def close(self) -> None:
        """Abort everything."""
        self.on_empty = _nothing
        waiting, self._waiting = self._waiting, deque()
        attempts, self._attempts = self._attempts, set()
        for attempt in attempts:
            attempt.abort()
        for connection in list(self._open):
            connection.abort("the connections to the address were closed")
        for exchange in waiting:
            exchange.settle(NotSent("the connections to the address were closed"))

    def is_awaited(self, attempt: "_Attempt") -> bool:
        return attempt in self._attempts

    def connected(self, attempt: "_Attempt", connection: "_Connection") -> None:
        self._attempts.discard(attempt)
        self._open.add(connection)
        connection.number = self.on_opened()
        self.release(connection)

    def failed(self, attempt: "_Attempt", outcome: NotSent) -> None:
        """Give the request that has waited longest the failure to connect."""
        if attempt not in self._attempts:
            return
        self._attempts.discard(attempt)
        exchange = self._waiting.popleft() if self._waiting else None
        self._connect_if_needed()
        if exchange is not None:
            exchange.settle(outcome)
        self._tell_if_empty()

    def release(self, connection: "_Connection") -> None:
        """Let a connection carry the next request, or keep it."""
        if self._waiting:
            connection.send(self._waiting.popleft())
        else:
            connection.rest(self._settings.max_idle_ms)
            self._idle.append(connection)

    def closed(self, connection: "_Connection") -> None:
        """Forget a connection, and open another one if requests wait."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._connect_if_needed()
        self._tell_if_empty()

    def _connect_if_needed(self) -> None:
        is_short = len(self._attempts) < len(self._waiting)
        if is_short and self.count() < self._settings.max_connections:
            attempt = _Attempt(self)
            self._attempts.add(attempt)
            attempt.connector = self._reactor.connectTCP(
                self._host,
                self._port,
                attempt,
                timeout=self._settings.connect_timeout_ms / 1000,
            )

    def _give_up(self, exchange: _Exchange) -> None:
        exchange.waiting = None
        self._waiting.remove(exchange)
        exchange.settle(NotSent("no connection in time"))

    def _tell_if_empty(self) -> None:
        if not (self._open or self._attempts or self._waiting):
            self.on_empty(self)

    def new_connection(self) -> "_Connection":
        return _Connection(self._reactor, self, self._settings.max_answer_bytes)


class _Attempt(ClientFactory):
    """One try to connect."""

    noisy = False

    def __init__(self, pool: _Pool) -> None:
        self.connector: IConnector | None = None
        self.pool = pool

    def buildProtocol(self, addr: IAddress | None) -> "_Connection | None":  # noqa: N802
        """Return the connection, unless nobody wants it any more."""
        if not self.pool.is_awaited(self):
            return None
        connection = self.pool.new_connection()
        connection.attempt = self
        return connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: IConnector, reason: Failure
    ) -> None:
        """Tell the pool."""
        cause = reason.getErrorMessage() or reason.type.__name__
        is_refused = reason.check(ConnectionRefusedError) is not None
        self.pool.failed(self, NotSent(cause, is_refused))

    def abort(self) -> None:
        """Stop connecting."""
        if self.connector is not None:
            self.connector.stopConnecting()


class _Connection(Protocol):
    """A connection that closes at the first byte that no request asked for."""

    def __init__(
        self, reactor: IReactorTCP, pool: _Pool, max_answer_bytes: int
    ) -> None:
        self.attempt: _Attempt | None = None
        self.number = 0
        self._reactor = reactor
        self._pool = pool
        self._max_answer_bytes = max_answer_bytes
        self._deadline = Deadline(reactor, self._expired, late_passes=_LATE_PASSES)
        self._buffer = bytearray()
        self._exchange: _Exchange | None = None
        self._head: AnswerHead | None = None
        self._body: Body | None = None
        self._is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests at once."""
        self._is_open = True
        self.transport.setTcpNoDelay(True)
        limit_unacknowledged(self.transport, _MAX_UNACKNOWLEDGED_MS)
        attempt, self.attempt = self.attempt, None
        self._pool.connected(attempt, self)

    def send(self, exchange: _Exchange) -> None:
        """Write the request of ``exchange`` and wait for its answer."""
        if exchange.waiting is not None:
            exchange.waiting.cancel()
            exchange.waiting = None
        self._exchange = exchange
        missing_s = max(0, exchange.due_s - self._reactor.seconds())
        self._deadline.set(missing_s * 1000)
        self.transport.write(exchange.take_request(self.number))

    def rest(self, max_idle_ms: float) -> None:
        """Close when no request comes within ``max_idle_ms``."""
        self._deadline.set(max_idle_ms)

    def abort(self, cause: str) -> None:
        """Close at once; an exchange in progress is lost."""
        if self._is_open:
            self.transport.abortConnection()
            self._end(AnswerLost(cause))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in a part of the answer that is waited for."""
        if not self._is_open:
            return
        if self._exchange is None:
            self.abort("bytes that no request asked for")
            return
        self._buffer += data
        try:
            body = self._take_answer()
        except MalformedMessageError as fault:
            self.abort(f"refused answer: {fault.cause}")
            return
        if body is not None:
            self._answered(body)
        else:
            self._extend_deadline()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the loss, or the answer that ends with its connection."""
        if not self._is_open:
            return
        if isinstance(self._body, EndlessBody) and reason.check(ConnectionDone):
            self._end(self._answer(self._body.end()))
        else:
            self._end(AnswerLost(reason.getErrorMessage()))

    def _extend_deadline(self) -> None:
        """Give the rest of an answer that is arriving more time, within its limit."""
        exchange, now_s = self._exchange, self._reactor.seconds()
        due_s = min(now_s + exchange.timeout_s, exchange.latest_s)
        if due_s > exchange.due_s:
            exchange.due_s = due_s
            self._deadline.set((due_s - now_s) * 1000)

    def _expired(self) -> None:
        self.abort("no whole answer in time")

    def _take_answer(self) -> bytes | None:
        while self._head is None:
            text = take_head(self._buffer, _MAX_HEAD_BYTES)
            if text is None:
                return None
            head = parse_answer_head(text)
            if head.status == 101:
                raise MalformedMessageError(400, "switch to another protocol")
            if head.status >= 200:
                self._head = head
                self._body = answer_body(
                    head, self._exchange.method, self._max_answer_bytes, _MAX_HEAD_BYTES
                )
        return self._body.take(self._buffer)

    def _answered(self, body: bytes) -> None:
        answer = self._answer(body)
        is_last = self._head.minor_version == 0 or self._buffer
        if is_last or has_token(self._head.headers, "connection", "close"):
            self.transport.loseConnection()
            self._end(answer)
            return
        exchange, self._exchange = self._exchange, None
        self._head = self._body = None
        self._pool.release(self)
        exchange.settle(answer)

    def _answer(self, body: bytes) -> HttpAnswer:
        head = self._head
        return HttpAnswer(head.status, head.headers, body, self.number)

    def _end(self, outcome: Outcome) -> None:
        self._is_open = False
        self._deadline.cancel()
        self._buffer.clear()
        self._head = self._body = None
        exchange, self._exchange = self._exchange, None
        self._pool.closed(self)
        if exchange is not None:
            exchange.settle(outcome)


def _nothing(*_: object) -> None:
    """Do nothing."""


def _no_number() -> int:
    return 0


def _encode_request(
    address: str,
    method: str,
    target: str,
    body: bytes,
    headers: Sequence[tuple[str, str]],
) -> bytes:
    if TOKEN.fullmatch(method) is None or TARGET.fullmatch(target) is None:
        raise ValueError(f"malformed request line: {method!r} {target!r}")
    own_headers = [("Host", address)]
    if body or method in METHODS_WITH_BODY:
        own_headers.append(("Content-Length", str(len(body))))
    return encode_head(f"{method} {target} HTTP/1.1", own_headers, headers) + body
