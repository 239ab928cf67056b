"""Connections of one host to all its peers."""

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
from hibiscusstack.dispatch.messages import Heartbeat, Hello, HostName, Message
from hibiscusstack.host.connection import (
    Connection,
    NotConnected,
    SendBufferFull,
    SendFailure,
    accept_connection,
    dial_connection,
)
from hibiscusstack.host.dialing import AddressBook, PeerAddress
from hibiscusstack.host.liveness import DataCentrePacing, Liveness
from hibiscusstack.host.mesh_interfaces import (
    HeartbeatPacing,
    MeshEvents,
    MeshTiming,
    SentHeartbeat,
)
from hibiscusstack.host.network import Network
from hibiscusstack.host.sessions import HelloRefused, Refusal, SessionTable

DIAL_INTERVAL_MS = 100
MAX_UNSENT_BYTES = 16 * 1024 * 1024


@attrs.define
class _ConnectionState:
    """State of one connection; ``peer`` is set by the hello."""

    last_received_ms: int
    dialled_address: PeerAddress | None = None
    peer: HostName | None = None
    last_heartbeat: SentHeartbeat | None = None


class Mesh:
    """Connections of one host to all its peers, one for each peer.

    The addresses of peers come from the seeds in the settings, the platform's list of
    live hosts, and the hellos of the peers. When a connection fails, messages in
    transit on it are lost in both directions. ``peer_connected`` reports the next
    connection, and no message of the earlier one is delivered after that call.

    ``pacing`` decides which peers get a heartbeat in each interval; by default that
    depends on their data centres.
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
        pacing: HeartbeatPacing | None = None,
        rng: random.Random | None = None,
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        self._hello = hello
        self._events = events
        self._network = network
        self._clock = clock
        self._timing = timing or MeshTiming()
        self._max_unsent_bytes = max_unsent_bytes
        self._address_book = AddressBook(
            seeds, rng or random.Random(), self._timing.longest_dial_delay_ms
        )
        self._connection_states: dict[Connection, _ConnectionState] = {}
        self._liveness = Liveness(
            self._timing, hello.sender.data_centre, clock.now_ms()
        )
        self._pacing = pacing or DataCentrePacing(self._liveness)
        self._sessions: SessionTable[Connection] = SessionTable(
            hello.sender, self._liveness.loss_timeout_ms
        )
        self._heartbeat_loop = _looping_call(reactor, self._run_heartbeat)
        self._dial_loop = _looping_call(reactor, self._dial_due_addresses)

    def listen(self) -> Deferred[IListeningPort]:
        """Start accepting connections at the address in this host's hello."""
        return self._network.listen(
            self._hello.address, self._hello.port, self._build_accepted
        ).addCallback(self._record_listening_port)

    def start(self) -> None:
        """Start dialling peers and sending heartbeats."""
        self._heartbeat_loop.start(self._timing.heartbeat_ms / 1000)
        self._dial_loop.start(DIAL_INTERVAL_MS / 1000)

    def stop(self) -> None:
        """Stop the timers and close every connection after its data has been sent."""
        for call in (self._heartbeat_loop, self._dial_loop):
            if call.running:
                call.stop()
        for connection in list(self._connection_states):
            connection.close("stopping")

    def replace_listed(self, addresses: Iterable[PeerAddress]) -> None:
        """Replace the listed addresses by those of a newer list of live hosts."""
        self._address_book.replace_listed(addresses)

    def ended_attempts(self, address: PeerAddress) -> int:
        """Return how many attempts to connect to a listed address have ended."""
        return self._address_book.ended_attempts(address)

    def send(self, peer: HostName, message: Message) -> Result[None, SendFailure]:
        """Send to exactly this incarnation, or return why nothing was written.

        A connection whose peer reads too slowly is aborted. The mesh does not resend
        the lost messages: the callbacks on both sides reconcile them when
        ``peer_connected`` reports the next connection.
        """
        connection = self._sessions.connection_to(peer)
        if connection is None:
            return Error(NotConnected())
        result = connection.send(message)
        if result.is_error() and isinstance(result.error, SendBufferFull):
            connection.abort("send buffer is full: the peer reads too slowly")
        return result

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every peer now, ahead of the next interval."""
        heartbeat, now_ms = self._events.build_heartbeat(), self._clock.now_ms()
        for peer, connection in self._sessions.connections():
            self._send_heartbeat(peer, connection, heartbeat, now_ms)

    def peers(self) -> list[HostName]:
        """Return the peers with an open connection."""
        return [peer for peer, _ in self._sessions.connections()]

    def silent_ms(self, peer: HostName) -> int | None:
        """Return the time since the last message of ``peer``, None if disconnected."""
        connection = self._sessions.connection_to(peer)
        if connection is None:
            return None
        return (
            self._clock.now_ms() - self._connection_states[connection].last_received_ms
        )

    def connection_opened(self, connection: Connection) -> None:
        """Send this host's hello."""
        connection.send(self._hello)

    def message_received(self, connection: Connection, message: Message) -> None:
        """Pass a message on; the first one of a connection must be a hello."""
        state = self._connection_states[connection]
        state.last_received_ms = self._clock.now_ms()
        if state.peer is not None:
            self._events.peer_message(state.peer, message)
        elif isinstance(message, Hello):
            self._handle_hello(connection, state, message)
        else:
            connection.abort("the first message is not a hello")

    def connection_closed(self, connection: Connection, cause: str) -> None:
        """Remove a connection and schedule the next dial attempt."""
        state = self._connection_states.pop(connection, None)
        if state is None:
            return
        now_ms = self._clock.now_ms()
        peer = self._sessions.record_closed(connection, now_ms)
        if state.dialled_address is not None:
            self._address_book.schedule_redial(state.dialled_address, now_ms)
        if peer is not None:
            log_message("host:connection_closed", **_peer_fields(peer), cause=cause)
            self._events.peer_disconnected(peer)

    def _record_listening_port(self, port: IListeningPort) -> IListeningPort:
        self._hello = attrs.evolve(self._hello, port=port.getHost().port)
        self._address_book.mark_own(PeerAddress(self._hello.address, self._hello.port))
        return port

    def _handle_hello(
        self, connection: Connection, state: _ConnectionState, hello: Hello
    ) -> None:
        result = self._sessions.handle_hello(connection, hello, connection.is_dialer)
        if isinstance(result, HelloRefused):
            self._refuse(connection, state, result.refusal)
            return
        if state.dialled_address is not None:
            self._address_book.reset_backoff(state.dialled_address)
        state.peer = hello.sender
        # The replaced connection is no longer the current one of the peer, so its end
        # is not reported: ``peer_connected`` follows without ``peer_disconnected``.
        if result.replaced is not None:
            result.replaced.abort("replaced by a newer connection")
        if result.ended_incarnation is not None:
            self._report_lost(result.ended_incarnation)
        log_message("host:peer_connected", **_peer_fields(hello.sender))
        self._events.peer_connected(hello.sender)
        current = self._sessions.connection_to(hello.sender)
        if current is not None:
            heartbeat = self._events.build_heartbeat()
            self._send_heartbeat(hello.sender, current, heartbeat, self._clock.now_ms())

    def _refuse(
        self, connection: Connection, state: _ConnectionState, refusal: Refusal
    ) -> None:
        if refusal is Refusal.OWN_ADDRESS and state.dialled_address is not None:
            self._address_book.mark_own(state.dialled_address)
        log_message("host:hello_refused", refusal=refusal.value)
        connection.close(refusal.value)

    def _report_lost(self, peer: HostName) -> None:
        log_message("host:peer_lost", **_peer_fields(peer))
        self._events.peer_lost(peer)

    def _build_accepted(self) -> Connection:
        connection = accept_connection(self, self._max_unsent_bytes)
        self._connection_states[connection] = _ConnectionState(self._clock.now_ms())
        return connection

    def _dial_due_addresses(self) -> None:
        announced = [_address_of(hello) for hello in self._sessions.hellos()]
        connected = self._connected_addresses()
        for address in self._address_book.take_due_addresses(
            announced, connected, self._clock.now_ms()
        ):
            self._dial(address)

    def _connected_addresses(self) -> set[PeerAddress]:
        open_peers = {peer for peer, _ in self._sessions.connections()}
        hellos = self._sessions.hellos()
        announced = {
            _address_of(hello) for hello in hellos if hello.sender in open_peers
        }
        dialled = {
            state.dialled_address
            for state in self._connection_states.values()
            if state.dialled_address
        }
        return announced | dialled

    def _dial(self, address: PeerAddress) -> None:
        connection = dial_connection(
            self, address.address, address.port, self._max_unsent_bytes
        )

        def build() -> Connection:
            self._connection_states[connection] = _ConnectionState(
                self._clock.now_ms(), dialled_address=address
            )
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
        self._address_book.schedule_redial(address, self._clock.now_ms())

    def _run_heartbeat(self) -> None:
        now_ms = self._clock.now_ms()
        if self._liveness.detect_pause(now_ms):
            self._reset_timeouts(now_ms)
        self._send_due_heartbeats(now_ms)
        self._abort_silent(now_ms)
        for peer in self._sessions.expire(now_ms):
            self._report_lost(peer)

    def _send_due_heartbeats(self, now_ms: int) -> None:
        heartbeat = self._events.build_heartbeat()
        self._pacing.begin_round(heartbeat, now_ms)
        for peer, connection in self._sessions.connections():
            state = self._connection_states.get(connection)
            last = state.last_heartbeat if state is not None else None
            if last is None or self._pacing.is_due(peer, last, now_ms):
                self._send_heartbeat(peer, connection, heartbeat, now_ms)

    def _send_heartbeat(
        self, peer: HostName, connection: Connection, heartbeat: Heartbeat, now_ms: int
    ) -> None:
        state = self._connection_states.get(connection)
        if state is not None and self.send(peer, heartbeat).is_ok():
            state.last_heartbeat = SentHeartbeat(heartbeat, now_ms)

    def _reset_timeouts(self, now_ms: int) -> None:
        """Restart all timeouts, since this host could not receive while paused."""
        for state in self._connection_states.values():
            state.last_received_ms = now_ms
        self._sessions.postpone_expiry(now_ms)

    def _abort_silent(self, now_ms: int) -> None:
        silent = [
            connection
            for connection, state in self._connection_states.items()
            if now_ms - self._pacing.silent_since_ms(state.last_received_ms)
            > self._pacing.silence_timeout_ms(state.peer)
        ]
        for connection in silent:
            connection.abort("no message was received within the silence timeout")


def _looping_call(reactor: IReactorTime, function: Callable[[], None]) -> LoopingCall:
    call = LoopingCall(function)
    call.clock = reactor
    return call


def _address_of(hello: Hello) -> PeerAddress:
    return PeerAddress(hello.address, hello.port)


def _peer_fields(peer: HostName) -> dict[str, str | int]:
    """Return the log fields that identify a peer."""
    return {
        "peer": peer.name,
        "peer_data_centre": peer.data_centre,
        "peer_incarnation": peer.incarnation,
    }
