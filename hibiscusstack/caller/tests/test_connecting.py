"""Tests of the connections of clients."""

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from hibiscusstack.caller.attempts import Attempt, EntryClient, Lost, NotSent
from hibiscusstack.caller.client_settings import ClientSettings
from hibiscusstack.caller.connecting import connect_http


def start_attempt(host: str) -> tuple[MemoryReactorClock, list[object]]:
    reactor = MemoryReactorClock()
    http = connect_http(reactor, ClientSettings(connect_timeout_ms=700))
    entry = EntryClient(f"http://{host}:81", http, reactor)
    results: list[object] = []
    running = Deferred.fromCoroutine(entry.submit(Attempt({"id": "j1"}, 3_000)))
    running.addCallback(results.append)
    return reactor, results


def test_a_refused_connection_is_known_at_once() -> None:
    reactor, results = start_attempt("127.0.0.1")
    address, port, factory, timeout_s, _ = reactor.tcpClients[0]
    assert (address, port, timeout_s) == ("127.0.0.1", 81, 0.7)
    factory.clientConnectionFailed(reactor.connectors[0], Failure(RefusedError()))
    assert isinstance(results[0], NotSent)


def test_silence_after_the_request_proves_nothing() -> None:
    reactor, results = start_attempt("127.0.0.1")
    reactor.advance(3)
    assert isinstance(results[0], Lost)
    assert results[0].is_timeout
