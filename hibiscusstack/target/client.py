"""Client of all targets that this host manages."""

__all__ = ["TargetClient"]

from collections.abc import Callable
from typing import TypeVar

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IDelayedCall, IReactorTCP

from hibiscusstack.dispatch.effects import (
    StartTask,
    StopTasks,
    TargetReply,
    TaskNotSent,
    TaskSilent,
    TaskState,
    TaskStates,
)
from hibiscusstack.dispatch.targets import TargetInfo
from hibiscusstack.exceptions import DecodeError, InvalidInputError, UnavailableError
from hibiscusstack.target.connection import ExchangeFailed, HttpConnection, HttpResponse
from hibiscusstack.target.decoding import (
    TargetUsage,
    decode_start_response,
    decode_states,
    decode_usage,
)
from hibiscusstack.target.encoding import (
    encode_start,
    encode_stop,
    encode_usage_query,
)
from hibiscusstack.target.pool import CONNECT_TIMEOUT_MS, ConnectionPool, NoConnection

_CLOSE_STALE_INTERVAL_MS = 1_000
_CONNECTIONS_RESERVED_FOR_CONTROL = 4
_CONTROL_TIMEOUT_MS = 2_000

T = TypeVar("T")


class TargetClient:
    """Starts and stops tasks over HTTP/1.1, writing each request once.

    This client never retries a request. The receiver of a reply decides whether the
    task may be started again.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        control_timeout_ms: int = _CONTROL_TIMEOUT_MS,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self._reactor = reactor
        self._control_timeout_ms = control_timeout_ms
        self._connect_timeout_ms = connect_timeout_ms
        self._pools: dict[str, ConnectionPool] = {}
        self._in_flight: dict[tuple[str, str], HttpConnection] = {}
        self._close_stale_call: IDelayedCall | None = None

    def start(self, target: TargetInfo, command: StartTask) -> Deferred[TargetReply]:
        """Start a task and return its result, its refusal or why neither is known.

        The reply is ``TaskNotSent`` only if nothing was written. It is ``TaskSilent``
        if the request was written and no valid response for this task arrived within
        its timeout: the task may have run, and its outcome is unknown.
        """
        try:
            request = encode_start(target, command)
        except InvalidInputError as error:
            return succeed(TaskNotSent(str(error)))
        pool = self._get_pool(target)
        connection = pool.take_idle()
        if connection is not None:
            return self._exchange_start(pool, connection, request, command, 0)
        open_started_s = self._reactor.seconds()
        reserved = min(_CONNECTIONS_RESERVED_FOR_CONTROL, target.connections // 2)
        opened = pool.open(command.timeout_ms, reserved)

        def start_on(
            connection: HttpConnection | NoConnection,
        ) -> TargetReply | Deferred[TargetReply]:
            if isinstance(connection, NoConnection):
                return TaskNotSent(connection.cause)
            elapsed_ms = (self._reactor.seconds() - open_started_s) * 1000
            return self._exchange_start(pool, connection, request, command, elapsed_ms)

        return opened.addCallback(start_on)

    def stop(self, target: TargetInfo, command: StopTasks) -> Deferred[TaskStates]:
        """Stop tasks over a new connection and return their states at the target.

        If a start request is still in flight for a task that the target does not run,
        its connection is assumed dead. It is closed once the caller has the states.
        """
        try:
            request = encode_stop(target, command)
        except InvalidInputError:
            return succeed(_unknown_states(command))
        answered = self._exchange_control(
            target, request, lambda response: decode_states(command, response)
        )
        answered.addErrback(lambda _: _unknown_states(command))
        return answered.addCallback(self._close_if_not_running)

    def fetch_usage(self, target: TargetInfo) -> Deferred[TargetUsage]:
        """Return the resource usage of a target, or fail with ``UnavailableError``."""
        return self._exchange_control(target, encode_usage_query(target), decode_usage)

    def close_target(self, name: str) -> None:
        """Close all connections to a target; starts in flight end as ``TaskSilent``."""
        pool = self._pools.pop(name, None)
        if pool is not None:
            pool.close_all()

    def close(self) -> None:
        """Close every connection to every target."""
        for name in list(self._pools):
            self.close_target(name)
        if self._close_stale_call is not None:
            self._close_stale_call.cancel()
            self._close_stale_call = None

    def _exchange_start(
        self,
        pool: ConnectionPool,
        connection: HttpConnection,
        request: bytes,
        command: StartTask,
        elapsed_ms: float,
    ) -> Deferred[TargetReply]:
        remaining_ms = command.timeout_ms - elapsed_ms
        if remaining_ms <= 0:
            pool.release(connection)
            return succeed(
                TaskNotSent("the task's timeout expired before it could be sent")
            )
        self._in_flight[command.target, command.task_id] = connection
        answered = connection.exchange(request, remaining_ms)
        return answered.addCallback(
            self._decode_start_outcome, pool, connection, command
        )

    def _decode_start_outcome(
        self,
        outcome: HttpResponse | ExchangeFailed,
        pool: ConnectionPool,
        connection: HttpConnection,
        command: StartTask,
    ) -> TargetReply:
        self._in_flight.pop((command.target, command.task_id), None)
        if isinstance(outcome, ExchangeFailed):
            # The target may be unreachable, so its idle connections may be dead too.
            pool.close_idle()
            return TaskSilent(outcome.cause)
        try:
            reply = decode_start_response(command, outcome)
        except DecodeError as error:
            connection.close()
            return TaskSilent(str(error))
        # A refusal may omit the task id. If the target sent it twice, the second copy
        # would be read as the response to the next request. Only a result (status 200)
        # makes the connection reusable.
        if outcome.keep_alive and outcome.status == 200 and connection.is_open:
            pool.release(connection)
        else:
            connection.close()
        return reply

    def _close_if_not_running(self, states: TaskStates) -> TaskStates:
        for task_id, state in (states.states or {}).items():
            key = (states.target, task_id)
            if key in self._in_flight and state is not TaskState.RUNNING:
                self._reactor.callLater(0, self._close_in_flight, key)
        return states

    def _close_in_flight(self, key: tuple[str, str]) -> None:
        connection = self._in_flight.get(key)
        if connection is not None:
            connection.close()

    def _exchange_control(
        self, target: TargetInfo, request: bytes, decode: Callable[[HttpResponse], T]
    ) -> Deferred[T]:
        pool = self._get_pool(target)
        if pool.count() >= target.connections:
            pool.close_idle()
        timeout_ms = self._control_timeout_ms

        def send(connection: HttpConnection | NoConnection) -> Deferred[T]:
            if isinstance(connection, NoConnection):
                raise UnavailableError(target.name, connection.cause)
            answered = connection.exchange(request, timeout_ms)
            return answered.addCallback(read, connection)

        def read(
            outcome: HttpResponse | ExchangeFailed, connection: HttpConnection
        ) -> T:
            connection.close()
            if isinstance(outcome, ExchangeFailed):
                raise UnavailableError(target.name, outcome.cause)
            try:
                return decode(outcome)
            except DecodeError as error:
                raise UnavailableError(target.name, str(error)) from error

        return pool.open(timeout_ms).addCallback(send)

    def _get_pool(self, target: TargetInfo) -> ConnectionPool:
        pool = self._pools.get(target.name)
        if pool is not None and (pool.address, pool.port) == (
            target.address,
            target.port,
        ):
            return pool
        if pool is not None:
            pool.close_idle()
        pool = ConnectionPool(
            self._reactor,
            target.address,
            target.port,
            target.connections,
            self._connect_timeout_ms,
        )
        self._pools[target.name] = pool
        self._schedule_close_stale()
        return pool

    def _schedule_close_stale(self) -> None:
        if self._close_stale_call is None:
            interval_s = _CLOSE_STALE_INTERVAL_MS / 1000
            self._close_stale_call = self._reactor.callLater(
                interval_s, self._close_stale
            )

    def _close_stale(self) -> None:
        self._close_stale_call = None
        for pool in self._pools.values():
            pool.close_stale()
        if self._pools:
            self._schedule_close_stale()


def _unknown_states(command: StopTasks) -> TaskStates:
    return TaskStates(command.target, command.task_ids, None)
