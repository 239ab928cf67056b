"""A reactor for each host of a fleet, and streams between them in virtual time."""

__all__ = ["HostReactor", "Streams"]

import math
from collections.abc import Callable, Iterable

import attrs
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.error import TimeoutError as TimedOut
from twisted.python.failure import Failure

from hibiscusstack_standins.estate.network import Network


class Call:
    """A delayed call of a host that may be frozen or killed meanwhile."""

    def __init__(self, network: Network, party: str, delay_ms: int, action) -> None:
        self._is_active = True
        self._action = action
        self._timer = network.after(party, delay_ms, self._fire)

    def _fire(self) -> None:
        self._is_active = False
        self._action()

    def active(self) -> bool:
        """Tell whether the call is still to come."""
        return self._is_active

    def cancel(self) -> None:
        """Call it not."""
        self._is_active = False
        self._timer.cancel()


class End:
    """One end of a stream; bytes arrive in order, or after a cut is mended."""

    def __init__(self, streams: "Streams", owner: str) -> None:
        self.owner = owner
        self.far: End | None = None
        self.protocol = None
        self.is_open = True
        self.held: list[Callable[[], None]] = []
        self._streams = streams

    def write(self, data: bytes) -> None:
        """Send bytes to the far end."""
        self._streams.messages += 1
        self._streams.carry(self, lambda: self.far.protocol.dataReceived(data))

    def registerProducer(self, producer, streaming) -> None:  # noqa: N802
        """Never let the producer wait."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Never let the producer wait."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close both ends."""
        if self.is_open:
            self._streams.carry(self, self.far.lose)
            self._streams.network.after(self.owner, 0, self.lose)

    abortConnection = loseConnection  # noqa: N815

    def lose(self) -> None:
        """Tell the own protocol that the stream has ended."""
        if self.is_open:
            self.is_open = False
            self.protocol.connectionLost(Failure(ConnectionLost()))


@attrs.define
class Port:
    """A port that listens."""

    port: int

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return its address."""
        return IPv4Address("TCP", "127.0.0.1", self.port)


class Streams:
    """All streams between the hosts; ``listeners`` holds their owners by port.

    ``messages`` counts what was written to them.
    """

    def __init__(self, network: Network) -> None:
        self.network = network
        self.listeners: dict[int, tuple[str, object]] = {}
        self.cuts: set[frozenset[str]] = set()
        self.messages = 0
        self._ends: list[End] = []

    def carry(self, sender: End, action: Callable[[], None]) -> None:
        """Do something at the far end in its turn."""
        receiver = sender.far

        def arrive() -> None:
            if receiver.held or frozenset((sender.owner, receiver.owner)) in self.cuts:
                receiver.held.append(arrive)
            elif receiver.is_open:
                action()

        if sender.is_open:
            self.network.after(receiver.owner, 1, arrive)

    def mend(self) -> None:
        """End all cuts; what was held up arrives."""
        self.cuts.clear()
        self._release(self._ends)

    def mend_pairs(self, pairs: Iterable[frozenset[str]]) -> None:
        """End the cuts between some pairs; what was held up there arrives."""
        self.cuts.difference_update(pairs)
        freed = [
            end
            for end in self._ends
            if frozenset((end.owner, end.far.owner)) in set(pairs)
        ]
        self._release(freed)

    def _release(self, ends: Iterable[End]) -> None:
        for end in ends:
            held, end.held = end.held, []
            for arrive in held:
                self.network.after(end.owner, 1, arrive)

    def reset(self, pairs: Iterable[frozenset[str]]) -> None:
        """Break all streams between some pairs of hosts, noticed at both ends."""
        pairs = set(pairs)
        for end in self._ends:
            if frozenset((end.owner, end.far.owner)) in pairs:
                self.network.after(end.owner, 1, end.lose)

    def drop(self, owner: str, resets: bool) -> None:
        """Take away a host that was killed; its peers may notice it."""
        for port in [port for port, (name, _) in self.listeners.items()]:
            if self.listeners[port][0] == owner:
                del self.listeners[port]
        for end in [end for end in self._ends if end.owner == owner]:
            self._ends.remove(end)
            if resets:
                self.carry(end, end.far.lose)
            end.is_open = False

    def connect(self, caller: str, port: int, factory, timeout_ms: int) -> None:
        """Connect to a listener, or fail: across a cut only after the timeout."""
        owner, listening = self.listeners.get(port, (None, None))
        if owner is None:
            factory.clientConnectionFailed(None, Failure(Refused()))
            return
        if frozenset((caller, owner)) in self.cuts:
            timed_out = Failure(TimedOut())
            self.network.after(
                caller,
                timeout_ms,
                lambda: factory.clientConnectionFailed(None, timed_out),
            )
            return
        near, far = End(self, caller), End(self, owner)
        near.far, far.far = far, near
        self._ends += [near, far]
        near.protocol = factory.buildProtocol(None)
        far.protocol = listening.buildProtocol(None)
        self.network.after(owner, 0, lambda: far.protocol.makeConnection(far))
        near.protocol.makeConnection(near)


class HostReactor:
    """What one host uses of a reactor."""

    def __init__(self, streams: Streams, party: str) -> None:
        self._streams = streams
        self._party = party

    def now_ms(self) -> int:
        """Return the time of the fleet."""
        return self._streams.network.now_ms

    def seconds(self) -> float:
        """Return the time of the fleet in seconds."""
        return self.now_ms() / 1000

    def callLater(self, delay_s, function, *args, **named) -> Call:  # noqa: N802
        """Call a function later."""
        delay_ms = max(math.ceil(delay_s * 1000 - 1e-6), int(delay_s > 0))
        network = self._streams.network
        return Call(network, self._party, delay_ms, lambda: function(*args, **named))

    def listenTCP(self, port, factory, backlog=50, interface="") -> Port:  # noqa: N802
        """Listen for peers."""
        self._streams.listeners[port] = (self._party, factory)
        return Port(port)

    def connectTCP(  # noqa: N802
        self,
        host,
        port,
        factory,
        timeout=30,
        bindAddress=None,  # noqa: N803
    ) -> None:
        """Connect to a peer."""
        connect = self._streams.connect
        timeout_ms = round(timeout * 1000)
        self.callLater(0.002, connect, self._party, port, factory, timeout_ms)
