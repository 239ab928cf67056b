"""The daemon of a dispatcher host for pools: start, log followers, graceful stop."""

__all__ = ["PoolDaemon", "PoolDaemonComponents"]

import math
from collections.abc import Callable, Sequence
from http import HTTPStatus

import attrs
from eliot import log_message
from twisted.internet.error import CannotListenError

from hibiscusstack.clock import Clock
from hibiscusstack.daemon.pool_host import PoolHost
from hibiscusstack.exceptions import DecodeError
from hibiscusstack.http.address import parse_address
from hibiscusstack.http.server import HttpServer
from hibiscusstack.pool.announced_leaves import with_earliest_leave
from hibiscusstack.pool.evacuation import EvacuationRequests, FindDataCentre
from hibiscusstack.pool.interfaces import KeyedLog, KeyedRecord
from hibiscusstack.pool.refused_records import RefusedRecords
from hibiscusstack.pool.routes import RouteTable
from hibiscusstack.pool.service import PoolService
from hibiscusstack.pool.targets import ListedTarget
from hibiscusstack.pool.topic_follower import TopicFollower

CONFIGURATION_TOPIC = "configuration"
TARGETS_TOPIC = "targets"
CONFIGURATION_READ_WAIT_MS = 1_000
TARGETS_READ_INTERVAL_MS = 400
IDLE_TARGETS_READ_INTERVAL_MS = 1_500
DRAIN_CHECK_INTERVAL_MS = 50
LATE_CHECK_MS = 2 * DRAIN_CHECK_INTERVAL_MS
# Time for the last answers to be written: open requests are answered this long before
# the drain timeout, and connections may take this long to end.
ANSWER_FLUSH_MS = 50
_ABANDONED_BODY = b'{"error": "host stopped before the job ended"}'


@attrs.frozen
class PoolDaemonComponents:
    """The log, record decoders, servers and stop timeouts of a pool daemon.

    ``callers``, ``balancer`` and ``operators`` are each a pair of the server for these
    clients and the address to listen on. If the address of ``operators`` is empty,
    there is no operator API. A graceful stop takes at least ``leave_ms``, so that the
    load balancer can see that this host is leaving, and at most about
    ``drain_timeout_ms``. Requests are served for ``leave_ms`` and then refused.
    ``refused`` counts the records that can't be decoded. ``find_evacuated`` returns the
    data centre whose evacuation a record of the configuration asks for or ends.
    """

    log: KeyedLog
    decode_routes: Callable[[KeyedRecord], RouteTable | None]
    decode_target: Callable[[KeyedRecord], ListedTarget]
    callers: tuple[HttpServer, str]
    balancer: tuple[HttpServer, str]
    operators: tuple[HttpServer, str]
    leave_ms: int
    drain_timeout_ms: int
    refused: RefusedRecords = attrs.field(factory=RefusedRecords)
    find_evacuated: FindDataCentre = lambda _: None


class PoolDaemon:
    """Runs a host and its HTTP servers; reads routes and targets from the log."""

    def __init__(
        self,
        reactor,
        host: PoolHost,
        service: PoolService,
        components: PoolDaemonComponents,
        clock: Clock,
    ) -> None:
        self._reactor = reactor
        self._host = host
        self._service = service
        self._components = components
        self._refused = components.refused
        self._targets_by_key: dict[str, ListedTarget] = {}
        self._target_list_as_of_ms = -math.inf
        self._pools: frozenset[str] | None = None
        self.evacuations = EvacuationRequests(components.find_evacuated, clock)
        host.awaits_requests = True
        self._clock = clock
        self._drain_began_ms = self._last_check_ms = 0.0
        self._routes_follower = TopicFollower(
            reactor,
            components.log,
            CONFIGURATION_TOPIC,
            self._apply_route_records,
            wait_ms=CONFIGURATION_READ_WAIT_MS,
            refused=self._refused,
        )
        self._targets_follower = TopicFollower(
            reactor,
            components.log,
            TARGETS_TOPIC,
            self._apply_target_records,
            wait_ms=0,
            pause_ms=TARGETS_READ_INTERVAL_MS,
            on_end=self._target_list_read,
            clock=clock,
            refused=self._refused,
        )
        host.targets_follower = self._targets_follower

    def start(self) -> None:
        """Listen on all addresses, start the host and follow the log."""
        for server, address in (self._components.callers, self._components.balancer):
            server.listen(*parse_address(address))
        self._listen_for_operators()
        self._host.start()
        self._routes_follower.start()
        self._targets_follower.start()

    def stop_requested(self) -> None:
        """Leave the load balancer, end the jobs in progress, then stop the reactor."""
        if self._host.is_draining:
            return
        log_message("pool:draining")
        self._drain_began_ms = self._last_check_ms = self._clock.now_ms()
        self._host.drain()
        self._components.callers[0].drain()
        self._reactor.callLater(DRAIN_CHECK_INTERVAL_MS / 1000, self._stop_when_idle)

    def _listen_for_operators(self) -> None:
        """Listen for operators; a failure is logged, since jobs do not depend on it."""
        server, address = self._components.operators
        if not address:
            return
        try:
            server.listen(*parse_address(address))
        except CannotListenError as error:
            log_message("pool:operators_failed", level="error", cause=str(error))

    def _stop_when_idle(self) -> None:
        """Stop the reactor if the drain is complete or timed out, else check later.

        The drain is complete once no request of a caller is open, all answers are
        written, this host does not coordinate and ``leave_ms`` have passed. Shortly
        before the timeout, open requests are answered that their end is unknown. A
        check that comes late does not stop the reactor, since connections and requests
        may have arrived that are not read yet. The logged ``open`` is the number of
        open requests.
        """
        now_ms = self._clock.now_ms()
        is_late = now_ms - self._last_check_ms > LATE_CHECK_MS
        self._last_check_ms = now_ms
        draining_for_ms = now_ms - self._drain_began_ms
        callers = self._components.callers[0]
        left_ms = self._components.drain_timeout_ms - draining_for_ms
        has_left = draining_for_ms >= self._components.leave_ms
        if has_left:
            self._service.stop_accepting()
        if left_ms <= ANSWER_FLUSH_MS and callers.open_requests:
            log_message(
                "pool:drain_timeout", level="warning", open=callers.open_requests
            )
            callers.abandon_requests(HTTPStatus.GATEWAY_TIMEOUT, _ABANDONED_BODY)
        may_stop = has_left and not self._host.coordinator
        if not is_late and ((callers.is_idle and may_stop) or left_ms <= 0):
            log_message("pool:stopped", open=callers.open_requests)
            closed = callers.close()
            closed.addTimeout(ANSWER_FLUSH_MS / 1000, self._reactor)
            closed.addBoth(lambda _: self._reactor.stop())
            return
        self._reactor.callLater(DRAIN_CHECK_INTERVAL_MS / 1000, self._stop_when_idle)

    def _apply_route_records(
        self, records: Sequence[KeyedRecord], is_snapshot: bool
    ) -> None:
        self.evacuations.apply_records(records, is_snapshot)
        self._host.set_evacuated(self.evacuations.since_ms)
        for record in records:
            try:
                routes = self._components.decode_routes(record)
            except DecodeError as error:
                self._refused.note(CONFIGURATION_TOPIC, record, error, "error")
                continue
            if routes is None:
                continue
            self._service.replace_routes(routes)
            if routes.pools != self._pools:
                self._pools = routes.pools
                self._apply_targets()

    def _apply_target_records(
        self, records: Sequence[KeyedRecord], is_snapshot: bool
    ) -> None:
        known = dict(self._targets_by_key)
        if is_snapshot:
            self._targets_by_key.clear()
        for record in records:
            self._targets_by_key.pop(record.key, None)
            if record.value is None:
                continue
            try:
                target = self._components.decode_target(record)
            except DecodeError as error:
                self._refused.note(TARGETS_TOPIC, record, error)
                continue
            self._targets_by_key[record.key] = with_earliest_leave(
                target, known.get(record.key), self._target_list_as_of_ms
            )
        self._apply_targets()

    def _apply_targets(self) -> None:
        """Hand the listed targets to the host, without those of unknown pools.

        An entry whose pool the configuration doesn't name comes from another program.
        """
        self._host.replace_targets(
            target
            for target in self._targets_by_key.values()
            if self._pools is None or target.pool in self._pools
        )

    def _target_list_read(self, _end: int) -> None:
        """Read the list of targets more often while this host coordinates."""
        if self._targets_follower.is_complete:
            self._target_list_as_of_ms = self._targets_follower.current_as_of_ms
        is_coordinator = self._host.coordinator is not None
        self._targets_follower.pause_ms = (
            TARGETS_READ_INTERVAL_MS
            if is_coordinator
            else IDLE_TARGETS_READ_INTERVAL_MS
        )
