"""The services of the estate over HTTP/1.1 on real sockets."""

__all__ = ["HttpResource", "ServiceDriver", "balance", "probe_ready", "serve"]

import json
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort, IReactorTCP, IReactorTime
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall
from twisted.protocols.portforward import ProxyFactory, ProxyServer
from twisted.web import http
from twisted.web.client import Agent, readBody
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from hibiscusstack_standins.estate.balancer import EdgeNode, Rotation
from hibiscusstack_standins.estate.messages import (
    Answer,
    Outcome,
    Request,
    Service,
    Unanswered,
)
from hibiscusstack_standins.serving import answer_json, listen

_RAW_PATHS = frozenset({"/log-append"})
_READY_INTERVAL_S = 1.0
_OK = 200

OnOutcome = Callable[[Outcome], None]


class ServiceDriver:
    """Gives a service its calls and the reactor's time, and takes its answers.

    ``now_ms`` never goes back, also when the time of day does. Whoever changes a
    service by other means, as a fault or a gang's member on another worker does, has
    to call :meth:`pump`.
    """

    def __init__(self, reactor: IReactorTime, service: Service) -> None:
        self.service = service
        self._reactor = reactor
        self._now_ms = 0
        self._last_ticket = 0
        self._open: dict[int, OnOutcome] = {}
        self._wake = None

    @property
    def now_ms(self) -> int:
        """Return the time in milliseconds."""
        self._now_ms = max(self._now_ms, int(self._reactor.seconds() * 1000))
        return self._now_ms

    def submit(self, request: Request, on_outcome: OnOutcome) -> int:
        """Hand a call to the service; return the ticket to withdraw it by."""
        self._last_ticket += 1
        ticket = self._last_ticket
        self._open[ticket] = on_outcome
        self.service.submit(self.now_ms, ticket, request)
        self.pump()
        return ticket

    def withdraw(self, ticket: int) -> None:
        """Forget who waits for an answer."""
        self._open.pop(ticket, None)

    def pump(self) -> None:
        """Let the service do what is due; call this after any change to it."""
        for ticket, outcome in self.service.advance(self.now_ms):
            on_outcome = self._open.pop(ticket, None)
            if on_outcome is not None:
                on_outcome(outcome)
        self._wake_later()

    def _wake_later(self) -> None:
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        due_ms = self.service.next_due_ms()
        if due_ms is not None:
            delay_s = max(1, due_ms - self.now_ms) / 1000
            self._wake = self._reactor.callLater(delay_s, self.pump)


class HttpResource(Resource):
    """Serves one service; a caller is known by its address.

    ``names`` gives the name of a caller by its address, where it has another.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self, driver: ServiceDriver, names: dict[str, str] | None = None
    ) -> None:
        super().__init__()
        self._driver = driver
        self._names = names or {}

    def render(self, request: http.Request) -> int:
        """Take one call."""
        call = self._read(request)
        if call is None:
            return answer_json(request, 400, {})
        ticket = self._driver.submit(call, lambda outcome: _answer(request, outcome))
        if not request.finished:
            gone = request.notifyFinish()
            gone.addErrback(lambda _: self._driver.withdraw(ticket))
        return NOT_DONE_YET

    def _read(self, request: http.Request) -> Request | None:
        path = request.path.decode("ascii", "replace")
        data = request.content.read()
        try:
            body = data if path in _RAW_PATHS else json.loads(data or b"{}")
            query = {k.decode(): v[-1].decode() for k, v in request.args.items()}
        except (ValueError, RecursionError):
            return None
        headers = {
            name.decode("latin-1"): values[-1].decode("latin-1")
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        address = request.getClientAddress().host
        caller = self._names.get(address, address)
        method = request.method.decode("ascii", "replace")
        return Request(path, body, query, headers, caller, method)


def _answer(request: http.Request, outcome: Outcome) -> None:
    if isinstance(outcome, Unanswered):
        # A silent connection stays open; its next request waits behind this one.
        if outcome.cause != "silent":
            request.transport.abortConnection()
        return
    if isinstance(outcome.body, bytes):
        _answer_raw(request, outcome)
    else:
        answer_json(request, outcome.status, outcome.body)


def _answer_raw(request: http.Request, answer: Answer) -> None:
    request.setResponseCode(answer.status)
    request.setHeader(b"content-type", b"application/octet-stream")
    request.setHeader(b"content-length", str(len(answer.body)).encode())
    request.write(answer.body)
    request.finish()


def serve(
    reactor: IReactorTCP,
    driver: ServiceDriver,
    address: str = "127.0.0.1",
    port: int = 0,
    names: dict[str, str] | None = None,
) -> IListeningPort:
    """Listen for the calls of a service."""
    site = Site(HttpResource(driver, names), reactor=reactor)
    site.noisy = False
    return listen(reactor, site, address, port)


class _Refused(Protocol):
    """A connection for which there is no node."""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.abortConnection()


class _BalancedFactory(Factory):
    noisy = False

    def __init__(self, rotation: Rotation, zone: str) -> None:
        self._rotation = rotation
        self._zone = zone

    def buildProtocol(self, address) -> Protocol:  # noqa: N802
        node = self._rotation.choose(f"{address.host}:{address.port}", self._zone)
        if node is None:
            return _Refused()
        host, _, port = node.frontend.rpartition(":")
        protocol = ProxyServer()
        protocol.factory = ProxyFactory(host, int(port))
        return protocol


def balance(
    reactor: IReactorTCP,
    rotation: Rotation,
    zone: str,
    address: str = "127.0.0.1",
    port: int = 0,
) -> IListeningPort:
    """Forward the connections of a zone's clients to the nodes in rotation."""
    return listen(reactor, _BalancedFactory(rotation, zone), address, port)


def probe_ready(
    reactor: IReactorTime, rotation: Rotation, agent: Agent | None = None
) -> LoopingCall:
    """Ask every node once per second whether it is ready, until stopped."""
    agent = agent or Agent(reactor, connectTimeout=_READY_INTERVAL_S)

    def probe_all() -> None:
        for node in rotation.nodes:
            _probe(reactor, rotation, agent, node)

    probing = LoopingCall(probe_all)
    probing.clock = reactor
    probing.start(_READY_INTERVAL_S)
    return probing


def _probe(
    reactor: IReactorTime, rotation: Rotation, agent: Agent, node: EdgeNode
) -> Deferred[None]:
    uri = f"http://{node.readiness}/ready".encode()
    asked = agent.request(b"GET", uri)
    asked.addCallback(
        lambda response: readBody(response).addCallback(lambda _: response.code)
    )
    asked.addTimeout(_READY_INTERVAL_S, reactor)
    return asked.addCallbacks(
        lambda status: rotation.note(node.name, status == _OK),
        lambda _: rotation.note(node.name, False),
    )
