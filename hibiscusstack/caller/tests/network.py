"""Entry hosts in memory, whose exchanges a test can lose in every way."""

from enum import Enum
from typing import Any
from urllib.parse import urlsplit

import attrs
from treq.testing import StubTreq
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.task import Clock

from hibiscusstack.caller.api import CallerApi
from hibiscusstack.caller.tests.fakes import FakeJobService


class Fault(Enum):
    """What becomes of the next exchanges with an entry host."""

    NONE = "none"
    REFUSE_CONNECTION = "refuse connection"
    LOSE_REQUEST = "lose request"
    LOSE_ANSWER = "lose answer"


@attrs.frozen
class TwistedClock:
    """The time of a twisted clock as a clock of ours."""

    clock: Clock

    def now_ms(self) -> int:
        """Return the time in milliseconds."""
        return round(self.clock.seconds() * 1000)


@attrs.define
class FakeNetwork:
    """Routes requests by host name; ``faults`` are by host name too."""

    services: dict[str, FakeJobService]
    faults: dict[str, Fault] = attrs.field(factory=dict)
    requests: list[tuple[str, str]] = attrs.field(factory=list)
    _stubs: dict[str, StubTreq] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._stubs = {
            name: StubTreq(CallerApi(service).app.resource())
            for name, service in self.services.items()
        }

    def request(self, method: str, url: str, **kwargs: Any) -> Deferred[Any]:
        """Return the response, unless the fault of the host takes it away."""
        name = urlsplit(url).hostname or ""
        fault = self.faults.get(name, Fault.NONE)
        self.requests.append((name, urlsplit(url).path))
        if fault is Fault.REFUSE_CONNECTION:
            return fail(RefusedError())
        if fault is Fault.LOSE_REQUEST:
            return Deferred()
        response = self._stubs[name].request(method, url, **kwargs)
        return Deferred() if fault is Fault.LOSE_ANSWER else response

    def flush(self) -> None:
        """Deliver what the entry hosts have written."""
        for stub in self._stubs.values():
            stub.flush()
