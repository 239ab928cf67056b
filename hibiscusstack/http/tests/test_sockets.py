"""Tests of the socket options."""

import socket

from hibiscusstack.http.sockets import limit_unacknowledged, probe_when_idle


class _Handle:
    """Collects the options that are set."""

    def __init__(self) -> None:
        self.options: list[tuple[int, int, int]] = []

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self.options.append((level, option, value))


class _Transport:
    """A transport over a socket."""

    def __init__(self) -> None:
        self.handle = _Handle()

    def getHandle(self) -> _Handle:  # noqa: N802
        return self.handle


def test_unacknowledged_bytes_are_limited(monkeypatch):
    monkeypatch.setattr(socket, "TCP_USER_TIMEOUT", 18, raising=False)
    transport = _Transport()
    limit_unacknowledged(transport, 2_000)
    assert transport.handle.options == [(socket.IPPROTO_TCP, 18, 2_000)]


def test_system_without_the_option_is_left_as_it_is(monkeypatch):
    monkeypatch.delattr(socket, "TCP_USER_TIMEOUT", raising=False)
    transport = _Transport()
    limit_unacknowledged(transport, 2_000)
    assert transport.handle.options == []


def test_probes_are_sent():
    transport = _Transport()
    probe_when_idle(transport, 1, 2, 3)
    options = transport.handle.options
    assert options[0] == (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    assert [value for _, _, value in options[1:]] == [1, 2, 3]


def test_transport_without_socket_is_left_alone():
    limit_unacknowledged(object(), 1)
    probe_when_idle(object(), 1, 1, 1)
