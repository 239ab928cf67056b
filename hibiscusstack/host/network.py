"""Listening and dialling of a host, behind an interface that tests replace."""

__all__ = ["Network", "TcpNetwork"]

from collections.abc import Callable
from typing import Protocol as Interface

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP4ServerEndpoint,
    TCP6ClientEndpoint,
    TCP6ServerEndpoint,
)
from twisted.internet.interfaces import IListeningPort, IReactorTCP
from twisted.internet.protocol import Factory, Protocol

ProtocolBuilder = Callable[[], Protocol]


class Network(Interface):
    """Byte streams to and from other hosts, addressed by IP address and port."""

    def listen(
        self, address: str, port: int, build: ProtocolBuilder
    ) -> Deferred[IListeningPort]:
        """Accept connections; with port 0 the kernel chooses the port."""

    def dial(self, address: str, port: int, build: ProtocolBuilder) -> Deferred:
        """Try to connect once; the deferred fails if the attempt fails."""


class TcpNetwork:
    """TCP connections through a Twisted reactor."""

    def __init__(self, reactor: IReactorTCP, connect_timeout_ms: int) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_ms / 1000

    def listen(
        self, address: str, port: int, build: ProtocolBuilder
    ) -> Deferred[IListeningPort]:
        """Accept connections; with port 0 the kernel chooses the port."""
        endpoint_class = TCP6ServerEndpoint if ":" in address else TCP4ServerEndpoint
        endpoint = endpoint_class(self._reactor, port, interface=address)
        return endpoint.listen(_factory(build))

    def dial(self, address: str, port: int, build: ProtocolBuilder) -> Deferred:
        """Try to connect once; the deferred fails if the attempt fails."""
        endpoint_class = TCP6ClientEndpoint if ":" in address else TCP4ClientEndpoint
        endpoint = endpoint_class(
            self._reactor, address, port, timeout=self._connect_timeout_s
        )
        return endpoint.connect(_factory(build))


def _factory(build: ProtocolBuilder) -> Factory:
    factory = Factory.forProtocol(build)
    factory.noisy = False
    return factory
