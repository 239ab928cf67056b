"""The network between zones: relays that can be cut, and the views of the hosts.

Every machine has a loopback address ``127.0.ZONE.NUMBER``. Host number V reaches the
others at ``127.V.ZONE.NUMBER``, where a relay listens that forwards to the real address
or, across a cut, resets the connection. What hosts tell each other of addresses, in the
store and in the first message of a connection, is translated on its way. All such texts
have the same length, so nothing else changes.
"""

__all__ = ["Network", "StoreView"]

from base64 import b64decode, b64encode
from collections.abc import Callable

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Factory, Protocol, connectionDone

from hibiscusstack_standins.estate.messages import (
    Answer,
    Outcome,
    Request,
    Unanswered,
)
from hibiscusstack_standins.estate.serving import ServiceDriver

_REAL = b"127.0."
_HEAD_END = b"\r\n\r\n"

IsCut = Callable[[], bool]


def view_of(number: int, address: str) -> str:
    """Return the address at which host ``number`` reaches a machine."""
    return address.replace("127.0.", f"127.{number}.", 1)


def _prefix(number: int) -> bytes:
    return f"127.{number}.".encode()


class Network:
    """Which zones are cut off, and the relays between the machines."""

    def __init__(self) -> None:
        self._cut_zones: set[str] = set()
        self._relays: set[_Relay] = set()
        self._views: list[tuple[str, StoreView]] = []

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two zones can't reach each other."""
        return one != other and bool(self._cut_zones & {one, other})

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from all others and the store; connections are reset."""
        self._cut_zones.add(zone)
        for relay in list(self._relays):
            if self.is_cut(*relay.zones):
                relay.reset()
        for own, view in self._views:
            if own in self._cut_zones:
                view.reset()

    def mend(self) -> None:
        """End all cuts."""
        self._cut_zones.clear()

    def add_view(self, zone: str, number: int, driver: ServiceDriver) -> "StoreView":
        """Return the store as a host of a zone reaches it."""
        view = StoreView(driver, number, lambda: zone in self._cut_zones)
        self._views.append((zone, view))
        return view

    def relay(
        self,
        zones: tuple[str, str],
        number: int,
        address: str,
        port: int,
        peer: int | None = None,
    ) -> None:
        """Forward what host ``number`` sends to a machine in the second zone.

        ``peer`` is the number of the host there, if the port is for peers.
        """
        factory = _RelayFactory(self, zones, number, peer, (address, port))
        reactor.listenTCP(port, factory, interface=view_of(number, address))

    def opened(self, relay: "_Relay") -> None:
        """Remember an open relay."""
        self._relays.add(relay)

    def closed(self, relay: "_Relay") -> None:
        """Forget a relay."""
        self._relays.discard(relay)


class StoreView:
    """The store as one host reaches it; to be served in place of its driver."""

    def __init__(self, driver: ServiceDriver, number: int, is_cut: IsCut) -> None:
        self._driver = driver
        self._own = _prefix(number)
        self._is_cut = is_cut
        self._open: dict[int, Callable[[Outcome], None]] = {}
        self._last_ticket = 0

    def submit(self, request: Request, on_outcome: Callable[[Outcome], None]) -> int:
        """Pass a call on; return the ticket to withdraw it by."""
        self._last_ticket += 1
        ticket = self._last_ticket
        if self._is_cut():
            on_outcome(Unanswered("reset"))
            return ticket
        body = request.body
        if isinstance(body, bytes):
            body = body.replace(self._own, _REAL)
        self._open[ticket] = on_outcome

        def answered(outcome: Outcome) -> None:
            waiting = self._open.pop(ticket, None)
            if waiting is not None:
                waiting(self._translate(outcome))

        passed_on = Request(
            request.path,
            body,
            request.query,
            request.headers,
            request.caller,
            request.method,
        )
        self._driver.submit(passed_on, answered)
        return ticket

    def withdraw(self, ticket: int) -> None:
        """Forget who waits for an answer."""
        self._open.pop(ticket, None)

    def reset(self) -> None:
        """Reset the connections of all calls that wait."""
        waiting, self._open = self._open, {}
        for on_outcome in waiting.values():
            on_outcome(Unanswered("reset"))

    def _translate(self, outcome: Outcome) -> Outcome:
        if not isinstance(outcome, Answer):
            return outcome
        body = outcome.body
        if isinstance(body, bytes):
            body = body.replace(_REAL, self._own)
        elif "items" in body:
            items = [
                {**item, "value": self._translate_text(item["value"])}
                for item in body["items"]
            ]
            body = {**body, "items": items}
        return Answer(outcome.status, body, outcome.delay_ms)

    def _translate_text(self, value: str) -> str:
        data = b64decode(value).replace(_REAL, self._own)
        return b64encode(data).decode()


class _HelloTranslator:
    """Translates the addresses in the first message of a stream of WebSocket frames."""

    def __init__(self, seen_by: int | None) -> None:
        self._seen_by = seen_by
        self._buffer = b""
        self._is_past_head = False
        self._is_done = seen_by is None

    def feed(self, data: bytes) -> bytes:
        """Return what is to be passed on now."""
        if self._is_done:
            return data
        self._buffer += data
        passed_on = b""
        if not self._is_past_head:
            end = self._buffer.find(_HEAD_END)
            if end < 0:
                return b""
            end += len(_HEAD_END)
            passed_on, self._buffer = self._buffer[:end], self._buffer[end:]
            self._is_past_head = True
        return passed_on + self._take_frame()

    def _take_frame(self) -> bytes:
        data = self._buffer
        if len(data) < 2:
            return b""
        size, start = data[1] & 0x7F, 2
        if size == 126:
            size, start = int.from_bytes(data[2:4], "big"), 4
        mask = b""
        if data[1] & 0x80:
            mask, start = data[start : start + 4], start + 4
        if len(data) < start + size:
            return b""
        text = _masked(data[start : start + size], mask)
        text = text.replace(_REAL, _prefix(self._seen_by))
        self._is_done, self._buffer = True, b""
        return data[:start] + _masked(text, mask) + data[start + size :]


def _masked(data: bytes, mask: bytes) -> bytes:
    if not mask:
        return data
    return bytes(byte ^ mask[place % 4] for place, byte in enumerate(data))


class _RelayFactory(Factory):
    noisy = False

    def __init__(
        self,
        network: Network,
        zones: tuple[str, str],
        number: int,
        peer: int | None,
        target: tuple[str, int],
    ) -> None:
        self.network = network
        self.zones = zones
        self.number = number
        self.peer = peer
        self.target = target

    def buildProtocol(self, addr: object) -> "_Relay":  # noqa: N802
        return _Relay(self)


class _Relay(Protocol):
    """A connection of a host, and the one to the machine that it wants to reach."""

    def __init__(self, factory: _RelayFactory) -> None:
        self.zones = factory.zones
        self._factory = factory
        self._far: _FarEnd | None = None
        self._early = b""
        self._forth = _HelloTranslator(factory.peer)
        is_for_peers = factory.peer is not None
        self._back = _HelloTranslator(factory.number if is_for_peers else None)

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the machine, unless it is cut off."""
        network = self._factory.network
        if network.is_cut(*self.zones):
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        network.opened(self)
        reactor.connectTCP(*self._factory.target, _FarFactory(self))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what the host sends."""
        data = self._forth.feed(data)
        if self._far is None:
            self._early += data
        else:
            self._far.transport.write(data)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        """Close the other connection as well."""
        self._factory.network.closed(self)
        if self._far is not None:
            self._far.transport.loseConnection()

    def far_opened(self, far: "_FarEnd") -> None:
        """Pass on what has arrived so far."""
        self._far = far
        if not self.transport.connected:
            far.transport.abortConnection()
            return
        early, self._early = self._early, b""
        far.transport.write(early)

    def far_received(self, data: bytes) -> None:
        """Pass on what the machine sends."""
        self.transport.write(self._back.feed(data))

    def far_lost(self, is_clean: bool) -> None:
        """Close the connection of the host in the same way."""
        if is_clean:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def reset(self) -> None:
        """Reset both connections."""
        if self._far is not None:
            self._far.transport.abortConnection()
        self.transport.abortConnection()


class _FarEnd(Protocol):
    def __init__(self, relay: _Relay) -> None:
        self._relay = relay

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self._relay.far_opened(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._relay.far_received(data)

    def connectionLost(self, reason=connectionDone) -> None:  # noqa: N802
        self._relay.far_lost(reason.check(type(connectionDone.value)) is not None)


class _FarFactory(ClientFactory):
    noisy = False

    def __init__(self, relay: _Relay) -> None:
        self._relay = relay

    def buildProtocol(self, addr: object) -> _FarEnd:  # noqa: N802
        return _FarEnd(self._relay)

    def clientConnectionFailed(self, connector, reason) -> None:  # noqa: N802
        self._relay.far_lost(is_clean=False)
