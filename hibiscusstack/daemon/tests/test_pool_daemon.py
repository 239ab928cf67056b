"""The life of a host of pools: where it listens, and its planned stop."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from hibiscusstack.clock import ManualClock
from hibiscusstack.daemon.pool_daemon import PoolDaemon, PoolDaemonComponents
from hibiscusstack.http.server import HttpLimits, HttpServer
from hibiscusstack.http.tests.network import Reactor

ADDRESSES = ("127.0.0.1:8001", "127.0.0.1:8002", "127.0.0.1:8003")


class BusyReactor(Reactor):
    """A reactor on which one port is taken, and that notes its stop."""

    busy_port = 0
    is_stopped = False

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        """Listen unless the port is taken."""
        if port == self.busy_port:
            raise CannotListenError(interface, port, "in use")
        return super().listenTCP(port, factory, backlog, interface)

    def stop(self):
        """Note the stop."""
        self.is_stopped = True


class Host:
    """A host that notes what it is told."""

    is_draining = False
    is_started = False
    coordinator = None

    def start(self):
        """Note the start."""
        self.is_started = True

    def drain(self):
        """Note the drain."""
        self.is_draining = True


class SilentLog:
    """A log that never answers."""

    def read_newest(self, topic):
        """Leave the call open."""
        return Deferred()


def build(reactor, addresses=ADDRESSES):
    servers = [
        HttpServer(reactor, lambda request: None, HttpLimits, ManualClock())
        for _ in addresses
    ]
    host = Host()
    callers, balancer, operators = zip(servers, addresses, strict=True)
    parts = PoolDaemonComponents(
        log=SilentLog(),
        decode_routes=lambda record: None,
        decode_target=lambda record: None,
        callers=callers,
        balancer=balancer,
        operators=operators,
        leave_ms=400,
        drain_timeout_ms=900,
    )
    return PoolDaemon(reactor, host, None, parts), host, servers[0]


def ports(reactor):
    return [server[0] for server in reactor.tcpServers]


def test_callers_balancer_and_operators_have_an_address_each():
    reactor = BusyReactor()
    edge, host, _ = build(reactor)
    edge.start()
    assert ports(reactor) == [8001, 8002, 8003]
    assert host.is_started


@pytest.mark.parametrize("is_busy", [True, False])
def test_a_host_works_without_operators(is_busy):
    reactor = BusyReactor()
    reactor.busy_port = 8003 if is_busy else 0
    edge, host, _ = build(reactor, (*ADDRESSES[:2], "127.0.0.1:8003" * is_busy))
    edge.start()
    assert ports(reactor) == [8001, 8002]
    assert host.is_started


def test_a_host_does_not_start_without_callers():
    reactor = BusyReactor()
    reactor.busy_port = 8001
    edge, host, _ = build(reactor)
    with pytest.raises(CannotListenError):
        edge.start()
    assert not host.is_started


def stop_after_ms(reactor, edge):
    """Return after how long a planned stop ends, in steps of the check."""
    edge.stop_requested()
    for step in range(1, 40):
        reactor.advance(0.05)
        if reactor.is_stopped:
            return step * 50
    return None


def test_a_planned_stop_leaves_the_balancer_time():
    reactor = BusyReactor()
    edge, host, _ = build(reactor)
    assert stop_after_ms(reactor, edge) == 400
    assert host.is_draining


def test_a_planned_stop_waits_for_callers_and_for_the_next_coordinator():
    reactor = BusyReactor()
    edge, host, callers = build(reactor)
    host.coordinator = object()
    callers.open_requests = 1
    reactor.callLater(0.52, setattr, callers, "open_requests", 0)
    reactor.callLater(0.62, setattr, host, "coordinator", None)
    assert stop_after_ms(reactor, edge) == 650


def test_a_planned_stop_ends_in_time():
    reactor = BusyReactor()
    edge, _, callers = build(reactor)
    callers.open_requests = 1
    assert stop_after_ms(reactor, edge) == 900
