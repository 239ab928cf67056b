"""What callers can ask of a host of pools, in plain data."""

__all__ = [
    "JobEnded",
    "JobNotFound",
    "MalformedRequest",
    "NotConfigured",
    "PoolService",
    "ServiceAnswer",
    "Unavailable",
    "UnknownQueue",
]

from collections.abc import Callable

import attrs
from eliot import log_message

from hibiscusstack.clock import Clock
from hibiscusstack.pool.counters import PoolCounters
from hibiscusstack.pool.jobs import PoolJob
from hibiscusstack.pool.messages import JobEnd, SubmissionAnswer
from hibiscusstack.pool.routes import Route, RouteTable
from hibiscusstack.pool.submission_forwarder import ReceivedJob, SubmissionForwarder

RETRY_MS = 1_000


@attrs.frozen
class NotConfigured:
    """No configuration has been read yet."""

    retry_ms: int = RETRY_MS


@attrs.frozen
class UnknownQueue:
    """No route leads from that host name and path."""


@attrs.frozen
class MalformedRequest:
    """The request can't be read, or asks for what there is not."""

    cause: str


@attrs.frozen
class JobNotFound:
    """The queue is there, and no such job is in it."""


@attrs.frozen
class Unavailable:
    """The job asks for what this host doesn't offer; it was not taken."""

    cause: str
    retry_ms: int = RETRY_MS


@attrs.frozen
class JobEnded:
    """The job has ended."""

    end: JobEnd
    cause: str = ""
    retry_ms: int = 0


Refusal = NotConfigured | UnknownQueue | MalformedRequest | Unavailable
ServiceAnswer = Refusal | JobNotFound | JobEnded
_REFUSAL_REASONS = {
    NotConfigured: "not-configured",
    UnknownQueue: "no-queue",
    MalformedRequest: "malformed",
    Unavailable: "not-served",
}
MakeJob = Callable[[Route, str], PoolJob | Unavailable]


class PoolService:
    """Routes callers' requests to the jobs of a host."""

    def __init__(
        self,
        receiver: SubmissionForwarder,
        clock: Clock,
        counters: PoolCounters | None = None,
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
        self._counters.refused_requests[_REFUSAL_REASONS[type(refusal)]] += 1
        return refusal

    def submit(
        self,
        job: PoolJob,
        timeout_ms: float | None,
        answer: Callable[[JobEnded], None],
    ) -> Callable[[], None]:
        """Take a job; return what to call when its caller has gone.

        ``answer`` is called once, unless the caller goes first.
        """
        now_ms = self._clock.now_ms()
        deadline_ms = None if timeout_ms is None else now_ms + timeout_ms

        def report_end(message: SubmissionAnswer) -> None:
            answer(JobEnded(message.end, message.cause, message.retry_ms))

        received = ReceivedJob(job, now_ms, deadline_ms, report_end)
        submission = self._receiver.submit(received)
        return lambda: self._receiver.caller_disconnected(submission)
