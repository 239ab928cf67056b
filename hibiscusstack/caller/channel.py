"""Server connections that refuse what is too large or comes too slowly."""

__all__ = ["BoundedChannel", "BoundedRequest"]

import json
from io import BytesIO
from typing import Any

from twisted.web.http import HTTPChannel
from twisted.web.server import Request

from hibiscusstack.caller.limits import ByteBudget
from hibiscusstack.caller.problems import (
    PROBLEM_MEDIA_TYPE,
    InputFault,
    problem_of_input_fault,
)

MS_PER_SECOND = 1000


class BoundedRequest(Request):
    """A request whose body stays in memory and within the site's limits."""

    _taken_bytes = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory, whatever its length."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep one part of the body, or refuse the request."""
        channel = self.channel
        if self._taken_bytes + len(data) > channel.site.limits.max_body_bytes:
            channel.refuse(InputFault.BODY_TOO_LARGE)
        elif not channel.site.body_budget.take(len(data)):
            channel.refuse(InputFault.TOO_MANY_WAITING)
        else:
            self._taken_bytes += len(data)
            self.content.write(data)

    def process(self) -> None:
        """Process the request; the body has been decoded when this returns."""
        budget = self.channel.site.body_budget
        super().process()
        self.release_body(budget)

    def release_body(self, budget: ByteBudget) -> None:
        """Drop the body and give its bytes back."""
        budget.give_back(self._taken_bytes)
        self._taken_bytes = 0
        self.content = BytesIO()


class BoundedChannel(HTTPChannel):
    """A server connection that refuses what is too large or comes too slowly.

    A refused sender gets its problem at once. What it still sends is thrown away
    until it closes or ``linger_ms`` have passed, since closing with unread bytes
    could destroy the response on its way.
    """

    site: Any
    _refused = False
    _receive_timer: Any = None
    _linger_timer: Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes, within the time for one request."""
        if self._refused:
            return
        if not self._handlingRequest:
            self._start_receive_timer()
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take one line of a header."""
        if not self._refused:
            self._start_receive_timer()
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of a body."""
        if not self._refused:
            super().rawDataReceived(data)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Refuse a declared length beyond the limit before the body is sent."""
        if self.length is not None and self.length > self.site.limits.max_body_bytes:
            self.refuse(InputFault.BODY_TOO_LARGE)
            return
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Process a request that has come whole."""
        if self._refused:
            return
        self._cancel_receive_timer()
        super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line beyond the limit for headers."""
        self.refuse(InputFault.HEADER_TOO_LARGE)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Forget everything about the connection."""
        self._cancel_receive_timer()
        if self._linger_timer is not None and self._linger_timer.active():
            self._linger_timer.cancel()
        for request in self.requests:
            request.release_body(self.site.body_budget)
        self.site.connections -= 1
        super().connectionLost(reason)

    def refuse(self, fault: InputFault) -> None:
        """Answer with the problem of ``fault`` and take nothing more."""
        if self._refused:
            return
        self._refused = True
        self._cancel_receive_timer()
        self.setTimeout(None)
        self.transport.write(_format_response(fault))
        self._linger()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        limits = self.site.limits
        is_too_large = (
            self._receivedHeaderSize > limits.max_header_bytes
            or self._receivedHeaderCount > limits.max_headers
        )
        fault = InputFault.MALFORMED_REQUEST
        self.refuse(InputFault.HEADER_TOO_LARGE if is_too_large else fault)

    def _start_receive_timer(self) -> None:
        if self._receive_timer is None:
            delay = self.site.limits.receive_timeout_ms / MS_PER_SECOND
            self._receive_timer = self.callLater(delay, self._time_out_receiving)

    def _cancel_receive_timer(self) -> None:
        if self._receive_timer is not None and self._receive_timer.active():
            self._receive_timer.cancel()
        self._receive_timer = None

    def _time_out_receiving(self) -> None:
        self._receive_timer = None
        self.refuse(InputFault.REQUEST_TIMEOUT)

    def _linger(self) -> None:
        self._networkProducer.unregisterProducer()
        self.transport.loseWriteConnection()
        delay = self.site.limits.linger_ms / MS_PER_SECOND
        self._linger_timer = self.callLater(delay, self.transport.abortConnection)


def _format_response(fault: InputFault) -> bytes:
    problem = problem_of_input_fault(fault)
    body = json.dumps(problem.as_json()).encode()
    head = (
        f"HTTP/1.1 {problem.status} {problem.title}\r\n"
        f"Content-Type: {PROBLEM_MEDIA_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body
