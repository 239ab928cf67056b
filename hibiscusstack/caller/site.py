"""The HTTP server in front of the APIs."""

__all__ = ["ApiSite", "build_site"]

from typing import Any

from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IRequest
from twisted.web.resource import IResource, Resource
from twisted.web.server import Request, Site

from hibiscusstack.caller.channel import BoundedChannel, BoundedRequest
from hibiscusstack.caller.limits import ApiLimits, ByteBudget
from hibiscusstack.caller.problems import InputFault, problem_of_input_fault
from hibiscusstack.caller.responses import write_problem

MS_PER_SECOND = 1000
ADMIN_PREFIX = b"/v1/admin/"


def build_site(
    callers: IResource,
    limits: ApiLimits,
    reactor: IReactorTime,
    operators: IResource | None = None,
) -> "ApiSite":
    """Return a site that serves the API for callers and, if given, for operators.

    The resources are those of klein apps, such as ``CallerApi(...).app.resource()``.
    """
    return ApiSite(ApiRouter(callers, operators), limits, reactor)


class ApiRouter(Resource):
    """Hands requests under the admin prefix to one resource, the rest to another."""

    isLeaf = True  # noqa: N815

    def __init__(self, callers: IResource, operators: IResource | None) -> None:
        super().__init__()
        self._callers = callers
        self._operators = operators or callers

    def render(self, request: IRequest) -> Any:
        """Render the request by the API that it belongs to."""
        if not _is_decodable(request):
            problem = problem_of_input_fault(InputFault.MALFORMED_REQUEST)
            return write_problem(request, problem)
        is_admin = request.path.startswith(ADMIN_PREFIX)
        resource = self._operators if is_admin else self._callers
        return resource.render(request)


class ApiSite(Site):
    """A site that counts its connections and the bodies that it receives."""

    protocol = BoundedChannel

    def __init__(
        self, resource: IResource, limits: ApiLimits, reactor: IReactorTime
    ) -> None:
        super().__init__(
            resource,
            requestFactory=BoundedRequest,
            parsePOSTFormSubmission=False,
            timeout=limits.idle_timeout_ms / MS_PER_SECOND,
            reactor=reactor,
        )
        self.limits = limits
        self.body_budget = ByteBudget(limits.max_receiving_bytes)
        self.connections = 0

    def buildProtocol(self, addr: Any) -> BoundedChannel | None:  # noqa: N802
        """Return a channel, or ``None``, which closes, beyond the limit."""
        if self.connections >= self.limits.max_connections:
            return None
        channel = super().buildProtocol(addr)
        channel.totalHeadersSize = self.limits.max_header_bytes
        channel.MAX_LENGTH = self.limits.max_header_bytes
        channel.maxHeaders = self.limits.max_headers
        self.connections += 1
        return channel

    def log(self, request: Request) -> None:
        """Write no access log; each job has its own events."""


def _is_decodable(request: IRequest) -> bool:
    parts = (request.method, request.path, request.getRequestHostname())
    try:
        for part in (*parts, *request.postpath):
            part.decode("utf-8")
    except UnicodeDecodeError:
        return False
    return True
