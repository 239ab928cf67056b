"""Listening, JSON answers and connections that can be made to go silent."""

__all__ = [
    "SilenceableFactory",
    "answer_json",
    "answer_problem",
    "listen",
    "read_json",
]

import json
from typing import Any

from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.internet.protocol import Factory
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.http import Request
from twisted.web.server import NOT_DONE_YET

from hibiscusstack.exceptions import DecodeError


class _SilenceableProtocol(ProtocolWrapper):
    is_silent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.is_silent:
            super().dataReceived(data)

    def write(self, data: bytes) -> None:
        if not self.is_silent:
            super().write(data)

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        if not self.is_silent:
            super().writeSequence(data)

    def loseConnection(self) -> None:  # noqa: N802
        if not self.is_silent:
            super().loseConnection()


class SilenceableFactory(WrappingFactory):
    """A factory whose open connections can be cut off without being closed.

    A silent connection swallows all bytes in both directions, as when a device
    between the two ends has lost track of it.
    """

    protocol = _SilenceableProtocol
    noisy = False

    def silence_open_connections(self) -> int:
        """Make every connection that is open now silent, and return their number."""
        for connection in self.protocols:
            connection.is_silent = True
        return len(self.protocols)


def listen(
    reactor: IReactorTCP, factory: Factory, address: str, port: int
) -> IListeningPort:
    """Return the listening port; with ``port`` 0 the kernel chooses the number."""
    return reactor.listenTCP(port, factory, interface=address)


def read_json(request: Request) -> Any:
    """Return the JSON body of a request, or raise ``DecodeError``."""
    body = request.content.read()
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as fault:
        raise DecodeError("body", "JSON", body[:80]) from fault


def answer_json(request: Request, status: int, body: Any) -> int:
    """Write and finish a JSON answer."""
    data = json.dumps(body).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    request.setHeader(b"content-length", str(len(data)).encode())
    request.write(data)
    request.finish()
    return NOT_DONE_YET


def answer_problem(request: Request, status: int, kind: str) -> int:
    """Write and finish a problem of type ``kind``."""
    return answer_json(request, status, {"type": kind, "title": kind, "status": status})
