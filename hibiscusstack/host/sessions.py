"""Which connection and which incarnation of each peer is the current one."""

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
    """Why a connection is not used after its first message."""

    ITSELF = "itself"
    VERSION = "version"
    OLDER_INCARNATION = "older-incarnation"
    DUPLICATE = "duplicate"


@attrs.frozen
class HelloAccepted(Generic[C]):
    """The connection is now the peer's current one.

    ``replaced`` is the connection that it takes over from, ``lost`` the earlier
    incarnation that is proven gone.
    """

    replaced: C | None = None
    lost: HostName | None = None


@attrs.frozen
class HelloRefused:
    """The connection is not to be used."""

    refusal: Refusal


HelloResult = HelloAccepted | HelloRefused


@attrs.define
class _Session(Generic[C]):
    hello: Hello
    connection: C | None
    is_dialer: bool
    closed_at_ms: int = 0


class SessionTable(Generic[C]):
    """The sessions of one host with its peers, at most one connection for each.

    A peer whose connection closed stays known until as many milliseconds have passed
    without a new one as ``lost_after_ms`` says for it. Two connections dialled at the
    same time from both ends are settled alike at both ends: the one dialled by the
    host that sorts first stays.
    """

    def __init__(
        self, own_name: HostName, lost_after_ms: Callable[[HostName], int]
    ) -> None:
        self._own_name = own_name
        self._lost_after_ms = lost_after_ms
        self._sessions: dict[tuple[str, str], _Session[C]] = {}

    def handle_hello(self, connection: C, hello: Hello, is_dialer: bool) -> HelloResult:
        """Return whether ``connection`` is used from now on.

        ``is_dialer`` says that this host dialled the connection.
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
        lost = None if is_same_incarnation else previous.hello.sender
        return HelloAccepted(previous.connection, lost)

    def record_closed(self, connection: C, now_ms: int) -> HostName | None:
        """Note that ``connection`` is gone; return the peer if it was its current."""
        for session in self._sessions.values():
            if session.connection is connection:
                session.connection = None
                session.closed_at_ms = now_ms
                return session.hello.sender
        return None

    def expire(self, now_ms: int) -> list[HostName]:
        """Forget and return the peers that have been away for too long."""
        lost = [
            session.hello.sender
            for session in self._sessions.values()
            if session.connection is None
            and now_ms - session.closed_at_ms
            >= self._lost_after_ms(session.hello.sender)
        ]
        for peer in lost:
            del self._sessions[_host_key(peer)]
        return lost

    def postpone_expiry(self, now_ms: int) -> None:
        """Give every absent peer the whole time anew, after this host was paused."""
        for session in self._sessions.values():
            if session.connection is None:
                session.closed_at_ms = now_ms

    def connection_to(self, peer: HostName) -> C | None:
        """Return the open connection to exactly this incarnation, if there is one."""
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
        """Return the first message of every peer that is not lost."""
        return [session.hello for session in self._sessions.values()]

    def _find_refusal(self, hello: Hello, is_dialer: bool) -> Refusal | None:
        if hello.version != PROTOCOL_VERSION:
            return Refusal.VERSION
        if _host_key(hello.sender) == _host_key(self._own_name):
            return Refusal.ITSELF
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
        if previous.connection is None or previous.hello.sender != hello.sender:
            return False
        if previous.is_dialer == is_dialer:
            return False
        is_own_name_first = _host_key(self._own_name) < _host_key(hello.sender)
        return previous.is_dialer == is_own_name_first


def _host_key(host: HostName) -> tuple[str, str]:
    return host.data_centre, host.name
