"""Test fleet of meshes in one process, on a clock that tests advance."""

__all__ = ["Fleet", "FakeNetwork", "Recorder"]

import random

import attrs
from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.task import Clock as Reactor
from twisted.python.failure import Failure

from hibiscusstack.dispatch.messages import Heartbeat, Hello, HostName, Message
from hibiscusstack.host.dialing import PeerAddress
from hibiscusstack.host.mesh import Mesh
from hibiscusstack.host.mesh_interfaces import MeshTiming

LATENCY_S = 0.001


class FakeTransport:
    """One end of a byte stream; data arrives in order after ``LATENCY_S``."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.far = None
        self.protocol = None
        self.is_silent = False
        self.is_open = True
        self.written: list[bytes] = []

    def write(self, data):
        self.written.append(data)
        if not self.is_silent:
            self.reactor.callLater(LATENCY_S, self.far.deliver, data)

    def deliver(self, data):
        if self.is_open:
            self.protocol.dataReceived(data)

    def loseConnection(self):  # noqa: N802
        self._end()

    def abortConnection(self):  # noqa: N802
        self._end()

    def registerProducer(self, producer, streaming):  # noqa: N802
        self.producer = producer

    def unregisterProducer(self):  # noqa: N802
        self.producer = None

    def _end(self):
        if not self.is_open:
            return
        self.is_open = False
        self.reactor.callLater(0, self.report_lost)
        if not self.is_silent:
            self.reactor.callLater(LATENCY_S, self.far.close_by_peer)

    def close_by_peer(self):
        if self.is_open:
            self.is_open = False
            self.report_lost()

    def report_lost(self):
        self.protocol.connectionLost(Failure(ConnectionLost()))


@attrs.define
class FakePort:
    """A listening port with the requested number."""

    port: int

    def getHost(self):  # noqa: N802
        return IPv4Address("TCP", "127.0.0.1", self.port)


class FakeNetwork:
    """Streams between the meshes of a fleet, which tests can cut or silence."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.listeners = {}
        self.pairs: list[tuple[FakeTransport, FakeTransport]] = []
        self.is_cut = False
        self.dialled: list[int] = []

    def listen(self, address, port, build):
        """Register a listener."""
        self.listeners[port] = build
        return succeed(FakePort(port))

    def dial(self, address, port, build) -> Deferred:
        """Connect to a listener, or refuse if there is none or the network is cut."""
        self.dialled.append(port)
        if self.is_cut or port not in self.listeners:
            return fail(Refused())
        near, far = FakeTransport(self.reactor), FakeTransport(self.reactor)
        near.far, far.far = far, near
        near.protocol, far.protocol = build(), self.listeners[port]()
        self.pairs.append((near, far))
        far.protocol.makeConnection(far)
        near.protocol.makeConnection(near)
        return succeed(near.protocol)

    def open_pairs(self):
        """Return the streams with at least one open end."""
        return [pair for pair in self.pairs if pair[0].is_open or pair[1].is_open]

    def silence_all(self):
        """Stop delivery on all existing streams."""
        for near, far in self.pairs:
            near.is_silent = far.is_silent = True


@attrs.define
class Recorder:
    """Records the events of one mesh in order."""

    connected: list[HostName] = attrs.field(factory=list)
    disconnected: list[HostName] = attrs.field(factory=list)
    lost: list[HostName] = attrs.field(factory=list)
    messages: list[tuple[HostName, Message]] = attrs.field(factory=list)

    def build_heartbeat(self):
        """Return a constant heartbeat."""
        return Heartbeat(0, False, 0, 0, 0)

    def peer_connected(self, peer):
        """Record it."""
        self.connected.append(peer)

    def peer_disconnected(self, peer):
        """Record it."""
        self.disconnected.append(peer)

    def peer_lost(self, peer):
        """Record it."""
        self.lost.append(peer)

    def peer_message(self, sender, message):
        """Record it."""
        self.messages.append((sender, message))

    def received(self, message_type: type) -> list[Message]:
        """Return the received messages of one class."""
        return [
            message for _, message in self.messages if isinstance(message, message_type)
        ]


class ReactorClock:
    """Clock that returns the reactor's time in milliseconds."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor

    def now_ms(self) -> int:
        return round(self.reactor.seconds() * 1000)


class Fleet:
    """Meshes that have each other as seeds; each is identified by its port."""

    def __init__(
        self, size: int, seed: int = 1, data_centres: tuple[str, ...] = ("dc1",)
    ) -> None:
        self.data_centres = data_centres
        self.reactor = Reactor()
        self.network = FakeNetwork(self.reactor)
        self.seeds = [PeerAddress("127.0.0.1", port) for port in range(1, size + 1)]
        self.seed = seed
        self.timing = MeshTiming()
        self.meshes: dict[int, Mesh] = {}
        self.events: dict[int, Recorder] = {}
        for port in range(1, size + 1):
            self.start(port)

    def name(self, port: int, incarnation: int = 1) -> HostName:
        """Return the name of the host at ``port``."""
        data_centre = self.data_centres[port % len(self.data_centres)]
        return HostName(data_centre, f"host{port}", incarnation)

    def start(self, port: int, incarnation: int = 1) -> None:
        """Start a mesh at ``port``."""
        events = Recorder()
        hello = Hello(self.name(port, incarnation), "127.0.0.1", port)
        mesh = Mesh(
            hello=hello,
            events=events,
            network=self.network,
            reactor=self.reactor,
            clock=ReactorClock(self.reactor),
            seeds=self.seeds,
            timing=self.timing,
            rng=random.Random(self.seed + port),
        )
        mesh.listen()
        mesh.start()
        self.meshes[port], self.events[port] = mesh, events

    def run(self, duration_ms: int, step_ms: int = 2) -> None:
        """Advance the clock in small steps."""
        for _ in range(0, duration_ms, step_ms):
            self.reactor.advance(step_ms / 1000)
