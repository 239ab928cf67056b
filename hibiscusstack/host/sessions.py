"""Current connection and current incarnation of each peer."""

__all__ = [
    "HelloResult",
    "HelloAccepted",
    "HelloRefused",
    "Refusal",
    "SessionTable",
]

from collections.abc import Callable
from enum import Enum
from typing import Generic, TypeVar

import attrs

from hibiscusstack.dispatch.messages import Hello, HostName

PROTOCOL_VERSION = 1

C = TypeVar("C")


class Refusal(Enum):
    """Reason why a connection is refused after its hello."""

    OWN_ADDRESS = "itself"
    VERSION_MISMATCH = "version"
    OLDER_INCARNATION = "older-incarnation"
    DUPLICATE = "duplicate"


@attrs.frozen
class HelloAccepted(Generic[C]):
    """The connection is now the current one of its peer.

    ``replaced`` is the connection that it replaces. ``ended_incarnation`` is an earlier
    incarnation of the peer that is now known to have ended.
    """

    replaced: C | None = None
    ended_incarnation: HostName | None = None


@attrs.frozen
class HelloRefused:
    """The connection is refused and must not be used."""

    refusal: Refusal


HelloResult = HelloAccepted | HelloRefused


@attrs.define
class _Session(Generic[C]):
    hello: Hello
    connection: C | None
    is_dialer: bool
    closed_at_ms: int = 0


class SessionTable(Generic[C]):
    """Sessions of one host with its peers, with at most one connection for each peer.

    A peer whose connection has closed is kept until it has had no new connection for
    ``loss_timeout_ms(peer)`` milliseconds. If two hosts dial each other at the same
    time, both keep the same connection: the one dialled by the host that sorts first by
    data centre and name.
    """

    def __init__(
        self, own_name: HostName, loss_timeout_ms: Callable[[HostName], int]
    ) -> None:
        self._own_name = own_name
        self._loss_timeout_ms = loss_timeout_ms
        self._sessions: dict[tuple[str, str], _Session[C]] = {}

    def handle_hello(self, connection: C, hello: Hello, is_dialer: bool) -> HelloResult:
        """Accept or refuse ``connection`` by the hello of its peer.

        ``is_dialer`` tells whether this host dialled the connection.
        """
        refusal = self._find_refusal(hello, is_dialer)
        if refusal is not None:
            return HelloRefused(refusal)
        key = _host_key(hello.sender)
        previous = self._sessions.get(key)
        self._sessions[key] = _Session(hello, connection, is_dialer)
        if previous is None:
            return HelloAccepted()
        is_same_incarnation = previous.hello.sender == hello.sender
        ended_incarnation = None if is_same_incarnation else previous.hello.sender
        return HelloAccepted(previous.connection, ended_incarnation)

    def record_closed(self, connection: C, now_ms: int) -> HostName | None:
        """Record a closed connection; return its peer if it was the current one."""
        for session in self._sessions.values():
            if session.connection is connection:
                session.connection = None
                session.closed_at_ms = now_ms
                return session.hello.sender
        return None

    def expire(self, now_ms: int) -> list[HostName]:
        """Remove and return the peers that were disconnected for too long."""
        lost = [
            session.hello.sender
            for session in self._sessions.values()
            if session.connection is None
            and now_ms - session.closed_at_ms
            >= self._loss_timeout_ms(session.hello.sender)
        ]
        for peer in lost:
            del self._sessions[_host_key(peer)]
        return lost

    def postpone_expiry(self, now_ms: int) -> None:
        """Restart the timeout of each disconnected peer, after a pause of this host."""
        for session in self._sessions.values():
            if session.connection is None:
                session.closed_at_ms = now_ms

    def connection_to(self, peer: HostName) -> C | None:
        """Return the open connection to exactly this incarnation, or None."""
        session = self._sessions.get(_host_key(peer))
        if session is None or session.hello.sender != peer:
            return None
        return session.connection

    def connections(self) -> list[tuple[HostName, C]]:
        """Return every peer with an open connection."""
        return [
            (session.hello.sender, session.connection)
            for session in self._sessions.values()
            if session.connection is not None
        ]

    def hellos(self) -> list[Hello]:
        """Return the hello of every peer that has not expired."""
        return [session.hello for session in self._sessions.values()]

    def _find_refusal(self, hello: Hello, is_dialer: bool) -> Refusal | None:
        if hello.version != PROTOCOL_VERSION:
            return Refusal.VERSION_MISMATCH
        if _host_key(hello.sender) == _host_key(self._own_name):
            return Refusal.OWN_ADDRESS
        previous = self._sessions.get(_host_key(hello.sender))
        if previous is None:
            return None
        if hello.sender.incarnation < previous.hello.sender.incarnation:
            return Refusal.OLDER_INCARNATION
        if self._is_duplicate(previous, hello, is_dialer):
            return Refusal.DUPLICATE
        return None

    def _is_duplicate(
        self, previous: _Session[C], hello: Hello, is_dialer: bool
    ) -> bool:
        """Return whether the new connection is refused in favour of the previous one.

        If both sides dialled, the connection dialled by the host that sorts first is
        kept. A second connection dialled by the same side replaces the first, which
        that side may already have closed.
        """
        if previous.connection is None or previous.hello.sender != hello.sender:
            return False
        if previous.is_dialer == is_dialer:
            return False
        kept_is_dialer = _host_key(self._own_name) < _host_key(hello.sender)
        return previous.is_dialer == kept_is_dialer


def _host_key(host: HostName) -> tuple[str, str]:
    return host.data_centre, host.name
