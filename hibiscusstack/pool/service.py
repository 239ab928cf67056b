"""What callers can ask of a host of pools, in plain data."""

__all__ = [
    "Ended",
    "Malformed",
    "NotConfigured",
    "NotKnown",
    "NotStored",
    "PoolService",
    "ServiceAnswer",
    "UnknownQueue",
]

from collections.abc import Callable

import attrs
from eliot import log_message

from hibiscusstack.clock import Clock
from hibiscusstack.pool.counters import PoolCounters
from hibiscusstack.pool.jobs import PoolJob
from hibiscusstack.pool.messages import JobEnd, SubmissionAnswer
from hibiscusstack.pool.receiving import ReceivedJob, Receiver
from hibiscusstack.pool.routes import Route, RouteTable

RETRY_MS = 1_000


@attrs.frozen
class NotConfigured:
    """No configuration has been read yet."""

    retry_ms: int = RETRY_MS


@attrs.frozen
class UnknownQueue:
    """No route leads from that host name and path."""


@attrs.frozen
class Malformed:
    """The request can't be read, or asks for what there is not."""

    cause: str


@attrs.frozen
class NotKnown:
    """The queue is there, and no such job is in it."""


@attrs.frozen
class NotStored:
    """The job asks for what this host doesn't offer; it was not taken."""

    cause: str
    retry_ms: int = RETRY_MS


@attrs.frozen
class Ended:
    """The job has ended."""

    end: JobEnd
    cause: str = ""
    retry_ms: int = 0


Refusal = NotConfigured | UnknownQueue | Malformed | NotStored
ServiceAnswer = Refusal | NotKnown | Ended
_REASONS = {
    NotConfigured: "not-configured",
    UnknownQueue: "no-queue",
    Malformed: "malformed",
    NotStored: "not-served",
}
MakeJob = Callable[[Route, str], PoolJob | NotStored]


class PoolService:
    """Routes callers' requests to the jobs of a host."""

    def __init__(
        self, receiver: Receiver, clock: Clock, counters: PoolCounters | None = None
    ) -> None:
        self.routes: RouteTable | None = None
        self._counters = counters or PoolCounters()
        self._receiver = receiver
        self._clock = clock

    @property
    def is_configured(self) -> bool:
        """Tell whether any configuration has been read."""
        return self.routes is not None

    def replace_routes(self, routes: RouteTable) -> None:
        """Take over a newer version of the routes; an older one is left aside."""
        if self.routes is None or routes.version > self.routes.version:
            self.routes = routes
            log_message("pool:routes", version=routes.version, routes=len(routes))

    def find(self, host: str, path: str) -> tuple[Route, str] | ServiceAnswer:
        """Return the route of a request and the rest of its path."""
        if self.routes is None:
            return self.refuse(NotConfigured())
        route = self.routes.find(host, path)
        if route is None:
            return self.refuse(UnknownQueue())
        return route, path[len(route.prefix) :]

    def refuse(self, refusal: Refusal) -> Refusal:
        """Return a refusal of a request that brought no job, and count it."""
        self._counters.refused_requests[_REASONS[type(refusal)]] += 1
        return refusal

    def submit(
        self,
        job: PoolJob,
        timeout_ms: float | None,
        answer: Callable[[Ended], None],
    ) -> Callable[[], None]:
        """Take a job; return what to call when its caller has gone.

        ``answer`` is called once, unless the caller goes first.
        """
        now_ms = self._clock.now_ms()
        deadline_ms = None if timeout_ms is None else now_ms + timeout_ms

        def ended(message: SubmissionAnswer) -> None:
            answer(Ended(message.end, message.cause, message.retry_ms))

        received = ReceivedJob(job, now_ms, deadline_ms, ended)
        submission = self._receiver.submit(received)
        return lambda: self._receiver.caller_gone(submission)
