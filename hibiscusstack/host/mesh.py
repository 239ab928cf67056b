"""The connections of one host with all its peers."""

__all__ = ["Mesh"]

import random
from collections.abc import Callable, Iterable

import attrs
from eliot import log_message
from expression import Error, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IListeningPort, IReactorTime
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from hibiscusstack.clock import Clock
from hibiscusstack.dispatch.messages import Hello, HostName, Message
from hibiscusstack.host.connection import (
    Connection,
    NotConnected,
    SendBufferFull,
    SendFailure,
    accept_connection,
    dial_connection,
)
from hibiscusstack.host.dialing import AddressBook, PeerAddress
from hibiscusstack.host.liveness import Liveness
from hibiscusstack.host.mesh_interfaces import MeshEvents, MeshTiming
from hibiscusstack.host.network import Network
from hibiscusstack.host.sessions import HelloRefused, Refusal, SessionTable

DIAL_INTERVAL_MS = 100
MAX_UNSENT_BYTES = 16 * 1024 * 1024


@attrs.define
class _Link:
    """What is known of one connection, before and after its first message."""

    heard_ms: int
    dialled: PeerAddress | None = None
    peer: HostName | None = None


class Mesh:
    """The connections of one host with all its peers, one for each.

    The peers' addresses come from the seeds of the settings, the platform's live
    list, and the peers' own first messages. A connection that fails loses what was
    in transit on it, in both directions. The next one is told by ``peer_connected``,
    and nothing that the earlier one carried is delivered after that.
    """

    def __init__(
        self,
        *,
        hello: Hello,
        events: MeshEvents,
        network: Network,
        reactor: IReactorTime,
        clock: Clock,
        seeds: Iterable[PeerAddress] = (),
        timing: MeshTiming | None = None,
        rng: random.Random | None = None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        self._hello = hello
        self._events = events
        self._network = network
        self._clock = clock
        self._timing = timing or MeshTiming()
        self._max_unsent_bytes = max_unsent_bytes
        self._book = AddressBook(
            seeds, rng or random.Random(), self._timing.longest_dial_delay_ms
        )
        self._links: dict[Connection, _Link] = {}
        self._liveness = Liveness(
            self._timing, hello.sender.data_centre, clock.now_ms()
        )
        self._sessions: SessionTable[Connection] = SessionTable(
            hello.sender, self._liveness.lost_after_ms
        )
        self._beating = _looping_call(reactor, self._beat)
        self._dialling = _looping_call(reactor, self._dial_due)

    def listen(self) -> Deferred[IListeningPort]:
        """Start to accept connections at the address of this host's hello."""
        return self._network.listen(
            self._hello.address, self._hello.port, self._build_accepted
        ).addCallback(self._listening)

    def start(self) -> None:
        """Start to dial peers and to send heartbeats."""
        self._beating.start(self._timing.heartbeat_ms / 1000)
        self._dialling.start(DIAL_INTERVAL_MS / 1000)

    def stop(self) -> None:
        """Close every connection, after all that was sent on it."""
        for call in (self._beating, self._dialling):
            if call.running:
                call.stop()
        for connection in list(self._links):
            connection.close("stopping")

    def replace_listed(self, addresses: Iterable[PeerAddress]) -> None:
        """Take over the dispatcher hosts of a newer live list."""
        self._book.replace_listed(addresses)

    def send(self, peer: HostName, message: Message) -> Result[None, SendFailure]:
        """Send to exactly this incarnation, or return why nothing was written.

        A connection whose peer does not read is retired: what it carried is then
        settled anew over the next one.
        """
        connection = self._sessions.connection_to(peer)
        if connection is None:
            return Error(NotConnected())
        result = connection.send(message)
        if result.is_error() and isinstance(result.error, SendBufferFull):
            connection.abort("the peer does not read")
        return result

    def send_heartbeats(self) -> None:
        """Send the current state to every peer, ahead of the next interval."""
        self._send_heartbeats(is_far_due=True)

    def peers(self) -> list[HostName]:
        """Return the peers to which a connection is open."""
        return [peer for peer, _ in self._sessions.connections()]

    def silent_ms(self, peer: HostName) -> int | None:
        """Return for how long nothing came from ``peer``, if it is connected."""
        connection = self._sessions.connection_to(peer)
        if connection is None:
            return None
        return self._clock.now_ms() - self._links[connection].heard_ms

    def connection_opened(self, connection: Connection) -> None:
        """Introduce this host."""
        connection.send(self._hello)

    def message_received(self, connection: Connection, message: Message) -> None:
        """Pass on a message, of which the first must be a hello."""
        link = self._links[connection]
        link.heard_ms = self._clock.now_ms()
        if link.peer is not None:
            self._events.peer_message(link.peer, message)
        elif isinstance(message, Hello):
            self._greet(connection, link, message)
        else:
            connection.abort("no hello came first")

    def connection_closed(self, connection: Connection, cause: str) -> None:
        """Forget a connection and plan to dial again."""
        link = self._links.pop(connection, None)
        if link is None:
            return
        now_ms = self._clock.now_ms()
        peer = self._sessions.close(connection, now_ms)
        if link.dialled is not None:
            self._book.note_closed(link.dialled, now_ms)
        if peer is not None:
            log_message("host:connection_closed", **_describe(peer), cause=cause)
            self._events.peer_disconnected(peer)

    def _listening(self, port: IListeningPort) -> IListeningPort:
        self._hello = attrs.evolve(self._hello, port=port.getHost().port)
        self._book.mark_own(PeerAddress(self._hello.address, self._hello.port))
        return port

    def _greet(self, connection: Connection, link: _Link, hello: Hello) -> None:
        greeting = self._sessions.greet(connection, hello, connection.is_dialer)
        if isinstance(greeting, HelloRefused):
            self._refuse(connection, link, greeting.refusal)
            return
        if link.dialled is not None:
            self._book.note_connected(link.dialled)
        link.peer = hello.sender
        if greeting.replaced is not None:
            greeting.replaced.abort("replaced by a newer connection")
        if greeting.lost is not None:
            self._report_lost(greeting.lost)
        log_message("host:peer_connected", **_describe(hello.sender))
        self._events.peer_connected(hello.sender)
        self.send(hello.sender, self._events.heartbeat())

    def _refuse(self, connection: Connection, link: _Link, refusal: Refusal) -> None:
        if refusal is Refusal.ITSELF and link.dialled is not None:
            self._book.mark_own(link.dialled)
        log_message("host:hello_refused", refusal=refusal.value)
        connection.close(refusal.value)

    def _report_lost(self, peer: HostName) -> None:
        log_message("host:peer_lost", **_describe(peer))
        self._events.peer_lost(peer)

    def _build_accepted(self) -> Connection:
        connection = accept_connection(self, self._max_unsent_bytes)
        self._links[connection] = _Link(self._clock.now_ms())
        return connection

    def _dial_due(self) -> None:
        met = [_address_of(hello) for hello in self._sessions.hellos()]
        connected = self._connected_addresses()
        for address in self._book.take_due(met, connected, self._clock.now_ms()):
            self._dial(address)

    def _connected_addresses(self) -> set[PeerAddress]:
        open_peers = {peer for peer, _ in self._sessions.connections()}
        hellos = self._sessions.hellos()
        named = {_address_of(hello) for hello in hellos if hello.sender in open_peers}
        dialled = {link.dialled for link in self._links.values() if link.dialled}
        return named | dialled

    def _dial(self, address: PeerAddress) -> None:
        connection = dial_connection(
            self, address.address, address.port, self._max_unsent_bytes
        )

        def build() -> Connection:
            self._links[connection] = _Link(self._clock.now_ms(), dialled=address)
            return connection

        dialled = self._network.dial(address.address, address.port, build)
        dialled.addErrback(self._dial_failed, address)

    def _dial_failed(self, failure: Failure, address: PeerAddress) -> None:
        log_message(
            "host:dial_failed",
            address=address.address,
            port=address.port,
            cause=failure.getErrorMessage(),
        )
        self._book.note_closed(address, self._clock.now_ms())

    def _beat(self) -> None:
        now_ms = self._clock.now_ms()
        if self._liveness.was_paused(now_ms):
            self._restart_timers(now_ms)
        self._send_heartbeats(self._liveness.take_far_beat(now_ms))
        self._retire_silent(now_ms)
        for peer in self._sessions.expire(now_ms):
            self._report_lost(peer)

    def _send_heartbeats(self, is_far_due: bool) -> None:
        heartbeat = self._events.heartbeat()
        for peer, _ in self._sessions.connections():
            if is_far_due or not self._liveness.is_far(peer):
                self.send(peer, heartbeat)

    def _restart_timers(self, now_ms: int) -> None:
        """Blame no peer for the time in which this process did not run."""
        for link in self._links.values():
            link.heard_ms = now_ms
        self._sessions.postpone_expiry(now_ms)

    def _retire_silent(self, now_ms: int) -> None:
        silent = [
            connection
            for connection, link in self._links.items()
            if now_ms - link.heard_ms > self._liveness.longest_silence_ms(link.peer)
        ]
        for connection in silent:
            connection.abort("silent for too long")


def _looping_call(reactor: IReactorTime, function: Callable[[], None]) -> LoopingCall:
    call = LoopingCall(function)
    call.clock = reactor
    return call


def _address_of(hello: Hello) -> PeerAddress:
    return PeerAddress(hello.address, hello.port)


def _describe(peer: HostName) -> dict[str, str | int]:
    """Return the fields that name a peer in an event."""
    return {
        "peer": peer.name,
        "peer_data_centre": peer.data_centre,
        "peer_incarnation": peer.incarnation,
    }
