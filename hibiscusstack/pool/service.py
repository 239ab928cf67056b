"""Requests of callers to a pool host and its answers, independent of HTTP."""

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
    """Refusal: this host has not read any configuration yet."""

    retry_ms: int = RETRY_MS


@attrs.frozen
class UnknownQueue:
    """Refusal: no route matches the host name and path of the request."""


@attrs.frozen
class MalformedRequest:
    """Refusal: the request is malformed, or its method is not supported."""

    cause: str


@attrs.frozen
class JobNotFound:
    """The queue exists but has no job with this id."""


@attrs.frozen
class Unavailable:
    """This host can't serve the request, at least for now; no job was accepted.

    Causes are for example a feature that this host doesn't support, or that there is no
    coordinator.
    """

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
    """Finds the routes of callers' requests and submits their jobs."""

    def __init__(
        self,
        forwarder: SubmissionForwarder,
        clock: Clock,
        counters: PoolCounters | None = None,
    ) -> None:
        self.routes: RouteTable | None = None
        self._is_accepting = True
        self._counters = counters or PoolCounters()
        self._forwarder = forwarder
        self._clock = clock

    @property
    def is_configured(self) -> bool:
        """Tell whether any configuration has been read."""
        return self.routes is not None

    def replace_routes(self, routes: RouteTable) -> None:
        """Replace the routes by a newer version; ignore the same or an older one."""
        if self.routes is None or routes.version > self.routes.version:
            self.routes = routes
            log_message("pool:routes", version=routes.version, routes=len(routes))

    def stop_accepting(self) -> None:
        """Refuse all further requests, since this host is about to end."""
        self._is_accepting = False

    def find(self, host: str, path: str) -> tuple[Route, str] | ServiceAnswer:
        """Return the route of a request and the rest of its path, or a refusal."""
        if not self._is_accepting:
            return self.refuse(Unavailable("host is stopping"))
        if self.routes is None:
            return self.refuse(NotConfigured())
        route = self.routes.find(host, path)
        if route is None:
            return self.refuse(UnknownQueue())
        return route, path[len(route.prefix) :]

    def refuse(self, refusal: Refusal) -> Refusal:
        """Count a refused request that submitted no job, and return the refusal."""
        self._counters.refused_requests[_REFUSAL_REASONS[type(refusal)]] += 1
        return refusal

    def submit(
        self,
        job: PoolJob,
        timeout_ms: float | None,
        answer: Callable[[JobEnded], None],
    ) -> Callable[[], None]:
        """Submit a job; return the function to call when its caller disconnects.

        ``answer`` is called once, unless the caller disconnects first. ``timeout_ms``
        is the time from now to the caller's deadline, None for no deadline.
        """
        now_ms = self._clock.now_ms()
        deadline_ms = None if timeout_ms is None else now_ms + timeout_ms

        def report_end(message: SubmissionAnswer) -> None:
            answer(JobEnded(message.end, message.cause, message.retry_ms))

        received = ReceivedJob(job, now_ms, deadline_ms, report_end)
        submission = self._forwarder.submit(received)
        return lambda: self._forwarder.caller_disconnected(submission)
