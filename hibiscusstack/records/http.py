"""HTTP requests to the platform, with a timeout, a size limit and one error type."""

__all__ = ["PlatformHttp"]

import json
from collections.abc import Callable
from typing import Any, TypeVar

import treq
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IReactorTCP, IReactorTime
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IResponse

from hibiscusstack.exceptions import DecodeError, UnavailableError

_CONNECT_TIMEOUT_S = 1
_IDLE_TIMEOUT_S = 2
_MAX_CONNECTIONS = 4
_MAX_ANSWER_BYTES = 16 << 20
_PEER_NAME = "platform"
_OK = 200
_NOT_MODIFIED = 304

T = TypeVar("T")


class PlatformHttp:
    """Sends each request once to one base address, with a timeout of ``timeout_ms``.

    ``reactor`` schedules the timeouts. If ``client`` is not given, one is created
    whose connection pool does not retry requests, since a retried append would add
    a second record.
    """

    def __init__(
        self,
        reactor: IReactorTime | IReactorTCP,
        base_address: str,
        timeout_ms: int = 3_000,
        client: HTTPClient | None = None,
    ) -> None:
        self._reactor = reactor
        self._base_address = base_address.rstrip("/")
        self._timeout_ms = timeout_ms
        self._pool: HTTPConnectionPool | None = None
        self._client = client or self._make_client()

    def request(
        self,
        method: str,
        path: str,
        status: int,
        decode: Callable[[dict[str, Any]], T],
        **options: Any,
    ) -> Deferred[T]:
        """Return the decoded body of an answer that has the expected ``status``.

        Fails only with ``UnavailableError``: after a timeout, for another status, for
        an answer that is too long, and if ``decode`` raises ``DecodeError``.
        ``options`` are passed to treq. See also :meth:`request_if_changed`.
        """
        response = self._send(method, path, **options)
        response.addCallback(_read_body, status)
        response.addCallback(lambda data: decode(_decode_object(data)))
        return self._with_timeout(response)

    def request_if_changed(
        self, path: str, etag: str, decode: Callable[[dict[str, Any]], T]
    ) -> Deferred[T | None]:
        """Return the decoded answer to a GET, or ``None`` if its ETag is ``etag``.

        A server without conditional requests (RFC 9110, section 13) sends the whole
        answer each time. Fails as :meth:`request` does.
        """

        def read(response: IResponse) -> Deferred[T | None]:
            if response.code == _NOT_MODIFIED:
                return _read_body(response, _NOT_MODIFIED).addCallback(lambda _: None)
            body = _read_body(response, _OK)
            return body.addCallback(lambda data: decode(_decode_object(data)))

        headers = {"If-None-Match": [etag]} if etag else {}
        deferred = self._send("GET", path, headers=headers)
        return self._with_timeout(deferred.addCallback(read))

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        if self._pool is None:
            return succeed(None)
        return self._pool.closeCachedConnections()

    def _send(self, method: str, path: str, **options: Any) -> Deferred[IResponse]:
        return self._client.request(
            method,
            f"{self._base_address}{path}",
            unbuffered=True,
            allow_redirects=False,
            **options,
        )

    def _with_timeout(self, deferred: Deferred[T]) -> Deferred[T]:
        deferred.addTimeout(self._timeout_ms / 1000, self._reactor)
        return deferred.addErrback(self._raise_unavailable)

    def _make_client(self) -> HTTPClient:
        self._pool = HTTPConnectionPool(self._reactor)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = _MAX_CONNECTIONS
        self._pool.cachedConnectionTimeout = _IDLE_TIMEOUT_S
        agent = Agent(self._reactor, connectTimeout=_CONNECT_TIMEOUT_S, pool=self._pool)
        return HTTPClient(agent)

    def _raise_unavailable(self, failure: Failure) -> None:
        # Idle connections in the pool may no longer work either.
        self.close()
        cause = failure.getErrorMessage() or failure.type.__name__
        raise UnavailableError(_PEER_NAME, cause) from failure.value


def _read_body(response: IResponse, status: int) -> Deferred[bytes]:
    chunks: list[bytes] = []
    received_bytes = 0

    def collect(data: bytes) -> None:
        nonlocal received_bytes
        received_bytes += len(data)
        if received_bytes > _MAX_ANSWER_BYTES:
            raise DecodeError("body", f"at most {_MAX_ANSWER_BYTES} bytes", "more")
        chunks.append(data)

    def finish(_: None) -> bytes:
        if response.code != status:
            raise DecodeError("status", str(status), response.code)
        return b"".join(chunks)

    return treq.collect(response, collect).addCallback(finish)


def _decode_object(data: bytes) -> dict[str, Any]:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as fault:
        raise DecodeError("body", "JSON", data[:80]) from fault
    if not isinstance(body, dict):
        raise DecodeError("body", "an object", data[:80])
    return body
