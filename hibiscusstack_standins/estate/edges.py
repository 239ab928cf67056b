"""One host with the platform's adapter, over a network in virtual time."""

__all__ = ["Edge", "NetworkClient"]

import json
from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import partial
from urllib.parse import parse_qsl

import attrs
from adapter.documents import (
    decode_routes,
    decode_target,
    find_evacuated_data_centre,
)
from adapter.frontend import Frontend
from adapter.store import StoreLog
from adapter.workers import WorkerOrders
from twisted.internet.defer import Deferred, succeed

from hibiscusstack.daemon.pool_daemon import PoolDaemon, PoolDaemonComponents
from hibiscusstack.daemon.pool_host import PoolHostSettings
from hibiscusstack.daemon.sharded_host import build_pool_host
from hibiscusstack.http.client import AnswerLost, HttpAnswer, NotSent
from hibiscusstack.http.server import HttpRequest
from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.service import PoolService
from hibiscusstack.pool.sharding import MAX_SHARDS, ShardingPolicy
from hibiscusstack.pool.timing import CoordinatorTiming
from hibiscusstack_standins.estate.jobs import Job
from hibiscusstack_standins.estate.messages import Outcome, Request, Unanswered
from hibiscusstack_standins.estate.queues import QUEUE_HOST, encode_job, job_path

STORE_TIMEOUT_MS = 700
_DEADLINE_HEADER = "hibiscusstack-deadline-ms"


class NetworkClient:
    """The HTTP client's calls, carried by a network; ``NAME:1`` is a party."""

    def __init__(self, network, caller: str) -> None:
        self._network = network
        self._caller = caller
        self._busy: defaultdict[str, set[int]] = defaultdict(set)

    def request(  # noqa: PLR0917
        self,
        address,
        method,
        target,
        body=b"",
        headers=(),
        timeout_ms=1_000,
        max_time_ms=0,
        other_body=None,
    ) -> Deferred:
        """Call a party on a connection that is free."""
        callee, outcome = address.rpartition(":")[0], Deferred()
        busy = self._busy[callee]
        label = next(number for number in range(1_000) if number not in busy)
        busy.add(label)
        connection = self._network.connection_number(self._caller, callee, label)
        if other_body is not None and connection > other_body.newest_connection:
            body = other_body.body

        def answered(answer: Outcome) -> None:
            busy.discard(label)
            outcome.callback(_as_product(answer, connection))

        path, _, query = target.partition("?")
        is_json = any(name == "Content-Type" for name, _ in headers)
        request = Request(
            path,
            json.loads(body) if is_json else body,
            dict(parse_qsl(query)),
            dict(headers),
            method=method,
        )
        self._network.call(
            self._caller, callee, request, answered, int(timeout_ms), connection=label
        )
        return outcome

    def close_address(self, address: str) -> None:
        """Leave the connections to the network."""


def _as_product(answer: Outcome, connection: int) -> HttpAnswer | NotSent | AnswerLost:
    if isinstance(answer, Unanswered):
        is_sent = answer.cause != "refused"
        return AnswerLost(answer.cause) if is_sent else NotSent(answer.cause, True)
    body = answer.body
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return HttpAnswer(answer.status, {}, body, connection)


class QuietServer:
    """What a host asks of its HTTP servers; callers come in through ``Edge``."""

    open_requests = 0
    is_idle = True

    def listen(self, ip: str, port: int) -> None:
        """Accept nothing."""

    def drain(self) -> None:
        """Close nothing."""

    def close(self) -> Deferred[None]:
        """Have no connections left."""
        return succeed(None)


@attrs.frozen
class CallerConnection:
    """Gives the status and the body of the answer to the caller."""

    answered: Callable[[int, bytes], None]

    def answer(self, request, status, body, headers) -> None:
        """Pass the answer on."""
        self.answered(status, body)


class Edge:
    """One run of a host, with the store and the workers of ``network``.

    ``peers`` are settings of the host by name, ``timing`` those of its orders and
    ``ordering`` the policy for jobs that wait. With ``targets_per_coordinator`` the
    site is divided into shards.
    """

    def __init__(
        self,
        network,
        party: str,
        *,
        reactor,
        clock,
        name,
        port: int,
        peers: Mapping[str, int] | None = None,
        timing: CoordinatorTiming | None = None,
        ordering: OrderingPolicy | None = None,
        targets_per_coordinator: int = 0,
    ) -> None:
        timing = timing or CoordinatorTiming()
        settings = PoolHostSettings(name, "127.0.0.1", port, **(peers or {}))
        client, server = NetworkClient(network, party), QuietServer()
        log = StoreLog(client, "store:1", STORE_TIMEOUT_MS)
        self.host = build_pool_host(
            ShardingPolicy(targets_per_coordinator, MAX_SHARDS),
            partial(WorkerOrders, client, timing),
            settings=settings,
            reactor=reactor,
            clock=clock,
            log=log,
            timing=timing,
            ordering=ordering,
        )
        service = PoolService(self.host.submissions, clock)
        self.front = Frontend(
            service,
            self.host.stored,
            lambda: self.host.is_serving() and service.is_configured,
        )
        parts = PoolDaemonComponents(
            log=log,
            decode_routes=decode_routes,
            decode_target=decode_target,
            callers=(server, "127.0.0.1:1"),
            balancer=(server, "127.0.0.1:2"),
            operators=(server, ""),
            leave_ms=2_300,
            drain_timeout_ms=5_300,
            find_evacuated=find_evacuated_data_centre,
        )
        self.edge = PoolDaemon(reactor, self.host, service, parts, clock)
        self.edge.start()

    def post(
        self,
        job: Job,
        answered: Callable[[int, bytes], None],
        deadline_ms: int | None = None,
    ) -> HttpRequest:
        """Send a job in as a caller does, which may say how long it waits."""
        connection = CallerConnection(answered)
        headers = {"host": QUEUE_HOST}
        if deadline_ms is not None:
            headers[_DEADLINE_HEADER] = str(deadline_ms)
        request = HttpRequest(
            "POST",
            job_path(job),
            headers,
            encode_job(job),
            0,
            connection,
        )
        self.front.handle_caller_request(request)
        return request

    def ask_pending(self, answered: Callable[[int, bytes], None], prefix: str) -> None:
        """Ask how many jobs of a queue have not begun."""
        headers = {"host": QUEUE_HOST}
        connection = CallerConnection(answered)
        request = HttpRequest("GET", prefix, headers, b"", 0, connection)
        self.front.handle_caller_request(request)

    def is_ready(self) -> bool:
        """Tell what the balancer is told."""
        statuses: list[int] = []
        connection = CallerConnection(lambda status, _: statuses.append(status))
        request = HttpRequest("GET", "/ready", {}, b"", 0, connection)
        self.front.handle_readiness_check(request)
        return statuses == [200]
