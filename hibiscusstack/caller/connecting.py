"""Clients on real connections."""

__all__ = ["connect_client"]

from collections.abc import Sequence

from treq.client import HTTPClient
from twisted.internet.interfaces import IReactorTime
from twisted.web.client import Agent, HTTPConnectionPool

from hibiscusstack.caller.client import CallerClient
from hibiscusstack.caller.client_settings import ClientSettings

MS_PER_SECOND = 1000


def connect_client(
    reactor: IReactorTime,
    entries: Sequence[str],
    caller: str,
    settings: ClientSettings | None = None,
) -> CallerClient:
    """Return a client on TCP connections that are kept open between requests.

    ``entries`` are addresses such as ``http://127.0.0.1:8080``.
    """
    settings = settings or ClientSettings()
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = settings.max_connections
    connect_timeout = settings.connect_timeout_ms / MS_PER_SECOND
    http = HTTPClient(Agent(reactor, connectTimeout=connect_timeout, pool=pool))
    return CallerClient(
        reactor, http, entries=entries, caller=caller, settings=settings
    )
