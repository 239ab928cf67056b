"""Tests of the HTTP face, on transports in memory and in virtual time."""

import json

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.protocols.portforward import ProxyServer
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.server import Site

from hibiscusstack_standins.estate import serving
from hibiscusstack_standins.estate.balancer import EdgeNode, Rotation
from hibiscusstack_standins.estate.jobs import Catalog, Job, Step
from hibiscusstack_standins.estate.log_store import LogStore, read_page
from hibiscusstack_standins.estate.records import frame
from hibiscusstack_standins.estate.serving import HttpResource, ServiceDriver
from hibiscusstack_standins.estate.store_service import (
    LostAnswers,
    Outage,
    StoreService,
)
from hibiscusstack_standins.estate.worker import Worker, WorkerPlan

JOB = "5c0e7a21d94b36f8"


class Connection:
    """One connection to a service, with the bytes that came back."""

    def __init__(self, service, host="127.0.0.9"):
        self.reactor = MemoryReactorClock()
        self.driver = ServiceDriver(self.reactor, service)
        site = Site(HttpResource(self.driver, {"127.0.0.1": "operator"}))
        site.noisy = False
        address = IPv4Address("TCP", host, 4_000)
        self.transport = StringTransport(peerAddress=address)
        self.protocol = site.buildProtocol(address)
        self.protocol.callLater = self.reactor.callLater
        self.protocol.makeConnection(self.transport)

    def send(self, method, target, body=b""):
        """Send one request."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: x\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        self.protocol.dataReceived(head.encode() + data)

    def ask(self, method, target, body=b"", after_s=0.01):
        """Send one request and return the status and the body of its answer."""
        self.transport.clear()
        self.send(method, target, body)
        self.reactor.advance(after_s)
        head, _, content = self.transport.value().partition(b"\r\n\r\n")
        return int(head.split()[1]), content

    def close(self):
        """Let the client go."""
        self.protocol.connectionLost(Failure(ConnectionLost()))


def test_records_are_appended_and_read():
    connection = Connection(StoreService(LogStore()))
    data = frame([b"a", b"b"])
    answer = connection.ask("POST", "/log-append?topic=t&part=0&at=0", data)
    assert (answer[0], json.loads(answer[1])) == (200, {"offset": 0, "end": 2})
    answer = connection.ask("POST", "/log-append?topic=t&part=0&at=0", data)
    assert (answer[0], json.loads(answer[1])) == (412, {"end": 2})
    status, page = connection.ask("GET", "/log-read?topic=t&part=0&from=1")
    assert (status, read_page(page)) == (200, (2, 0, [b"b"]))


def test_callers_are_known_by_their_address():
    data = frame([b"\1kv"])
    target = "/log-append?topic=keyed.op&part=0"
    store = StoreService(LogStore())
    assert Connection(store).ask("POST", target, data)[0] == 403
    operator = Connection(store, host="127.0.0.1")
    assert operator.ask("POST", target, data)[0] == 200


def test_a_waiting_read_is_answered_when_its_time_is_over():
    connection = Connection(StoreService(LogStore()))
    target = "/log-read?topic=t&part=0&from=0&wait_ms=500"
    connection.send("GET", target)
    connection.reactor.advance(0.4)
    assert connection.transport.value() == b""
    connection.reactor.advance(0.2)
    assert connection.transport.value().startswith(b"HTTP/1.1 200")


def test_a_client_that_left_is_forgotten():
    connection = Connection(StoreService(LogStore()))
    connection.send("GET", "/log-read?topic=t&part=0&from=0&wait_ms=500")
    connection.close()
    connection.reactor.advance(1)
    assert connection.transport.value() == b""


def test_a_lost_answer_leaves_the_connection_silent():
    store = StoreService(LogStore())
    store.lost_answers = LostAnswers(share=1.0)
    connection = Connection(store)
    connection.send("POST", "/log-append?topic=t&part=0", frame([b"a"]))
    store.lost_answers = None
    connection.send("GET", "/log-read?topic=t&part=0&from=0")
    connection.reactor.advance(10)
    assert connection.transport.value() == b""
    assert not connection.transport.disconnecting
    assert store.store.calls == {"/log-append": 1}


def test_an_outage_can_reset_connections():
    store = StoreService(LogStore())
    store.set_outages(0, [Outage("reset")])
    connection = Connection(store)
    connection.send("GET", "/log-read?topic=t&part=0&from=0")
    assert connection.transport.disconnected


def test_a_worker_runs_a_task_over_http():
    catalog = Catalog(Job(JOB, steps=(Step(work_ms=100),)))
    connection = Connection(Worker(WorkerPlan("w1"), catalog))
    task = f"{JOB}.0.0.0"
    start = {"task": task, "run": 1, "spec": "", "until_ms": 900, "fencing_token": 1}
    status, body = connection.ask("POST", "/run-start", start)
    assert (status, json.loads(body)) == (200, {"clock_ms": 0, "born": 0})
    hold = {"fencing_token": 1, "wait_ms": 1_000}
    status, body = connection.ask("POST", "/hold", hold, after_s=0.2)
    assert json.loads(body)["ended"] == [[1, task, 1, "done", ""]]


def test_bodies_that_are_no_json_are_refused():
    connection = Connection(Worker(WorkerPlan("w1")))
    assert connection.ask("POST", "/hold", b"{")[0] == 400
    assert connection.ask("POST", "/hold", b"[1]")[0] == 400
    assert connection.ask("POST", "/hold?x=%ff", b"{}")[0] == 400


@pytest.mark.parametrize("has_node", [True, False])
def test_connections_are_forwarded_to_a_node(has_node):
    reactor = MemoryReactorClock()
    nodes = [EdgeNode("e1", "a", "10.1.0.13:8161")] if has_node else []
    serving.balance(reactor, Rotation(nodes, {}), "a")
    factory = reactor.tcpServers[0][1]
    protocol = factory.buildProtocol(IPv4Address("TCP", "127.0.0.1", 4_000))
    transport = StringTransport()
    if not has_node:
        protocol.makeConnection(transport)
        assert transport.disconnected
        return
    assert isinstance(protocol, ProxyServer)
    protocol.reactor = reactor
    protocol.makeConnection(transport)
    assert reactor.tcpClients[0][:2] == ("10.1.0.13", 8_161)


class ScriptedAgent:
    """An agent whose nodes answer with a status, or not at all for 0."""

    def __init__(self, statuses):
        self.statuses = statuses

    def request(self, method, uri):
        """Return the answer of a node."""
        status = self.statuses[uri.decode()]
        return succeed(ScriptedResponse(status)) if status else Deferred()


class ScriptedResponse:
    """A response without a body."""

    length = 0

    def __init__(self, code):
        self.code = code
        self.phrase = b""

    def deliverBody(self, protocol):  # noqa: N802
        """End the body at once."""
        protocol.connectionLost(Failure(ResponseDone()))


@pytest.mark.parametrize("status", [503, 0])
def test_nodes_that_are_not_ready_leave_the_rotation(status):
    reactor = MemoryReactorClock()
    nodes = [EdgeNode(f"e{n}", "a", readiness=f"10.1.0.{n}:80") for n in range(2)]
    rotation = Rotation(nodes, {})
    statuses = {"http://10.1.0.0:80/ready": status, "http://10.1.0.1:80/ready": 200}
    probing = serving.probe_ready(reactor, rotation, ScriptedAgent(statuses))
    reactor.pump([0.5] * 5)
    names = {rotation.choose(f"c{n}", "a").name for n in range(50)}
    assert names == {"e1"}
    statuses["http://10.1.0.0:80/ready"] = 200
    reactor.pump([0.5] * 2)
    names = {rotation.choose(f"c{n}", "a").name for n in range(50)}
    assert names == {"e0", "e1"}
    probing.stop()
