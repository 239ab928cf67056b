"""Clients on real connections."""

__all__ = ["connect_client", "connect_http"]

from collections.abc import Sequence

import attrs
from treq.client import HTTPClient
from twisted.internet.abstract import isIPAddress
from twisted.internet.endpoints import HostnameEndpoint, TCP4ClientEndpoint
from twisted.internet.interfaces import IReactorTime, IStreamClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from hibiscusstack.caller.client import CallerClient
from hibiscusstack.caller.client_settings import ClientSettings

MS_PER_SECOND = 1000


@implementer(IAgentEndpointFactory)
@attrs.frozen
class AddressEndpoints:
    """Connects to IPv4 addresses directly and looks up everything else.

    Twisted's endpoint for names tells of a refused connection only at the next step
    of its address selection, 300 ms later.
    """

    reactor: IReactorTime
    timeout_s: float

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return where to connect to for a URL."""
        host = uri.host.decode("ascii")
        endpoint = TCP4ClientEndpoint if isIPAddress(host) else HostnameEndpoint
        return endpoint(self.reactor, host, uri.port, timeout=self.timeout_s)


def connect_http(reactor: IReactorTime, settings: ClientSettings) -> HTTPClient:
    """Return an HTTP client on TCP connections that are kept open between requests."""
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = settings.max_connections
    timeout_s = settings.connect_timeout_ms / MS_PER_SECOND
    endpoints = AddressEndpoints(reactor, timeout_s)
    return HTTPClient(Agent.usingEndpointFactory(reactor, endpoints, pool=pool))


def connect_client(
    reactor: IReactorTime,
    entries: Sequence[str],
    caller: str,
    settings: ClientSettings | None = None,
) -> CallerClient:
    """Return a client of the hosts at addresses such as ``http://127.0.0.1:8080``."""
    settings = settings or ClientSettings()
    http = connect_http(reactor, settings)
    return CallerClient(
        reactor, http, entries=entries, caller=caller, settings=settings
    )
